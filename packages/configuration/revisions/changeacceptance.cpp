#include "configuration/revisions/changeacceptance.h"

#include "configuration/revisions/snapshot.h"

#include <algorithm>
#include <utility>

namespace sassafrasyard {

namespace {

constexpr int maximumAttempts = 12;
/** A head that lists more changes or documents gets a new snapshot, so that it stays small. */
constexpr std::size_t maximumListedChanges = 256;
constexpr std::size_t maximumListedDocuments = 512;
/** How much of the list remains after a snapshot, for hosts and operators slightly behind. */
constexpr std::size_t retainedChanges = 96;
constexpr std::size_t retainedDocuments = 192;
constexpr Milliseconds outageRetryDelay{5000};

bool needsSnapshot(const RevisionHead &head)
{
    std::size_t documents = 0;
    for (const ChangeRecord &record : head.changes)
        documents += record.documents.size();
    return head.changes.size() > maximumListedChanges || documents > maximumListedDocuments;
}

/** Removes the oldest changes and the document lists that exceed the limit. */
void trimChanges(RevisionHead &head)
{
    std::size_t documents = 0;
    std::size_t retained = 0;
    for (auto record = head.changes.rbegin();
         record != head.changes.rend() && retained < retainedChanges; ++record, ++retained) {
        documents += record->documents.size();
        if (documents <= retainedDocuments)
            continue;
        record->documents.clear();
        record->isElided = true;
    }
    head.changes.erase(head.changes.begin(),
                       head.changes.end() - static_cast<std::ptrdiff_t>(retained));
}

} // namespace

std::string proposalsDigest(const std::vector<ProposedDocument> &documents)
{
    std::string text;
    for (const ProposedDocument &document : documents)
        text += document.key.toString() + " " + (document.body ? sha256Hex(*document.body) : "-")
                + "\n";
    return sha256Hex(text);
}

ChangeAcceptance::ChangeAcceptance(ChangeRequest newRequest,
                                   std::shared_ptr<const ConfigurationSource> newLocalSource,
                                   Milliseconds acceptedAt)
    : request(std::move(newRequest))
    , contentDigest(proposalsDigest(this->request.documents))
    , localSource(std::move(newLocalSource))
    , acceptedAt(acceptedAt)
    , currentStep(ReadHeadStep())
{
}

const AcceptanceStep &ChangeAcceptance::step() const
{
    return this->currentStep;
}

void ChangeAcceptance::advance(const StepResult &result)
{
    if (std::holds_alternative<ReadHeadStep>(this->currentStep))
        this->handleHead(result);
    else if (std::holds_alternative<ReadObjectStep>(this->currentStep))
        this->handleObject(result);
    else if (std::holds_alternative<CreateObjectStep>(this->currentStep))
        this->handleCreation(result);
    else if (std::holds_alternative<UpdateHeadStep>(this->currentStep))
        this->handleUpdate(result);
}

void ChangeAcceptance::handleHead(const StepResult &result)
{
    RevisionHead storedHead;
    std::uint64_t version = 0;
    if (result.failure && result.failure->code != ErrorCode::NotFound) {
        // Retries only if an earlier update may have taken effect; otherwise nothing was changed.
        if (this->mayHaveTakenEffect)
            this->retryOrGiveUp(*result.failure);
        else
            this->finishFailed(*result.failure);
        return;
    }
    if (!result.failure) {
        Error reason;
        auto parsed = parseHead(result.value, reason);
        if (!parsed) {
            this->finishFailed(reason);
            return;
        }
        storedHead = std::move(*parsed);
        version = result.version;
    }
    this->head = std::move(storedHead);
    this->headVersion = version;
    if (this->resolveFromHead())
        return;
    if (!this->request.baseRevision)
        this->request.baseRevision = this->head.revision;
    auto base = this->localSource;
    // The head is a stale read: newer documents must not become part of a change based on it.
    if (base->revision > this->head.revision)
        base = std::make_shared<const ConfigurationSource>();
    this->loader = std::make_unique<ConfigurationLoader>(this->head, base);
    this->readOrPrepare();
}

/** @return whether the head alone determined the next step. */
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
    if (this->headVersion < this->headUpdate.version) {
        this->retryOrGiveUp({ErrorCode::PlatformUnavailable,
                             RunState::NotRun,
                             "the platform returned an outdated head",
                             {}});
        return true;
    }
    if (this->headVersion == this->headUpdate.version) {
        this->currentStep = this->headUpdate;
        return true;
    }
    const std::uint64_t attemptedRevision = this->preparedSource->revision;
    if (this->head.changes.empty() || this->head.changes.front().revision > attemptedRevision) {
        this->finishFailed({ErrorCode::PlatformOutcomeUnknown,
                            RunState::OutcomeUnknown,
                            "the head no longer lists the changes made at that time",
                            {}});
        return true;
    }
    this->mayHaveTakenEffect = false;
    return false;
}

void ChangeAcceptance::handleObject(const StepResult &result)
{
    if (result.failure) {
        if (result.failure->code == ErrorCode::NotFound)
            this->retryOrGiveUp(*result.failure);
        else
            this->finishFailed(*result.failure);
        return;
    }
    Error reason;
    if (this->loader->addObject(std::get<ReadObjectStep>(this->currentStep).name, result.value,
                                reason))
        this->readOrPrepare();
    else
        this->finishFailed(reason);
}

void ChangeAcceptance::readOrPrepare()
{
    const auto missingObjects = this->loader->missingObjects();
    if (missingObjects.empty())
        this->prepare();
    else
        this->currentStep = ReadObjectStep{missingObjects.front()};
}

