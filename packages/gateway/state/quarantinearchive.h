#pragma once

#include "entry/entry.h"
#include "gateway/store/objectsource.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace sassafrasyard {

/** The calls by which refused requests are kept in the store. */
struct QuarantineArchiveCalls
{
    /** Reads all kept requests; nothing if the store is away. */
    std::function<boost::asio::awaitable<std::optional<std::vector<RegisteredObject>>>(Error &)>
            readAll;
    /** Keeps a request, in place of what was kept under its name. @return whether it is kept. */
    std::function<boost::asio::awaitable<bool>(std::string name, std::string value, Error &)> write;
    /** Removes what was kept under a name. */
    std::function<boost::asio::awaitable<bool>(std::string name, Error &)> remove;
};

/**
 * Keeps the requests that are refused because they crashed servers in the store.
 *
 * Hosts tell each other of them, but hosts that all start at once have nobody to tell them. A host
 * writes a request of whose deaths it saw one, and reads all once when it starts.
 */
class QuarantineArchive
{
public:
    /** Creates an archive that does nothing yet. @param wallClock dates deaths for later runs. */
    QuarantineArchive(DispatchService &dispatch, boost::asio::io_context &context,
                      QuarantineArchiveCalls calls, Clock wallClock);
    QuarantineArchive(const QuarantineArchive &) = delete;
    QuarantineArchive &operator=(const QuarantineArchive &) = delete;

    /** Reads what is kept, again and again until the store answers. */
    void start();
    /** Keeps a request that begins to be refused; safe from any thread. */
    void save(std::uint64_t requestDigest);

    /** Encodes a request's deaths as JSON text. */
    static std::string encode(std::span<const QuarantineRecord> records, Milliseconds wallTime);
    /** Decodes a request's deaths that still count; fails with InvalidRequest. */
    static std::optional<std::vector<QuarantineRecord>> decode(const RegisteredObject &object,
                                                               Milliseconds wallTime,
                                                               Error &reason);

private:
    boost::asio::awaitable<void> loadArchive();
    boost::asio::awaitable<void> saveRecords(std::uint64_t requestDigest);
    boost::asio::awaitable<void> applyObjects(std::span<const RegisteredObject> objects);

    DispatchService &dispatch;
    boost::asio::io_context &context;
    QuarantineArchiveCalls calls;
    Clock wallClock;
};

} // namespace sassafrasyard
