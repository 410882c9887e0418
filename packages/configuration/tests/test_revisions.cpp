#include "documentsamples.h"
#include "modelplatform.h"

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

ChangeOutcome run(ModelPlatform &platform, ChangeRequest request, const Source &known)
{
    ChangeAcceptance acceptance(std::move(request), known, Milliseconds(1));
    while (!std::holds_alternative<ChangeOutcome>(acceptance.step()))
        acceptance.advance(platform.carryOut(acceptance.step()));
    return std::get<ChangeOutcome>(acceptance.step());
}

/** @return null if the head or an object could not be read. */
Source load(ModelPlatform &platform, const Source &known)
{
    const StepAnswer answer = platform.read(std::string(headObjectName), true);
    Error reason;
    const auto head = answer.failure ? std::nullopt : parseHead(answer.value, reason);
    if (!head)
        return nullptr;
    ConfigurationLoader loader(*head, known);
    while (!loader.wanted().empty()) {
        const std::string name = loader.wanted().front();
        const StepAnswer object = platform.read(name, false);
        if (object.failure || !loader.supply(name, object.value, reason))
            return nullptr;
    }
    return loader.result();
}

Source pull(const ConfigurationSource &peer, const Source &known)
{
    TransferReader reader(known);
    Error reason;
    while (!reader.result()) {
        if (!reader.supply(formatTransfer(peer, known->revision, reader.nextAfter()), reason))
            return nullptr;
    }
    return reader.result();
}

std::map<std::string, std::string> bodiesOf(const DocumentSet &documents)
{
    std::map<std::string, std::string> bodies;
    for (const auto &[key, document] : documents)
        bodies[key.toString()] = *document.body;
    return bodies;
}

/** Random operators, hosts and faults, with what must hold of them. */
class OperatorHistory
{
public:
    explicit OperatorHistory(std::uint64_t seed)
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
        this->platform.applyDelayed();
        this->platform.hasFaults = false;
        this->check();
    }

private:
    struct Operator
    {
        ChangeRequest request;
        std::unique_ptr<ChangeAcceptance> acceptance;
    };

    struct Finished
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
        chosen.acceptance->advance(this->platform.carryOut(chosen.acceptance->step()));
        if (const auto *outcome = std::get_if<ChangeOutcome>(&chosen.acceptance->step())) {
            this->finished.push_back({chosen.request, *outcome});
            this->running.erase(this->running.begin() + static_cast<std::ptrdiff_t>(index));
        }
    }

    void updateHost(std::size_t index)
    {
        Source &host = this->hosts[index];
        const Source &peer = this->hosts[this->random().below(this->hosts.size())];
        Source next = this->random().below(2) == 0 ? load(this->platform, host) : nullptr;
        if (!next && peer->revision > host->revision)
            next = pull(*peer, host);
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
        // The documents of a revision are the same wherever they came from.
        const auto bodies = bodiesOf(host->documents);
        const auto [known, isNew] = this->documentsAt.emplace(host->revision, bodies);
        RC_ASSERT(known->second == bodies);
    }

    void check()
    {
        std::map<std::string, std::uint64_t> inForce;
        Error reason;
        std::uint64_t expected = 0;
        for (const std::string &text : this->platform.heads) {
            const auto head = parseHead(text, reason);
            RC_ASSERT(head.has_value());
            RC_ASSERT(head->revision == ++expected);
            RC_ASSERT(inForce.emplace(head->changes.back().identifier, expected).second);
        }
        std::map<std::uint64_t, std::set<DocumentKey>> touched;
        for (const Finished &item : this->finished) {
            const auto known = inForce.find(item.request.identifier);
            if (item.outcome.isAccepted) {
                RC_ASSERT(known != inForce.end() && known->second == item.outcome.revision);
            } else if (item.outcome.reason.runState == RunState::NotRun) {
                RC_ASSERT(known == inForce.end());
            }
            if (known != inForce.end()) {
                for (const ProposedDocument &document : item.request.documents)
                    touched[known->second].insert(document.key);
            }
        }
        this->checkBases(inForce, touched);
        this->checkFinalHosts(expected);
    }

    void checkBases(const std::map<std::string, std::uint64_t> &inForce,
                    std::map<std::uint64_t, std::set<DocumentKey>> &touched)
    {
        for (const Finished &item : this->finished) {
            const auto known = inForce.find(item.request.identifier);
            if (known == inForce.end() || !item.request.baseRevision)
                continue;
            for (std::uint64_t other = *item.request.baseRevision + 1; other < known->second;
                 ++other) {
                for (const ProposedDocument &document : item.request.documents)
                    RC_ASSERT(!touched[other].contains(document.key));
            }
        }
    }

    void checkFinalHosts(std::uint64_t last)
    {
        if (last == 0)
            return;
        for (std::size_t index = 0; index < this->hosts.size(); ++index) {
            const Source loaded = load(this->platform, this->hosts[index]);
            RC_ASSERT(loaded != nullptr);
            RC_ASSERT(loaded->revision == last);
            const Source pulled = pull(*loaded, this->hosts[index]);
            RC_ASSERT(pulled != nullptr);
            RC_ASSERT(bodiesOf(pulled->documents) == bodiesOf(loaded->documents));
            this->checkHost(loaded);
            std::vector<ConfigurationFault> faults;
            RC_ASSERT(resolveSource(loaded, faults).has_value());
        }
    }

    ModelPlatform platform;
    std::vector<Source> hosts;
    std::vector<Operator> running;
    std::vector<Finished> finished;
    std::map<std::uint64_t, std::map<std::string, std::string>> documentsAt;
    int changeCount = 0;
};

} // namespace

