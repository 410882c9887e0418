#include "configuration/revisions/changeacceptance.h"

#include "configuration/revisions/snapshot.h"

#include <algorithm>
#include <utility>

namespace sassafrasyard {

namespace {

constexpr int maximumAttempts = 12;
/** A longer list of changes is moved into a snapshot, so that the head stays small. */
constexpr std::size_t maximumListedChanges = 256;
constexpr std::size_t maximumListedDocuments = 512;
/** How much of the list stays after a snapshot, for hosts and operators that lag a little. */
constexpr std::size_t keptChanges = 96;
constexpr std::size_t keptDocuments = 192;
constexpr Milliseconds retryAfterOutage{5000};

bool needsSnapshot(const RevisionHead &head)
{
    std::size_t documents = 0;
    for (const ChangeRecord &record : head.changes)
        documents += record.documents.size();
    return head.changes.size() > maximumListedChanges || documents > maximumListedDocuments;
}

/** Drops the oldest changes; a change with too many documents keeps its identifier only. */
void shortenChanges(RevisionHead &head)
{
    std::size_t documents = 0;
    std::size_t kept = 0;
    for (auto record = head.changes.rbegin(); record != head.changes.rend() && kept < keptChanges;
         ++record, ++kept) {
        documents += record->documents.size();
        if (documents <= keptDocuments)
            continue;
        record->documents.clear();
        record->isElided = true;
    }
    head.changes.erase(head.changes.begin(),
                       head.changes.end() - static_cast<std::ptrdiff_t>(kept));
}

} // namespace

std::string digestOfProposals(const std::vector<ProposedDocument> &documents)
{
    std::string text;
    for (const ProposedDocument &document : documents)
        text += document.key.toString() + " " + (document.body ? sha256Hex(*document.body) : "-")
                + "\n";
    return sha256Hex(text);
}

ChangeAcceptance::ChangeAcceptance(ChangeRequest newRequest,
                                   std::shared_ptr<const ConfigurationSource> knownSource,
                                   Milliseconds acceptedAt)
    : request(std::move(newRequest))
    , contentDigest(digestOfProposals(this->request.documents))
    , known(std::move(knownSource))
    , acceptedAt(acceptedAt)
    , current(ReadHeadStep())
{
}

const AcceptanceStep &ChangeAcceptance::step() const
{
    return this->current;
}

void ChangeAcceptance::advance(const StepAnswer &answer)
{
    if (std::holds_alternative<ReadHeadStep>(this->current))
        this->takeHead(answer);
    else if (std::holds_alternative<ReadObjectStep>(this->current))
        this->takeObject(answer);
    else if (std::holds_alternative<CreateObjectStep>(this->current))
        this->takeCreation(answer);
    else if (std::holds_alternative<UpdateHeadStep>(this->current))
        this->takeUpdate(answer);
}

void ChangeAcceptance::takeHead(const StepAnswer &answer)
{
    RevisionHead read;
    std::uint64_t version = 0;
    if (answer.failure && answer.failure->code != ErrorCode::NotFound) {
        // Only a lost reply is worth waiting for; before an update nothing is at stake.
        if (this->mayHaveTakenEffect)
            this->retryOrGiveUp(*answer.failure);
        else
            this->finishFailed(*answer.failure);
        return;
    }
    if (!answer.failure) {
        Error reason;
        auto parsed = parseHead(answer.value, reason);
        if (!parsed) {
            this->finishFailed(reason);
            return;
        }
        read = std::move(*parsed);
        version = answer.version;
    }
    this->head = std::move(read);
    this->headVersion = version;
    if (this->resolveFromHead())
        return;
    if (!this->request.baseRevision)
        this->request.baseRevision = this->head.revision;
    auto base = this->known;
    // Documents newer than a stale head must not slip into a change that is based on it.
    if (base->revision > this->head.revision)
        base = std::make_shared<const ConfigurationSource>();
    this->loader = std::make_unique<ConfigurationLoader>(this->head, base);
    this->readOrPrepare();
}

/** @return whether the head settles the next step. */
bool ChangeAcceptance::resolveFromHead()
{
    if (const ChangeRecord *record = this->head.findChange(this->request.identifier)) {
        if (record->contentDigest == this->contentDigest)
            this->finishAccepted(*record);
        else
            this->finishFailed({ErrorCode::Conflict,
                                RunState::NotRun,
                                "change identifier " + this->request.identifier
                                        + " was used for another change in revision "
                                        + std::to_string(record->revision)
                                        + "; choose a new identifier",
                                {}});
        return true;
    }
    if (!this->mayHaveTakenEffect)
        return false;
    if (this->headVersion < this->update.version) {
        this->retryOrGiveUp({ErrorCode::PlatformUnavailable, RunState::NotRun, "stale read", {}});
        return true;
    }
    if (this->headVersion == this->update.version) {
        this->current = this->update;
        return true;
    }
    const std::uint64_t aimedRevision = this->prepared->revision;
    if (this->head.changes.empty() || this->head.changes.front().revision > aimedRevision) {
        this->finishFailed({ErrorCode::PlatformOutcomeUnknown,
                            RunState::OutcomeUnknown,
                            "the head no longer lists the changes of that time",
                            {}});
        return true;
    }
    this->mayHaveTakenEffect = false;
    return false;
}

void ChangeAcceptance::takeObject(const StepAnswer &answer)
{
    if (answer.failure) {
        if (answer.failure->code == ErrorCode::NotFound)
            this->retryOrGiveUp(*answer.failure);
        else
            this->finishFailed(*answer.failure);
        return;
    }
    Error reason;
    if (this->loader->supply(std::get<ReadObjectStep>(this->current).name, answer.value, reason))
        this->readOrPrepare();
    else
        this->finishFailed(reason);
}

void ChangeAcceptance::readOrPrepare()
{
    const auto wanted = this->loader->wanted();
    if (wanted.empty())
        this->prepare();
    else
        this->current = ReadObjectStep{wanted.front()};
}

void ChangeAcceptance::prepare()
{
    const auto source = this->loader->result();
    if (const auto winner = this->findConflict(*source)) {
        this->finishConflict(*winner);
        return;
    }
    ChangeOutcome invalid;
    for (const ProposedDocument &proposal : this->request.documents) {
        if (!proposal.body && !source->documents.contains(proposal.key))
            invalid.faults.push_back({ConfigurationFaultKind::UnknownReference,
                                      proposal.key.toString(), "", "no such document to remove",
                                      "leave it out of the change"});
    }
    auto next = std::make_shared<ConfigurationSource>();
    next->revision = this->head.revision + 1;
    next->documents = applyProposals(source->documents, this->request.documents, next->revision);
    resolveConfiguration(next->documents, next->revision, invalid.faults);
    if (!invalid.faults.empty()) {
        invalid.reason = toError(invalid.faults);
        invalid.revision = this->head.revision;
        this->current = std::move(invalid);
        return;
    }
    ChangeRecord record;
    record.revision = next->revision;
    record.identifier = this->request.identifier;
    record.contentDigest = this->contentDigest;
    record.author = this->request.author;
    record.comment = this->request.comment;
    record.acceptedAt = this->acceptedAt;
    for (const ProposedDocument &proposal : this->request.documents)
        record.documents.push_back(
                {proposal.key,
                 proposal.body ? next->documents.at(proposal.key).digest : std::string()});
    this->prepareHead(next, std::move(record));
}

void ChangeAcceptance::prepareHead(const std::shared_ptr<ConfigurationSource> &next,
                                   ChangeRecord record)
{
    RevisionHead nextHead = this->head;
    nextHead.revision = next->revision;
    nextHead.changes.push_back(std::move(record));
    this->creations.clear();
    if (needsSnapshot(nextHead)) {
        Snapshot snapshot = makeSnapshot(next->documents);
        nextHead.snapshot = snapshot.digest;
        nextHead.snapshotRevision = next->revision;
        shortenChanges(nextHead);
        this->creations = std::move(snapshot.objects);
    }
    if (!nextHead.changes.back().isElided) {
        for (const ProposedDocument &proposal : this->request.documents) {
            if (proposal.body)
                this->creations.emplace_back(
                        documentObjectName(next->documents.at(proposal.key).digest),
                        *proposal.body);
        }
    }
    next->changes = nextHead.changes;
    this->prepared = next;
    this->update = UpdateHeadStep{this->headVersion, formatHead(nextHead)};
    // Taken from the back; the index of a snapshot must be written after its chunks.
    std::reverse(this->creations.begin(), this->creations.end());
    this->createOrUpdate();
}

std::optional<std::uint64_t> ChangeAcceptance::findConflict(const ConfigurationSource &source) const
{
    const std::uint64_t base = *this->request.baseRevision;
    for (const ProposedDocument &proposal : this->request.documents) {
        const auto stored = source.documents.find(proposal.key);
        if (stored != source.documents.end() && stored->second.revision > base)
            return stored->second.revision;
        for (const ChangeRecord &record : this->head.changes) {
            const bool isHit = std::any_of(
                    record.documents.begin(), record.documents.end(),
                    [&](const DocumentChange &change) { return change.key == proposal.key; });
            if (record.revision > base && isHit)
                return record.revision;
        }
        // A removal since the base may be in a part of the history that the head no longer lists.
        if (stored == source.documents.end() && !this->head.coversChangesAfter(base))
            return this->head.revision;
    }
    return std::nullopt;
}

void ChangeAcceptance::createOrUpdate()
{
    if (this->creations.empty()) {
        this->current = this->update;
        return;
    }
    this->current = CreateObjectStep{this->creations.back().first, this->creations.back().second};
}

void ChangeAcceptance::takeCreation(const StepAnswer &answer)
{
    if (answer.failure && answer.failure->code == ErrorCode::PlatformOutcomeUnknown
        && ++this->attempts < maximumAttempts) {
        return;
    }
    if (answer.failure && answer.failure->code != ErrorCode::Conflict) {
        this->finishFailed(
                {answer.failure->code, RunState::NotRun, answer.failure->detail, retryAfterOutage});
        return;
    }
    this->creations.pop_back();
    this->createOrUpdate();
}

void ChangeAcceptance::takeUpdate(const StepAnswer &answer)
{
    if (!answer.failure) {
        this->finishAccepted(this->prepared->changes.back());
        return;
    }
    const Error &failure = *answer.failure;
    if (failure.code == ErrorCode::PlatformOutcomeUnknown)
        this->mayHaveTakenEffect = true;
    else if (failure.code != ErrorCode::Conflict && !this->mayHaveTakenEffect) {
        this->finishFailed(failure);
        return;
    }
    this->retryOrGiveUp(failure);
}

void ChangeAcceptance::retryOrGiveUp(const Error &failure)
{
    if (++this->attempts < maximumAttempts) {
        this->current = ReadHeadStep();
        return;
    }
    Error reason = failure;
    if (!this->mayHaveTakenEffect) {
        reason.code = ErrorCode::PlatformUnavailable;
        reason.runState = RunState::NotRun;
        reason.detail = "gave up after several attempts: " + reason.detail;
    }
    this->finishFailed(std::move(reason));
}

void ChangeAcceptance::finishAccepted(const ChangeRecord &record)
{
    ChangeOutcome outcome;
    outcome.isAccepted = true;
    outcome.revision = record.revision;
    if (this->prepared && this->prepared->revision == record.revision)
        outcome.source = this->prepared;
    this->current = std::move(outcome);
}

void ChangeAcceptance::finishConflict(std::uint64_t winner)
{
    ChangeOutcome outcome;
    outcome.revision = winner;
    outcome.reason = {ErrorCode::Conflict,
                      RunState::NotRun,
                      "revision " + std::to_string(winner)
                              + " has changed the same document since revision "
                              + std::to_string(*this->request.baseRevision)
                              + "; look at it with 'sassafrasyardctl history', then diff and apply "
                                "again",
                      {}};
    this->current = std::move(outcome);
}

void ChangeAcceptance::finishFailed(Error reason)
{
    ChangeOutcome outcome;
    outcome.revision = this->head.revision;
    outcome.reason = std::move(reason);
    if (this->mayHaveTakenEffect) {
        outcome.reason.code = ErrorCode::PlatformOutcomeUnknown;
        outcome.reason.runState = RunState::OutcomeUnknown;
        outcome.reason.detail += "; the change may be in force: apply it again with --change="
                + this->request.identifier;
    }
    if (outcome.reason.code == ErrorCode::PlatformUnavailable
        || outcome.reason.code == ErrorCode::PlatformOutcomeUnknown)
        outcome.reason.retryAfter = retryAfterOutage;
    this->current = std::move(outcome);
}

} // namespace sassafrasyard
