#pragma once

#include "entry/entry.h"

#include <map>
#include <optional>

namespace sassafrasyard {

/**
 * Temporarily excludes backend servers from new work after failed connections or when they asked
 * for a pause.
 *
 * The registry notices a crash only after several heartbeats, a failed connection shows it at once.
 * A requested pause lasts until its end, whatever the server answers meanwhile.
 */
class ServerReachability
{
public:
    /** Creates an object without any failures. @param clock must count suspension. */
    ServerReachability(DispatchService &dispatch, Clock clock);
    ServerReachability(const ServerReachability &) = delete;
    ServerReachability &operator=(const ServerReachability &) = delete;

    /** Records that a connection to a server failed; the exclusion doubles with each failure. */
    void recordFailure(const BackendServerName &server);
    /** Records that a server responded, which ends an exclusion for failed connections. */
    void recordSuccess(const BackendServerName &server);
    /** Records that a server asked this host to send no calls for a time, in milliseconds. */
    void recordPause(const BackendServerName &server, Milliseconds time);
    /** Returns the rest of the pause that a server asked for, or nothing if there is none. */
    std::optional<Milliseconds> pauseLeft(const BackendServerName &server) const;
    /** Returns whether a pause of any server is in effect. */
    bool hasPauses() const;
    /**
     * Ends an exclusion for failed connections that began at an instant or later, because the host
     * was cut off from then on and is not any more.
     */
    void endAvoidance(const BackendServerName &server, Milliseconds since);
    /** Removes all records of a server that restarted under the same name. */
    void forget(const BackendServerName &server);
    /** Ends exclusions and pauses that have expired. Call it several times a second. */
    void advance();

private:
    struct Failure
    {
        std::uint32_t count = 0;
        Milliseconds since{0};
        Milliseconds until{0};
        bool isAvoided = false;
    };

    void publish(const BackendServerName &server);

    DispatchService &dispatch;
    Clock clock;
    std::map<BackendServerName, Failure> failures;
    /** The ends of the pauses that servers asked for. */
    std::map<BackendServerName, Milliseconds> pauses;
};

} // namespace sassafrasyard
