#pragma once

#include "entry/entry.h"
#include "gateway/store/objectarchivecalls.h"
#include "gateway/store/objectsource.h"
#include "gateway/store/unreadableobjectlog.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace sassafrasyard {

/**
 * Stores the requests that are quarantined because they crashed servers.
 *
 * Hosts report such requests to each other, but hosts that all start at once have no peer to learn
 * from. A host stores a request if it observed one of its crashes, and reads all stored requests
 * once when it starts. The same holds for parts of prompts.
 */
class QuarantineArchive
{
public:
    /** Creates an archive that is not started. @param wallClock dates crashes across restarts. */
    QuarantineArchive(DispatchService &dispatch, boost::asio::io_context &context,
                      ObjectArchiveCalls calls, Clock wallClock);
    QuarantineArchive(const QuarantineArchive &) = delete;
    QuarantineArchive &operator=(const QuarantineArchive &) = delete;

    /** Reads the stored requests; retries until the store answers. */
    void start();
    /** Stores a request whose quarantine has started; safe from any thread. */
    void save(std::uint64_t requestDigest);

    /**
     * Stores everything again that this host stored and that still counts, because the store lost
     * it.
     */
    void saveAgain();

    /** Encodes the crashes of a request as JSON text. */
    static std::string encode(std::span<const QuarantineRecord> records, Milliseconds wallTime);
    /** Decodes the crashes of a request that have not expired; fails with InvalidRequest. */
    static std::optional<std::vector<QuarantineRecord>> decode(const RegisteredObject &object,
                                                               Milliseconds wallTime,
                                                               Error &reason);

private:
    boost::asio::awaitable<void> loadArchive();
    boost::asio::awaitable<void> saveRecords(std::uint64_t requestDigest);
    boost::asio::awaitable<void> applyObjects(std::span<const RegisteredObject> objects);

    DispatchService &dispatch;
    boost::asio::io_context &context;
    ObjectArchiveCalls calls;
    Clock wallClock;
    UnreadableObjectLog unreadableObjects;
    /** The digests that this host stored; used on the thread of the context. */
    std::set<std::uint64_t> savedDigests;
};

} // namespace sassafrasyard
