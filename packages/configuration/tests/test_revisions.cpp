#include "documentsamples.h"
#include "simulatedplatform.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <memory>
#include <set>

using namespace sassafrasyard;

namespace {

using Source = std::shared_ptr<const ConfigurationSource>;

Source emptySource()
{
    return std::make_shared<const ConfigurationSource>();
}

ChangeOutcome acceptChange(SimulatedPlatform &platform, ChangeRequest request,
                           const Source &localSource)
{
    ChangeAcceptance acceptance(std::move(request), localSource, Milliseconds(1));
    while (!std::holds_alternative<ChangeOutcome>(acceptance.step()))
        acceptance.advance(platform.executeStep(acceptance.step()));
    return std::get<ChangeOutcome>(acceptance.step());
}

/** @return null if the head or an object could not be read. */
Source loadFromPlatform(SimulatedPlatform &platform, const Source &localSource)
{
    const StepResult result = platform.read(std::string(headObjectName), true);
    Error reason;
    const auto head = result.failure ? std::nullopt : parseHead(result.value, reason);
    if (!head)
        return nullptr;
    ConfigurationLoader loader(*head, localSource);
    while (!loader.missingObjects().empty()) {
        const std::string name = loader.missingObjects().front();
        const StepResult object = platform.read(name, false);
        if (object.failure || !loader.addObject(name, object.value, reason))
            return nullptr;
    }
    return loader.result();
}

Source pullFromPeer(const ConfigurationSource &peer, const Source &localSource)
{
    TransferReader reader(localSource);
    Error reason;
    while (!reader.result()) {
        if (!reader.addPage(formatTransferPage(peer, localSource->revision, reader.nextAfter()),
                            reason))
            return nullptr;
    }
    return reader.result();
}

std::map<std::string, std::string> documentBodies(const DocumentSet &documents)
{
    std::map<std::string, std::string> bodies;
    for (const auto &[key, document] : documents)
        bodies[key.toString()] = *document.body;
    return bodies;
}

/** Simulates operators, hosts and platform faults at random and checks the invariants. */
class OperatorSimulation
{
public:
    explicit OperatorSimulation(std::uint64_t seed)
        : platform(seed)
        , hosts(4, emptySource())
    {
    }

    void run()
    {
        for (int event = 0; event < 150; ++event) {
            switch (this->random().below(8)) {
            case 0:
                this->startOperator();
                break;
            case 1:
                this->platform.isDown = this->random().below(3) == 0;
                break;
            case 2:
                this->hosts[this->random().below(this->hosts.size())] = emptySource();
                break;
            case 3:
            case 4:
                this->updateHost(this->random().below(this->hosts.size()));
                break;
            default:
                this->stepOperator();
            }
        }
        this->platform.isDown = false;
        while (!this->running.empty())
            this->stepOperator();
        this->platform.applyDelayedWrites();
        this->platform.hasFaults = false;
        this->checkInvariants();
    }

private:
    struct Operator
    {
        ChangeRequest request;
        std::unique_ptr<ChangeAcceptance> acceptance;
    };

    struct FinishedChange
    {
        ChangeRequest request;
        ChangeOutcome outcome;
    };

    RandomSource &random() { return this->platform.random; }

    std::vector<ProposedDocument> randomDocuments()
    {
        const bool requiresRate = this->random().below(2) == 0;
        const int number = static_cast<int>(this->random().below(3));
        const int rate = static_cast<int>(this->random().below(100));
        switch (this->random().below(4)) {
        case 0:
            return {DocumentSamples::model(), DocumentSamples::accountTemplate(requiresRate)};
        case 1:
            return {DocumentSamples::model(), DocumentSamples::accountTemplate(requiresRate),
                    DocumentSamples::account(number, requiresRate, rate)};
        case 2:
            return {{{DocumentKind::Account, "a" + std::to_string(number)}, std::nullopt}};
        default:
            return {DocumentSamples::account(number, requiresRate, rate)};
        }
    }

    void startOperator()
    {
        Operator started;
        started.request = DocumentSamples::change("change" + std::to_string(++this->changeCount),
                                                  this->randomDocuments());
        const Source &host = this->hosts[this->random().below(this->hosts.size())];
        if (this->random().below(2) == 0)
            started.request.baseRevision = host->revision;
        started.acceptance =
                std::make_unique<ChangeAcceptance>(started.request, host, Milliseconds(1));
        this->running.push_back(std::move(started));
    }

    void stepOperator()
    {
        if (this->running.empty())
            return;
        const std::size_t index = this->random().below(this->running.size());
        Operator &chosen = this->running[index];
        chosen.acceptance->advance(this->platform.executeStep(chosen.acceptance->step()));
        if (const auto *outcome = std::get_if<ChangeOutcome>(&chosen.acceptance->step())) {
            this->finished.push_back({chosen.request, *outcome});
            this->running.erase(this->running.begin() + static_cast<std::ptrdiff_t>(index));
        }
    }

