#pragma once

#include "entry/entry.h"
#include "protocol/protocol.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace sassafrasyard {

/**
 * Finds the peers that reach the servers of a service which this host can't reach.
 *
 * Some randomly chosen peers are asked, so that many hosts that are cut off at once don't all
 * choose the same ones, and the questions don't grow with the number of hosts. A peer that does not
 * reach the service either is not chosen, so a service whose servers are down has no relay peers.
 * All calls must come from the thread of the gateway.
 */
class RelayPeers
{
public:
    /** Asks the host at a peer address; nothing if there is no valid reply. */
    using Ask = std::function<boost::asio::awaitable<std::optional<ServiceContactReply>>(
            std::string address, ServiceContactRequest request, Milliseconds timeout,
            Error &reason)>;

    /** Creates an object that knows no peers. @param clock must count suspension. */
    RelayPeers(EntryState &entry, boost::asio::io_context &context, Clock clock);
    RelayPeers(const RelayPeers &) = delete;
    RelayPeers &operator=(const RelayPeers &) = delete;

    /** Sets the function that asks a peer; without it there are no relay peers. */
    void setAsk(Ask newAsk);

    /**
     * Returns the relay address, "IP:port", of a peer that reached a service lately, or nothing.
     * Waits for the answers of peers if none is known.
     *
     * @param version the least version of the routes at the peer, so that calls are not handled
     *     by older routes than those in force here.
     * @param excluded addresses that are not returned.
     */
    boost::asio::awaitable<std::optional<std::string>> choose(std::string service,
                                                              std::uint64_t version,
                                                              std::vector<std::string> excluded);
    /** Returns whether a peer reached a service lately. */
    bool hasPeer(const std::string &service) const;
    /**
     * Returns whether the servers of a service are down as far as is known: of the peers that
     * answered the last round of questions none reaches it, or there are no peers.
     */
    bool areServersDown(const std::string &service) const;
    /** Records that a peer did not take a call of a service. */
    void recordFailure(const std::string &service, const std::string &relayAddress);

private:
    struct Answers;
    struct Answer
    {
        Milliseconds receivedAt{0};
        std::uint64_t configurationVersion = 0;
    };
    struct Service
    {
        /** The peers that reach the service, by their relay address. */
        std::map<std::string, Answer> peers;
        /** When a peer last told that it reaches the service. */
        std::optional<Milliseconds> reachedAt;
        /** Whether the last round of questions was answered, and by no peer that reaches it. */
        bool isDown = false;
        /** When peers were asked last. */
        std::optional<Milliseconds> askedAt;
        /** The questions in progress. */
        std::shared_ptr<Answers> answers;
    };

    std::vector<std::string> known(const std::string &service, std::uint64_t version,
                                   std::span<const std::string> excluded) const;
    std::vector<std::string> choosePeersToAsk();
    void askPeers(const std::string &service);
    boost::asio::awaitable<void> askPeer(std::string service, std::string peerAddress,
                                         std::shared_ptr<Answers> answers);

    EntryState &entry;
    boost::asio::io_context &context;
    Clock clock;
    Ask ask;
    RandomSource random;
    std::map<std::string, Service> services;
};

} // namespace sassafrasyard
