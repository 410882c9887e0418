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
 * Sends this host's load to its peers between membership probes.
 *
 * At each interval, a fixed number of peers of the same region receive an update in round-robin
 * order, so traffic per host does not grow with the number of hosts. With 9 hosts, each peer
 * receives two updates per second from this host.
 */
class LoadExchange
{
public:
    /** The content of an update. */
    enum class Content {
        /** This host's load only, which changes most often. */
        Load,
        /** The load, the crash quarantine and the leaving backend servers. */
        All,
    };

    /** An encoded update. */
    struct Update
    {
        /** The bytes to send. */
        std::string bytes;
        /** The encoded call limits of backend servers; empty if there are none to send. */
        std::string limits;
        /** The backend servers whose load changed since the last Load update; empty for All. */
        std::vector<BackendServerName> changedServers;
    };

    /** Encodes the update to send. */
    using EncodeUpdate = std::function<boost::asio::awaitable<Update>(Content)>;
    /** Returns the peer addresses of the hosts that place work on any of the servers. */
    using SelectPeers = std::function<std::vector<std::string>(std::span<const BackendServerName>)>;

    /**
     * Creates an exchange that does not send yet.
     *
     * @param selectPeers selects the peers that receive a changed load without waiting for the
     *     interval; if it is empty, these are the next peers in round-robin order.
     */
    LoadExchange(EntryState &state, boost::asio::io_context &context, EncodeUpdate encodeUpdate,
                 SelectPeers selectPeers);
    LoadExchange(const LoadExchange &) = delete;
    LoadExchange &operator=(const LoadExchange &) = delete;

    /** Starts sending at intervals. */
    void start();
    /** Sends after a short delay that batches changes, within the byte budget. Thread-safe. */
    void requestSend(Content content);

private:
    boost::asio::awaitable<void> sendPeriodically();
    boost::asio::awaitable<void> sendTo(std::string address, Update update);
    boost::asio::awaitable<void> sendNow(Content content);
    void sendTo(const std::vector<std::string> &peers, const Update &update);
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
