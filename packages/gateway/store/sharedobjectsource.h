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
    /** How long a read at another host waits for changes. */
    Milliseconds readerWait{700};
    /** What is known for longer at a reader is asked elsewhere. */
    Milliseconds maximumAge{2000};
    /** How long a reader, or for a reader the store, is left alone after it failed. */
    Milliseconds skipTime{1000};
    /** What a reader's answer may take beyond its wait. */
    Milliseconds answerSlack{300};
    /** How many readers are asked before the store. */
    std::size_t maximumReaders = 3;

    /**
     * Returns the times for readers whose watches wait for so long, in milliseconds.
     *
     * What such a reader knows is up to two waits old, since a watch confirms only by its end, and
     * up to three while it lives from another reader.
     */
    static SharedSourceOptions forWatches(Milliseconds watchWait);
};

/** What a SharedObjectSource asks of its host. */
struct SharedSourceHooks
{
    /** Returns who reads the store now. */
    std::function<StoreReaders()> readers;
    /** Asks a host; fails with ConnectionFailed, Timeout or ProtocolViolation. */
    std::function<boost::asio::awaitable<std::optional<ObjectReadReply>>(
            std::string address, ObjectRead read, Milliseconds timeout, Error &reason)>
            ask;
};

/**
 * Reads a kind of object from hosts that follow the platform's store, or from the store.
 *
 * Readers ask the store first and other readers while it does not answer them; all other hosts ask
 * readers first and the store if none answers with fresh news. Ages add up over the hosts on the
 * way and count from when a question was asked, so that they are never too small.
 */
class SharedObjectSource
{
public:
    /** Creates a source. @param clock must count suspension. */
    SharedObjectSource(ObjectSource store, SharedSourceHooks hooks, Clock clock,
                       SharedSourceOptions options);
    SharedObjectSource(const SharedObjectSource &) = delete;
    SharedObjectSource &operator=(const SharedObjectSource &) = delete;

    /** Returns the calls; this object must outlive them. */
    ObjectSource source();

private:
    /** How the question to other hosts ended. */
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
    /** The highest revision that was read; a list that ends before it is of no use. */
    std::uint64_t knownRevision = 0;
};

} // namespace sassafrasyard
