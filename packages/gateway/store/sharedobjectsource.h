#pragma once

#include "core/core.h"
#include "gateway/store/objectsource.h"
#include "gateway/store/readerselection.h"
#include "protocol/protocol.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace sassafrasyard {

/** Times of a SharedObjectSource, in milliseconds. */
struct SharedSourceOptions
{
    /** How long a read at a reader waits for changes. */
    Milliseconds readerWait{700};
    /** Replies with an older state are rejected and another reader is queried. */
    Milliseconds maximumAge{2000};
    /** How long a reader that failed is skipped; for a reader also how long the store is. */
    Milliseconds skipTime{1000};
    /** The time that a reply may take beyond the wait for changes. */
    Milliseconds answerSlack{300};
    /** How many readers are queried before the store. */
    std::size_t maximumReaders = 3;

    /**
     * Returns the times for readers whose watches wait for the given time, in milliseconds.
     *
     * The state of such a reader is up to two waits old, because a watch confirms it only when it
     * ends, and up to three if the reader itself reads from another reader.
     */
    static SharedSourceOptions forWatches(Milliseconds watchWait);
};

/** The functions of the host that a SharedObjectSource needs. */
struct SharedSourceHooks
{
    /** Returns the current readers of the store. */
    std::function<StoreReaders()> readers;
    /** Sends a read to a host; fails with ConnectionFailed, Timeout or ProtocolViolation. */
    std::function<boost::asio::awaitable<std::optional<ObjectReadReply>>(
            std::string address, ObjectRead read, Milliseconds timeout, Error &reason)>
            ask;
};

/**
 * Reads a kind of object from hosts that follow the platform's store, or from the store.
 *
 * Readers query the store first, and other readers while the store fails. All other hosts query
 * readers first, and the store if none has a recent state. Ages are added up along the path and
 * count from the time of the request, so that they are never underestimated.
 */
class SharedObjectSource
{
public:
    /**
     * Creates a source.
     *
     * @param store the calls to the platform's store.
     * @param clock must count suspension.
     */
    SharedObjectSource(ObjectSource store, SharedSourceHooks hooks, Clock clock,
                       SharedSourceOptions options);
    SharedObjectSource(const SharedObjectSource &) = delete;
    SharedObjectSource &operator=(const SharedObjectSource &) = delete;

    /** Returns the functions for an ObjectFollower; this object must outlive them. */
    ObjectSource source();

private:
    /** The result of querying readers. */
    enum class QueryOutcome {
        Known,
        HistoryGone,
        Nothing,
    };

    boost::asio::awaitable<std::optional<ObjectPage>> list(std::string kind, std::string after,
                                                           ReadAge age, Error &reason);
    boost::asio::awaitable<std::optional<ObjectChanges>> watch(std::string kind,
                                                               std::uint64_t revision,
                                                               Milliseconds wait, Error &reason);
    boost::asio::awaitable<QueryOutcome> queryReaders(const ObjectRead &read,
                                                      ObjectReadReply &reply);
    boost::asio::awaitable<bool> queryReader(const std::string &address, const ObjectRead &read,
                                             ObjectReadReply &reply);
    bool mayQueryStoreFirst(const StoreReaders &readers) const;
    void skipReader(const std::string &address, const std::string &kind, std::string detail);
    void recordRevision(const ObjectPage &page);

    ObjectSource store;
    SharedSourceHooks hooks;
    Clock clock;
    SharedSourceOptions options;
    std::map<std::string, Milliseconds> readersSkippedUntil;
    Milliseconds storeSkippedUntil{0};
    /** The highest revision read so far; older lists are rejected. */
    std::uint64_t knownRevision = 0;
};

} // namespace sassafrasyard
