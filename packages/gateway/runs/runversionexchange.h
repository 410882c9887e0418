#pragma once

#include "entry/entry.h"
#include "gateway/runs/runkey.h"
#include "gateway/runs/runtable.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sassafrasyard {

/** The longest software version in messages between hosts, in bytes. */
inline constexpr std::size_t maximumRunVersionBytes = 64;
/** The longest service name in messages on software versions between hosts, in bytes. */
inline constexpr std::size_t maximumRunServiceBytes = 256;
/** The number of streams in one message between hosts. */
inline constexpr std::size_t maximumRunsPerMessage = 256;

/** The functions by which a RunVersionExchange reaches other hosts. */
struct RunExchangeHooks
{
    /** Sends software versions to the host at a peer address. @return whether it confirmed. */
    std::function<boost::asio::awaitable<bool>(std::string address, RunVersionUpdate update,
                                               Milliseconds timeout, Error &reason)>
            tell;
    /** Asks the host at a peer address for software versions; nothing if there is no valid reply.
     */
    std::function<boost::asio::awaitable<std::optional<RunVersionReply>>(
            std::string address, RunVersionRequest request, Milliseconds timeout, Error &reason)>
            ask;
};

/**
 * Tells other hosts the software versions of streams that began here, and asks them for those of
 * streams that began elsewhere.
 *
 * At most one update and one request are in progress with each peer; what comes meanwhile shares
 * the next. All calls come from one thread.
 */
class RunVersionExchange
{
public:
    /** How long a question waits for the peers, in milliseconds. */
    static constexpr Milliseconds askTimeout{150};
    /** Streams that begin within this time share an update, in milliseconds. */
    static constexpr Milliseconds batchDelay{25};
    /** The number of streams that wait to be told to one peer; the oldest are dropped. */
    static constexpr std::size_t maximumWaitingRuns = 1024;

    /** Creates an exchange. @param entry provides the members. */
    RunVersionExchange(EntryState &entry, boost::asio::io_context &context, RunExchangeHooks hooks);
    RunVersionExchange(const RunVersionExchange &) = delete;
    RunVersionExchange &operator=(const RunVersionExchange &) = delete;

    /** Tells the keepers of a stream its software version; see selectRunKeepers(). */
    void tell(const RunKey &run, const std::string &service, const SoftwareVersion &version);
    /**
     * Tells the host at a peer address the software version of a stream. An update that is not
     * confirmed is sent again a few times.
     */
    void tellPeer(const std::string &address, const RunStatement &statement);
    /**
     * Asks the keepers of a stream for its software version; the first one that knows it decides.
     */
    boost::asio::awaitable<RunLookup> ask(RunKey run, std::string service);
    /** Returns the number of streams that wait to be told to any peer. */
    std::size_t waitingRunCount() const;

private:
    /** A question to several peers. */
    struct Query;

    /** What waits to be sent to one peer. */
    struct Peer
    {
        std::deque<RunVersionMessage> runs;
        std::deque<std::pair<RunKeyMessage, std::shared_ptr<Query>>> questions;
        /** The number of updates in succession that the peer did not confirm. */
        int unconfirmedUpdates = 0;
        bool isTelling = false;
        bool isAsking = false;
    };

    boost::asio::awaitable<void> sendUpdates(std::string address);
    static void returnUnconfirmed(Peer &peer, const std::vector<RunVersionMessage> &runs);
    boost::asio::awaitable<void> askPeer(std::string address);
    static RunVersionRequest takeQuestions(Peer &peer,
                                           std::vector<std::shared_ptr<Query>> &queries);
    void forgetIfIdle(const std::string &address);

    EntryState &entry;
    boost::asio::io_context &context;
    RunExchangeHooks hooks;
    std::map<std::string, Peer> peers;
};

} // namespace sassafrasyard
