#pragma once

#include "entry/entry.h"

#include <map>
#include <optional>

namespace sassafrasyard {

/**
 * Keeps new work for a while from backend servers that could not be connected to, and from those
 * that asked for a pause.
 *
 * The registry notices a crash only after some heartbeats; a failed connection is known at once.
 * A pause that a server asked for holds whatever else it answers meanwhile.
 */
class ServerReachability
{
public:
    /** Creates an object that knows of no failure. */
    ServerReachability(DispatchService &dispatch, Clock clock);
    ServerReachability(const ServerReachability &) = delete;
    ServerReachability &operator=(const ServerReachability &) = delete;

    /** Records that a server could not be connected to. */
    void recordFailure(const BackendServerName &server);
    /** Records that a server answered. */
    void recordSuccess(const BackendServerName &server);
    /** Records that a server wants nothing from this host for a time, in milliseconds. */
    void recordPause(const BackendServerName &server, Milliseconds time);
    /** Returns how long a server still wants nothing; nothing if it takes work. */
    std::optional<Milliseconds> pauseLeft(const BackendServerName &server) const;
    /** Returns whether any server asked for a pause that lasts. */
    bool hasPauses() const;
    /** Forgets a server that runs anew under its name. */
    void forget(const BackendServerName &server);
    /** Lets servers be tried again. Call it several times a second. */
    void advance();

private:
    struct Failure
    {
        std::uint32_t count = 0;
        Milliseconds until{0};
        bool isAvoided = false;
    };

    void publish(const BackendServerName &server);

    DispatchService &dispatch;
    Clock clock;
    std::map<BackendServerName, Failure> failures;
    /** Until when servers want nothing from this host. */
    std::map<BackendServerName, Milliseconds> pauses;
};

} // namespace sassafrasyard
