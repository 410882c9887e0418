#pragma once

#include "entry/entry.h"
#include "policy/policy.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sassafrasyard {

/** The functions that connect a BrittleServers to the other hosts; all of them may be empty. */
struct BrittleHooks
{
    /** Asks the host at a peer address for a place; nothing if there is no valid reply. */
    std::function<boost::asio::awaitable<std::optional<CallPermitReply>>(
            std::string address, PlacePermitRequest request, Milliseconds timeout, Error &reason)>
            ask;
    /** Sends a request to the host at a peer address without waiting for the reply. */
    std::function<void(std::string address, PlacePermitRequest request)> tell;
};

/**
 * Keeps the calls to services whose servers state that they are brittle within the servers' slots.
 *
 * Each call to such a service needs a place at its server from the host that gives them out; see
 * SharedConcurrency.
 */
class BrittleServers
{
public:
    /** Creates an object that knows no brittle service. @param clock must count suspension. */
    BrittleServers(EntryState &entry, Clock clock);
    BrittleServers(const BrittleServers &) = delete;
    BrittleServers &operator=(const BrittleServers &) = delete;

    /** Sets the hooks. Without them this host gives out places as if it were the only one. */
    void setHooks(BrittleHooks newHooks);

    /**
     * Records what a response states about its server.
     *
     * @param rejectionsPerSecond what the server bears, or nothing if the response states nothing.
     * @param isRejection whether the server rejected the call for want of room.
     * @param sentAt when the call was sent.
     */
    void recordResponse(const std::string &service, const BackendServerName &run,
                        std::optional<double> rejectionsPerSecond, bool isRejection,
                        Milliseconds sentAt);
    /**
     * Obtains a place for a call, at once if the service is not brittle. A granted place must be
     * given back with release(). A call that is not granted one must not be sent.
     *
     * @param slots how many calls the server processes at the same time.
     * @param isContinuation whether the call continues a stream. It is always granted, since the
     *     stream would be cut otherwise; the next report to the granter counts it.
     */
    boost::asio::awaitable<CallPermit> acquire(std::string service, BackendServerName run,
                                               std::uint32_t slots, bool isContinuation);
    /** Gives back a granted place after the call has ended. */
    void release(const std::string &service, const BackendServerName &run);
    /** Returns for how long a server process gets no calls of this host, or nothing. */
    std::optional<Milliseconds> pauseLeft(const BackendServerName &run) const;
    /** Returns whether any service is brittle. */
    bool hasBrittleServices() const;

    /** Answers a peer that asks for a place, reports its calls or tells of a brittle service. */
    CallPermitReply answer(const PlacePermitRequest &request);
    /** Applies changes of the members and reports calls. Call it several times a second. */
    void advance();

private:
    void updateHosts(Milliseconds now);
    std::string addressOf(const HostName &host) const;
    boost::asio::awaitable<std::optional<CallPermit>> askGranter(PlaceRequest request);
    void sendReport(const std::string &service, const BackendServerName &run);
    void announce(const std::string &service, const BackendServerName &run, double limit);
    void logService(const std::string &service, std::string_view source) const;

    EntryState &entry;
    Clock clock;
    BrittleHooks hooks;
    BrittleStatements statements;
    SharedConcurrency places;
    std::shared_ptr<const std::vector<MemberRecord>> members;
    /** The services of the server processes at which this host has calls. */
    std::map<BackendServerName, std::string> services;
    Milliseconds reportedAt{0};
};

} // namespace sassafrasyard