    void updateHost(std::size_t index)
    {
        Source &host = this->hosts[index];
        const Source &peer = this->hosts[this->random().below(this->hosts.size())];
        Source next =
                this->random().below(2) == 0 ? loadFromPlatform(this->platform, host) : nullptr;
        if (!next && peer->revision > host->revision)
            next = pullFromPeer(*peer, host);
        if (!next)
            return;
        RC_ASSERT(next->revision >= host->revision);
        host = next;
        this->checkHost(host);
    }

    void checkHost(const Source &host)
    {
        if (host->revision == 0)
            return;
        // A revision has the same documents whether they came from the platform or from a peer.
        const auto bodies = documentBodies(host->documents);
        const auto [entry, isNew] = this->documentsByRevision.emplace(host->revision, bodies);
        RC_ASSERT(entry->second == bodies);
    }

    void checkInvariants()
    {
        std::map<std::string, std::uint64_t> acceptedRevisions;
        Error reason;
        std::uint64_t expected = 0;
        for (const std::string &text : this->platform.storedHeads) {
            const auto head = parseHead(text, reason);
            RC_ASSERT(head.has_value());
            RC_ASSERT(head->revision == ++expected);
            RC_ASSERT(acceptedRevisions.emplace(head->changes.back().identifier, expected).second);
        }
        std::map<std::uint64_t, std::set<DocumentKey>> changedDocuments;
        for (const FinishedChange &item : this->finished) {
            const auto accepted = acceptedRevisions.find(item.request.identifier);
            if (item.outcome.isAccepted) {
                RC_ASSERT(accepted != acceptedRevisions.end()
                          && accepted->second == item.outcome.revision);
            } else if (item.outcome.reason.runState == RunState::NotRun) {
                RC_ASSERT(accepted == acceptedRevisions.end());
            }
            if (accepted != acceptedRevisions.end()) {
                for (const ProposedDocument &document : item.request.documents)
                    changedDocuments[accepted->second].insert(document.key);
            }
        }
        this->checkBaseRevisions(acceptedRevisions, changedDocuments);
        this->checkFinalHosts(expected);
    }

    void checkBaseRevisions(const std::map<std::string, std::uint64_t> &acceptedRevisions,
                            std::map<std::uint64_t, std::set<DocumentKey>> &changedDocuments)
    {
        for (const FinishedChange &item : this->finished) {
            const auto accepted = acceptedRevisions.find(item.request.identifier);
            if (accepted == acceptedRevisions.end() || !item.request.baseRevision)
                continue;
            for (std::uint64_t other = *item.request.baseRevision + 1; other < accepted->second;
                 ++other) {
                for (const ProposedDocument &document : item.request.documents)
                    RC_ASSERT(!changedDocuments[other].contains(document.key));
            }
        }
    }

    void checkFinalHosts(std::uint64_t lastRevision)
    {
        if (lastRevision == 0)
            return;
        for (std::size_t index = 0; index < this->hosts.size(); ++index) {
            const Source loaded = loadFromPlatform(this->platform, this->hosts[index]);
            RC_ASSERT(loaded != nullptr);
            RC_ASSERT(loaded->revision == lastRevision);
            const Source pulled = pullFromPeer(*loaded, this->hosts[index]);
            RC_ASSERT(pulled != nullptr);
            RC_ASSERT(documentBodies(pulled->documents) == documentBodies(loaded->documents));
            this->checkHost(loaded);
            std::vector<ConfigurationFault> faults;
            RC_ASSERT(resolveSource(loaded, faults).has_value());
        }
    }

    SimulatedPlatform platform;
    std::vector<Source> hosts;
    std::vector<Operator> running;
    std::vector<FinishedChange> finished;
    std::map<std::uint64_t, std::map<std::string, std::string>> documentsByRevision;
    int changeCount = 0;
};

} // namespace

// Guards against changes that are lost, reverted or applied twice, and against hosts that return to
// an earlier revision.
TEST_CASE("Accepted changes have one order despite all platform faults", "[configuration]")
{
    rc::prop("random operators, hosts and faults", [](std::uint64_t seed) {
        OperatorSimulation simulation(seed);
        simulation.run();
    });
}

