#pragma once

#include "entry/peers/bytebudget.h"
#include "entry/peers/peerrotation.h"
#include "entry/state/entrystate.h"
#include "network/network.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace sassafrasyard {

/**
 * Sends this host's load to its peers between probes.
 *
 * Each tick goes to a bounded number of peers of the same region in turn, so that traffic per host
 * does not grow with the number of hosts; with 9 hosts each peer hears from this host twice a
 * second.
 */
class LoadExchange
{
public:
    /** What an update tells. */
    enum class Content {
        /** This host's load only, which is what changes most often. */
        Load,
        /** Also the crash quarantine and the leaving backend servers. */
        All,
    };

    /** An encoded update. */
    struct Update
    {
        /** The bytes to send. */
        std::string bytes;
        /** The backend servers whose load differs from the last update of this content. */
        std::vector<BackendServerName> changedServers;
    };

    /** Encodes the update to send. */
    using EncodeUpdate = std::function<boost::asio::awaitable<Update>(Content)>;
    /** Returns the peer addresses of the hosts that place work on one of the servers. */
    using SelectPeers = std::function<std::vector<std::string>(std::span<const BackendServerName>)>;

    /**
     * Creates an exchange that does not send yet.
     *
     * @param selectPeers chooses who hears of a changed load at once; if it is empty, the next
     *     peers in turn do.
     */
    LoadExchange(EntryState &state, boost::asio::io_context &context, EncodeUpdate encodeUpdate,
                 SelectPeers selectPeers);
    LoadExchange(const LoadExchange &) = delete;
    LoadExchange &operator=(const LoadExchange &) = delete;

    /** Starts sending. */
    void start();
    /** Sends soon, to as many peers as the bytes per second permit; safe from any thread. */
    void requestSend(Content content);

private:
    boost::asio::awaitable<void> sendPeriodically();
    boost::asio::awaitable<void> sendTo(std::string address, std::string update);
    boost::asio::awaitable<void> sendNow(Content content);
    void sendTo(const std::vector<std::string> &peers, const std::string &update);
    boost::asio::awaitable<void> sendAfterDelay();
    std::vector<std::string> nextPeers(std::size_t limit);

    EntryState &entry;
    boost::asio::strand<boost::asio::io_context::executor_type> strand;
    EncodeUpdate encodeUpdate;
    SelectPeers selectPeers;
    std::map<std::string, std::unique_ptr<FrameConnection>> connections;
    std::set<std::string> addressesBeingSent;
    PeerRotation rotation;
    ByteBudget budget;
    bool isSendScheduled = false;
    Content pendingContent = Content::Load;
};

} // namespace sassafrasyard