void ChangeAcceptance::prepare()
{
    const auto source = this->loader->result();
    if (const auto conflictingRevision = this->findConflict(*source)) {
        this->finishConflict(*conflictingRevision);
        return;
    }
    ChangeOutcome invalidOutcome;
    for (const ProposedDocument &proposal : this->request.documents) {
        if (!proposal.body && !source->documents.contains(proposal.key))
            invalidOutcome.faults.push_back(
                    {ConfigurationFaultKind::UnknownReference, proposal.key.toString(), "",
                     "no such document to remove", "leave it out of the change"});
    }
    auto next = std::make_shared<ConfigurationSource>();
    next->revision = this->head.revision + 1;
    next->documents = applyProposals(source->documents, this->request.documents, next->revision);
    resolveConfiguration(next->documents, next->revision, invalidOutcome.faults);
    if (!invalidOutcome.faults.empty()) {
        invalidOutcome.reason = toError(invalidOutcome.faults);
        invalidOutcome.revision = this->head.revision;
        this->currentStep = std::move(invalidOutcome);
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
    this->pendingObjects.clear();
    if (needsSnapshot(nextHead)) {
        Snapshot snapshot = makeSnapshot(next->documents);
        nextHead.snapshot = snapshot.digest;
        nextHead.snapshotRevision = next->revision;
        trimChanges(nextHead);
        this->pendingObjects = std::move(snapshot.objects);
    }
    if (!nextHead.changes.back().isElided) {
        for (const ProposedDocument &proposal : this->request.documents) {
            if (proposal.body)
                this->pendingObjects.emplace_back(
                        documentObjectName(next->documents.at(proposal.key).digest),
                        *proposal.body);
        }
    }
    next->changes = nextHead.changes;
    this->preparedSource = next;
    this->headUpdate = UpdateHeadStep{this->headVersion, formatHead(nextHead)};
    // Objects are written from the back: a snapshot's index must be written after its chunks.
    std::reverse(this->pendingObjects.begin(), this->pendingObjects.end());
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
            const bool isAffected = std::any_of(
                    record.documents.begin(), record.documents.end(),
                    [&](const DocumentChange &change) { return change.key == proposal.key; });
            if (record.revision > base && isAffected)
                return record.revision;
        }
        // The document may have been removed by a change that the head no longer lists.
        if (stored == source.documents.end() && !this->head.coversChangesAfter(base))
            return this->head.revision;
    }
    return std::nullopt;
}

void ChangeAcceptance::createOrUpdate()
{
    if (this->pendingObjects.empty()) {
        this->currentStep = this->headUpdate;
        return;
    }
    this->currentStep =
            CreateObjectStep{this->pendingObjects.back().first, this->pendingObjects.back().second};
}

void ChangeAcceptance::handleCreation(const StepResult &result)
{
    if (result.failure && result.failure->code == ErrorCode::PlatformOutcomeUnknown
        && ++this->attempts < maximumAttempts) {
        return;
    }
    if (result.failure && result.failure->code != ErrorCode::Conflict) {
        this->finishFailed(
                {result.failure->code, RunState::NotRun, result.failure->detail, outageRetryDelay});
        return;
    }
    this->pendingObjects.pop_back();
    this->createOrUpdate();
}

void ChangeAcceptance::handleUpdate(const StepResult &result)
{
    if (!result.failure) {
        this->finishAccepted(this->preparedSource->changes.back());
        return;
    }
    const Error &failure = *result.failure;
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
        this->currentStep = ReadHeadStep();
        return;
    }
    Error reason = failure;
    if (!this->mayHaveTakenEffect) {
        reason.code = ErrorCode::PlatformUnavailable;
        reason.runState = RunState::NotRun;
        reason.detail = "failed after several attempts: " + reason.detail;
    }
    this->finishFailed(std::move(reason));
}

void ChangeAcceptance::finishAccepted(const ChangeRecord &record)
{
    ChangeOutcome outcome;
    outcome.isAccepted = true;
    outcome.revision = record.revision;
    if (this->preparedSource && this->preparedSource->revision == record.revision)
        outcome.source = this->preparedSource;
    this->currentStep = std::move(outcome);
}

void ChangeAcceptance::finishConflict(std::uint64_t conflictingRevision)
{
    ChangeOutcome outcome;
    outcome.revision = conflictingRevision;
    outcome.reason = {ErrorCode::Conflict,
                      RunState::NotRun,
                      "revision " + std::to_string(conflictingRevision)
                              + " has changed the same document since revision "
                              + std::to_string(*this->request.baseRevision)
                              + "; look at it with 'sassafrasyardctl history', then diff and apply "
                                "again",
                      {}};
    this->currentStep = std::move(outcome);
}

void ChangeAcceptance::finishFailed(Error reason)
{
    ChangeOutcome outcome;
    outcome.revision = this->head.revision;
    outcome.reason = std::move(reason);
    if (this->mayHaveTakenEffect) {
        outcome.reason.code = ErrorCode::PlatformOutcomeUnknown;
        outcome.reason.runState = RunState::OutcomeUnknown;
        outcome.reason.detail +=
                "; the change may have been accepted: apply it again with --change="
                + this->request.identifier;
    }
    if (outcome.reason.code == ErrorCode::PlatformUnavailable
        || outcome.reason.code == ErrorCode::PlatformOutcomeUnknown)
        outcome.reason.retryAfter = outageRetryDelay;
    this->currentStep = std::move(outcome);
}

} // namespace sassafrasyard
