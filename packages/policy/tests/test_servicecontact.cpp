#include "policy/policy.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace sassafrasyard;

namespace {

constexpr const char *service = "service";
const std::vector<std::string> none;
const std::vector<std::string> onlyService{service};
constexpr Milliseconds justBefore{1};

/** The bounds of the table in docs/platform.md. */
constexpr Milliseconds reachedTime{2000};
constexpr Milliseconds checkInterval{1000};
constexpr Milliseconds silenceTime{1000};
constexpr Milliseconds silenceCheckInterval{3000};
constexpr Milliseconds unreachedCheckInterval{250};
constexpr Milliseconds start{10'000};

/** Returns an object for which a check has failed at the start. */
ServiceContact makeUnreached()
{
    ServiceContact contact;
    contact.recordFailedConnection(service, start);
    contact.recordCheck(service, false, start);
    return contact;
}

} // namespace

// Guards against a host in calm that counts as cut off although it has tried nothing.
TEST_CASE("A service that was not tried is assumed to be reached", "[contact]")
{
    ServiceContact contact;
    CHECK(contact.state(service, start) == ContactState::Assumed);
    CHECK_FALSE(contact.isUnreached(service));
    CHECK_FALSE(contact.unreachedSince(service));
    CHECK_FALSE(contact.isDoubtful(service));
    CHECK(contact.dueChecks(start) == none);
    CHECK(contact.services().empty());
}

// Guards against checks of a service of which a host hears nothing because it has no calls.
TEST_CASE("A service without unanswered requests is not checked for silence", "[contact]")
{
    ServiceContact contact;
    contact.recordAccepted(service, start);
    contact.recordSent(service, start);
    contact.recordReceived(service, start + Milliseconds(10));
    const Milliseconds later = start + std::chrono::minutes(10);
    CHECK(contact.dueChecks(later) == none);
    CHECK(contact.state(service, later) == ContactState::Assumed);
}

// Guards against a peer that takes relayed calls on the strength of an old connection.
TEST_CASE("An accepted connection shows for two seconds that a service is reached", "[contact]")
{
    ServiceContact contact;
    contact.recordAccepted(service, start);
    CHECK(contact.state(service, start) == ContactState::Reached);
    CHECK(contact.state(service, start + reachedTime - justBefore) == ContactState::Reached);
    CHECK(contact.state(service, start + reachedTime) == ContactState::Assumed);
    CHECK_FALSE(contact.isUnreached(service));
}

// Guards against a host that counts as cut off because single servers crash, leave or stand still.
TEST_CASE("Failed connections alone do not make a service unreached", "[contact]")
{
    ServiceContact contact;
    contact.recordAccepted(service, start);
    for (int index = 0; index < 100; ++index)
        contact.recordFailedConnection(service, start + index * Milliseconds(100));
    CHECK(contact.state(service, start) == ContactState::Assumed);
    CHECK(contact.isDoubtful(service));
    CHECK_FALSE(contact.isUnreached(service));
    CHECK(contact.dueChecks(start) == onlyService);
}

// Guards against a check that is repeated for each failed call, and against one that never comes.
TEST_CASE("A failed connection leads to one check a second", "[contact]")
{
    ServiceContact contact;
    contact.recordFailedConnection(service, start);
    REQUIRE(contact.dueChecks(start) == onlyService);
    CHECK_FALSE(contact.recordCheck(service, true, start));
    CHECK(contact.state(service, start) == ContactState::Reached);
    CHECK_FALSE(contact.isDoubtful(service));
    CHECK(contact.dueChecks(start + checkInterval) == none);
    contact.recordFailedConnection(service, start + Milliseconds(10));
    CHECK(contact.dueChecks(start + checkInterval - justBefore) == none);
    CHECK(contact.dueChecks(start + checkInterval) == onlyService);
}

// Guards against a silent cut that is never noticed, because nothing fails on open connections.
TEST_CASE("A second of silence while requests wait leads to a check", "[contact]")
{
    ServiceContact contact;
    contact.recordSent(service, start);
    contact.recordSent(service, start + Milliseconds(900));
    CHECK(contact.dueChecks(start + silenceTime - justBefore) == none);
    CHECK(contact.dueChecks(start + silenceTime) == onlyService);
    CHECK(contact.state(service, start + silenceTime) == ContactState::Assumed);

    contact.recordReceived(service, start + silenceTime);
    CHECK(contact.dueChecks(start + 2 * silenceTime) == none);
}

// Guards against a check each second of a service whose servers answer slowly.
TEST_CASE("Silence leads to a check only three seconds after the last one", "[contact]")
{
    ServiceContact contact;
    contact.recordFailedConnection(service, start);
    contact.recordCheck(service, true, start);
    contact.recordSent(service, start);
    CHECK(contact.dueChecks(start + silenceCheckInterval - justBefore) == none);
    CHECK(contact.dueChecks(start + silenceCheckInterval) == onlyService);
}

// Guards against a change that is reported twice, or never.
TEST_CASE("A failed check makes a service unreached, and the next success reached", "[contact]")
{
    ServiceContact contact;
    contact.recordFailedConnection(service, start);
    CHECK(contact.recordCheck(service, false, start));
    CHECK(contact.state(service, start) == ContactState::Unreached);
    CHECK(contact.isUnreached(service));
    CHECK_FALSE(contact.isDoubtful(service));

    CHECK_FALSE(contact.recordCheck(service, false, start + Milliseconds(250)));
    CHECK(contact.unreachedSince(service) == start);

    CHECK(contact.recordCheck(service, true, start + Milliseconds(500)));
    CHECK(contact.state(service, start + Milliseconds(500)) == ContactState::Reached);
    CHECK_FALSE(contact.unreachedSince(service));
    CHECK_FALSE(contact.recordCheck(service, true, start + Milliseconds(600)));
}

// Guards against a host that takes long to notice that it reaches servers again.
TEST_CASE("An unreached service is checked four times a second until it is reached", "[contact]")
{
    ServiceContact contact = makeUnreached();
    CHECK(contact.dueChecks(start + unreachedCheckInterval - justBefore) == none);
    CHECK(contact.dueChecks(start + unreachedCheckInterval) == onlyService);
    contact.recordCheck(service, false, start + unreachedCheckInterval);
    CHECK(contact.dueChecks(start + unreachedCheckInterval) == none);
    CHECK(contact.dueChecks(start + 2 * unreachedCheckInterval) == onlyService);
    contact.recordCheck(service, true, start + 2 * unreachedCheckInterval);
    CHECK(contact.dueChecks(start + std::chrono::minutes(10)) == none);
}

// Guards against a host that takes calls again because open connections outlive the partition,
// although each new call needs a new connection.
TEST_CASE("Bytes on open connections do not end the state unreached", "[contact]")
{
    ServiceContact contact = makeUnreached();
    const Milliseconds later = start + Milliseconds(100);
    contact.recordSent(service, later);
    contact.recordReceived(service, later);
    CHECK(contact.state(service, later) == ContactState::Unreached);
    CHECK(contact.isUnreached(service));
}

// Guards against a late result of a connection that was tried before the partition: the check alone
// decides.
TEST_CASE("A single accepted connection does not end the state unreached", "[contact]")
{
    ServiceContact contact = makeUnreached();
    contact.recordAccepted(service, start + Milliseconds(100));
    CHECK(contact.state(service, start + Milliseconds(100)) == ContactState::Unreached);
    CHECK(contact.unreachedSince(service) == start);
}

// Guards against an unreached service that is never checked again after a pause of the process.
TEST_CASE("The state unreached does not end on time", "[contact]")
{
    ServiceContact contact = makeUnreached();
    const Milliseconds later = start + std::chrono::hours(1);
    CHECK(contact.state(service, later) == ContactState::Unreached);
    CHECK(contact.dueChecks(later) == onlyService);
}

// Guards against a loss of one service that is taken for a loss of all.
TEST_CASE("Services are judged apart", "[contact]")
{
    ServiceContact contact = makeUnreached();
    contact.recordAccepted("other", start);
    CHECK(contact.state("other", start) == ContactState::Reached);
    CHECK(contact.state("third", start) == ContactState::Assumed);
    CHECK(contact.isUnreached(service));
    CHECK(contact.services() == std::vector<std::string>{"other", service});
    CHECK(contact.dueChecks(start + unreachedCheckInterval) == onlyService);
}

// Guards against a service that is no longer configured and stays unreached.
TEST_CASE("A forgotten service is assumed to be reached", "[contact]")
{
    ServiceContact contact = makeUnreached();
    contact.forget(service);
    contact.forget("unknown");
    CHECK(contact.state(service, start) == ContactState::Assumed);
    CHECK(contact.services().empty());
    CHECK(contact.dueChecks(start + std::chrono::hours(1)) == none);
}