// Guards against accepting a concurrent template edit and account edit that are each valid but
// together are not.
TEST_CASE("Of two concurrent edits that are invalid together, one is rejected", "[configuration]")
{
    SimulatedPlatform platform(1);
    platform.hasFaults = false;
    const Source noDocuments = emptySource();
    acceptChange(
            platform,
            DocumentSamples::change(
                    "first", {DocumentSamples::model(), DocumentSamples::accountTemplate(false)}),
            noDocuments);
    auto newTemplate = DocumentSamples::change("t", {DocumentSamples::accountTemplate(true)});
    auto newAccount = DocumentSamples::change("a", {DocumentSamples::account(1, false)});
    ChangeAcceptance firstChange(newTemplate, noDocuments, Milliseconds(1));
    ChangeAcceptance secondChange(newAccount, noDocuments, Milliseconds(1));
    for (ChangeAcceptance *acceptance : {&firstChange, &secondChange}) {
        while (!std::holds_alternative<UpdateHeadStep>(acceptance->step()))
            acceptance->advance(platform.executeStep(acceptance->step()));
    }
    for (ChangeAcceptance *acceptance : {&firstChange, &secondChange}) {
        while (!std::holds_alternative<ChangeOutcome>(acceptance->step()))
            acceptance->advance(platform.executeStep(acceptance->step()));
    }
    REQUIRE(std::get<ChangeOutcome>(firstChange.step()).isAccepted);
    const auto &refused = std::get<ChangeOutcome>(secondChange.step());
    REQUIRE_FALSE(refused.isAccepted);
    REQUIRE(refused.reason.code == ErrorCode::ConfigurationInvalid);
    REQUIRE(refused.faults.front().kind == ConfigurationFaultKind::MissingParameter);
}

// Guards against a lost update between two operators who read the same revision.
TEST_CASE("A change that loses a race gets a conflict with the accepted revision",
          "[configuration]")
{
    SimulatedPlatform platform(1);
    platform.hasFaults = false;
    const Source noDocuments = emptySource();
    acceptChange(
            platform,
            DocumentSamples::change(
                    "first", {DocumentSamples::model(), DocumentSamples::accountTemplate(true)}),
            noDocuments);
    ChangeAcceptance delayedChange(
            DocumentSamples::change("l", {DocumentSamples::account(1, true, 1)}), noDocuments,
            Milliseconds(1));
    ChangeAcceptance competingChange(
            DocumentSamples::change("r", {DocumentSamples::account(1, true, 2)}), noDocuments,
            Milliseconds(1));
    delayedChange.advance(platform.executeStep(delayedChange.step()));
    while (!std::holds_alternative<ChangeOutcome>(competingChange.step()))
        competingChange.advance(platform.executeStep(competingChange.step()));
    while (!std::holds_alternative<ChangeOutcome>(delayedChange.step()))
        delayedChange.advance(platform.executeStep(delayedChange.step()));
    REQUIRE(std::get<ChangeOutcome>(competingChange.step()).isAccepted);
    const auto &conflict = std::get<ChangeOutcome>(delayedChange.step());
    REQUIRE(conflict.reason.code == ErrorCode::Conflict);
    REQUIRE(conflict.revision == 2);
}

// Guards against a head whose size grows with the number of client accounts.
TEST_CASE("A bulk change is stored in a snapshot and keeps the head small", "[configuration]")
{
    SimulatedPlatform platform(1);
    platform.hasFaults = false;
    std::vector<ProposedDocument> documents = {DocumentSamples::model(),
                                               DocumentSamples::accountTemplate(true)};
    for (int number = 0; number < 5700; ++number)
        documents.push_back(DocumentSamples::account(number, true));
    const Source source =
            acceptChange(platform, DocumentSamples::change("all", documents), emptySource()).source;
    REQUIRE(source);
    REQUIRE(platform.storedHeads.back().size() < 2000);
    const Source earlierSource = loadFromPlatform(platform, emptySource());
    REQUIRE(documentBodies(earlierSource->documents) == documentBodies(source->documents));
}

// Guards against a head whose size grows with the number of changes.
TEST_CASE("Hosts with a revision before a snapshot reach the current revision", "[configuration]")
{
    SimulatedPlatform platform(1);
    platform.hasFaults = false;
    const std::vector<ProposedDocument> first = {DocumentSamples::model(),
                                                 DocumentSamples::accountTemplate(true)};
    Source source =
            acceptChange(platform, DocumentSamples::change("first", first), emptySource()).source;
    const Source earlierSource = loadFromPlatform(platform, emptySource());
    std::size_t largest = 0;
    for (int number = 0; number < 300; ++number) {
        const auto request = DocumentSamples::change(
                "c" + std::to_string(number), {DocumentSamples::account(number % 7, true, number)});
        source = acceptChange(platform, request, source).source;
        REQUIRE(source);
        largest = std::max(largest, platform.storedHeads.back().size());
    }
    REQUIRE(largest < (128U << 10U));
    REQUIRE(documentBodies(loadFromPlatform(platform, earlierSource)->documents)
            == documentBodies(source->documents));
    REQUIRE(documentBodies(pullFromPeer(*source, emptySource())->documents)
            == documentBodies(source->documents));
    // Guards against a transfer that contains all documents when only one has changed.
    REQUIRE(formatTransferPage(*source, source->revision - 1, "").size() < (64U << 10U));
}
