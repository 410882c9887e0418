#pragma once

#include "entry/entry.h"

#include <map>

namespace sassafrasyard {

/**
 * Keeps new work for a while from backend servers that could not be connected to.
 *
 * The registry notices a crash only after some heartbeats; a failed connection is known at once.
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
    /** Lets servers be tried again. Call it several times a second. */
    void advance();

private:
    struct Failure
    {
        std::uint32_t count = 0;
        Milliseconds until{0};
        bool isAvoided = false;
    };

    void setReachable(const BackendServerName &server, bool isReachable);

    DispatchService &dispatch;
    Clock clock;
    std::map<BackendServerName, Failure> failures;
};

} // namespace sassafrasyard
