#pragma once

#include "core/core.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasyard {

/** What a host knows about its way to the servers of a service. */
enum class ContactState {
    /** No connection was tried lately, or nothing contradicts that servers can be reached. */
    Assumed,
    /** A server accepted a connection lately. */
    Reached,
    /** No server accepted a connection when all of them, or a sample, were tried. */
    Unreached,
};

/** Returns the name of a state in logs. */
std::string_view toString(ContactState state);

/** Times of a ServiceContact, in milliseconds. */
struct ServiceContactOptions
{
    /** How long an accepted connection shows that the service can be reached. */
    Milliseconds reachedLifetime{2000};
    /** How long an unanswered request may wait, with nothing heard from the service, until a check.
     *  A sound server may be silent for a second. */
    Milliseconds maximumSilence{1000};
    /** The shortest interval between two checks of a service that was reached at the first one. */
    Milliseconds checkInterval{1000};
    /** The shortest interval between a check and a later one for silence alone. */
    Milliseconds silenceCheckInterval{3000};
    /** The interval between checks while the service is unreached. */
    Milliseconds unreachedCheckInterval{250};
};

/**
 * Decides whether this host can reach the servers of each service.
 *
 * Guards against a host that is partitioned from all servers and goes on to accept calls. A failed
 * connection or a silent service is only a reason for a check, that is new connections to several
 * servers, because single servers crash, leave and stand still. Only the result of a check decides.
 * Whether the servers are down or the host is partitioned is not decided here; the hosts' peers
 * know.
 *
 * All instants are of a clock that counts suspension. Uses no clock or network itself.
 */
class ServiceContact
{
public:
    /** Creates an object that knows no service. */
    explicit ServiceContact(ServiceContactOptions options = {});

    /** Records that a server of a service accepted a new connection. */
    void recordAccepted(std::string_view service, Milliseconds now);
    /** Records that a server did not accept a new connection. */
    void recordFailedConnection(std::string_view service, Milliseconds now);
    /** Records that a request was sent to a server. */
    void recordSent(std::string_view service, Milliseconds now);
    /** Records that bytes of a server were received, on any connection. */
    void recordReceived(std::string_view service, Milliseconds now);
    /**
     * Records the result of a check.
     *
     * @return whether the service has become unreached, or reached again.
     */
    bool recordCheck(std::string_view service, bool isAccepted, Milliseconds now);
    /** Forgets a service that is no longer configured. */
    void forget(std::string_view service);

    /** Returns the services that should be checked now. */
    std::vector<std::string> dueChecks(Milliseconds now) const;
    /** Returns what is known of a service. */
    ContactState state(std::string_view service, Milliseconds now) const;
    /** Returns whether a service is unreached. */
    bool isUnreached(std::string_view service) const;
    /** Returns since when a service is unreached, or nothing. */
    std::optional<Milliseconds> unreachedSince(std::string_view service) const;
    /** Returns whether a connection has failed since the last check. */
    bool isDoubtful(std::string_view service) const;
    /** Returns the known services. */
    std::vector<std::string> services() const;

private:
    struct Record
    {
        std::optional<Milliseconds> acceptedAt;
        std::optional<Milliseconds> failedAt;
        /** When the first request was sent after the last received bytes. */
        std::optional<Milliseconds> waitingSince;
        std::optional<Milliseconds> checkedAt;
        std::optional<Milliseconds> unreachedSince;
    };

    Record &recordOf(std::string_view service);
    const Record *find(std::string_view service) const;
    bool isCheckDue(const Record &record, Milliseconds now) const;

    ServiceContactOptions options;
    std::map<std::string, Record, std::less<>> records;
};

} // namespace sassafrasyard