// Guards against reverted, doubled or lost changes and against hosts that go back.
TEST_CASE("Accepted changes form one order through every fault", "[configuration]")
{
    rc::prop("random operators, hosts and faults", [](std::uint64_t seed) {
        OperatorHistory history(seed);
        history.run();
    });
}

// Guards against a template edit and an account edit that are valid alone but not together.
TEST_CASE("Edits that are valid only alone are not both accepted", "[configuration]")
{
    ModelPlatform platform(1);
    platform.hasFaults = false;
    const Source none = emptySource();
    run(platform,
        DocumentSamples::change(
                "first", {DocumentSamples::model(), DocumentSamples::accountTemplate(false)}),
        none);
    auto newTemplate = DocumentSamples::change("t", {DocumentSamples::accountTemplate(true)});
    auto newAccount = DocumentSamples::change("a", {DocumentSamples::account(1, false)});
    ChangeAcceptance left(newTemplate, none, Milliseconds(1));
    ChangeAcceptance right(newAccount, none, Milliseconds(1));
    for (ChangeAcceptance *acceptance : {&left, &right}) {
        while (!std::holds_alternative<UpdateHeadStep>(acceptance->step()))
            acceptance->advance(platform.carryOut(acceptance->step()));
    }
    for (ChangeAcceptance *acceptance : {&left, &right}) {
        while (!std::holds_alternative<ChangeOutcome>(acceptance->step()))
            acceptance->advance(platform.carryOut(acceptance->step()));
    }
    REQUIRE(std::get<ChangeOutcome>(left.step()).isAccepted);
    const auto &refused = std::get<ChangeOutcome>(right.step());
    REQUIRE_FALSE(refused.isAccepted);
    REQUIRE(refused.reason.code == ErrorCode::ConfigurationInvalid);
    REQUIRE(refused.faults.front().kind == ConfigurationFaultKind::MissingParameter);
}

// Guards against a lost update between two operators who read the same revision.
TEST_CASE("The loser of a race gets a conflict that names the winner's revision", "[configuration]")
{
    ModelPlatform platform(1);
    platform.hasFaults = false;
    const Source none = emptySource();
    run(platform,
        DocumentSamples::change("first",
                                {DocumentSamples::model(), DocumentSamples::accountTemplate(true)}),
        none);
    ChangeAcceptance left(DocumentSamples::change("l", {DocumentSamples::account(1, true, 1)}),
                          none, Milliseconds(1));
    ChangeAcceptance right(DocumentSamples::change("r", {DocumentSamples::account(1, true, 2)}),
                           none, Milliseconds(1));
    left.advance(platform.carryOut(left.step()));
    while (!std::holds_alternative<ChangeOutcome>(right.step()))
        right.advance(platform.carryOut(right.step()));
    while (!std::holds_alternative<ChangeOutcome>(left.step()))
        left.advance(platform.carryOut(left.step()));
    REQUIRE(std::get<ChangeOutcome>(right.step()).isAccepted);
    const auto &conflict = std::get<ChangeOutcome>(left.step());
    REQUIRE(conflict.reason.code == ErrorCode::Conflict);
    REQUIRE(conflict.revision == 2);
}

// Guards against a head that grows with the number of client accounts.
TEST_CASE("A bulk change goes into a snapshot and leaves the head small", "[configuration]")
{
    ModelPlatform platform(1);
    platform.hasFaults = false;
    std::vector<ProposedDocument> all = {DocumentSamples::model(),
                                         DocumentSamples::accountTemplate(true)};
    for (int number = 0; number < 5700; ++number)
        all.push_back(DocumentSamples::account(number, true));
    const Source source = run(platform, DocumentSamples::change("all", all), emptySource()).source;
    REQUIRE(source);
    REQUIRE(platform.heads.back().size() < 2000);
    const Source old = load(platform, emptySource());
    REQUIRE(bodiesOf(old->documents) == bodiesOf(source->documents));
}

// Guards against a head that grows with the number of changes.
TEST_CASE("Hosts before and after a snapshot catch up", "[configuration]")
{
    ModelPlatform platform(1);
    platform.hasFaults = false;
    const std::vector<ProposedDocument> first = {DocumentSamples::model(),
                                                 DocumentSamples::accountTemplate(true)};
    Source source = run(platform, DocumentSamples::change("first", first), emptySource()).source;
    const Source old = load(platform, emptySource());
    std::size_t largest = 0;
    for (int number = 0; number < 300; ++number) {
        const auto request = DocumentSamples::change(
                "c" + std::to_string(number), {DocumentSamples::account(number % 7, true, number)});
        source = run(platform, request, source).source;
        REQUIRE(source);
        largest = std::max(largest, platform.heads.back().size());
    }
    REQUIRE(largest < (128U << 10U));
    REQUIRE(bodiesOf(load(platform, old)->documents) == bodiesOf(source->documents));
    REQUIRE(bodiesOf(pull(*source, emptySource())->documents) == bodiesOf(source->documents));
    // Guards against a pull that carries everything when one document has changed.
    REQUIRE(formatTransfer(*source, source->revision - 1, "").size() < (64U << 10U));
}
