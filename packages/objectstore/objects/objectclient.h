#pragma once

#include "core/core.h"
#include "network/network.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sassafrasyard {

/** An object of the platform with its version. */
struct StoredObject
{
    /** The object's name. */
    std::string name;
    /** Rises with every write of the object. */
    std::uint64_t version = 0;
    /** The object's value. */
    std::string value;
};

/** What a conditional write requires of the object. */
struct WriteCondition
{
    /** The version that must be stored; 0 if the object must not exist. */
    std::uint64_t version = 0;
};

/**
 * The client of the platform's object API.
 *
 * Failures are PlatformUnavailable with NotRun if nothing was sent, PlatformOutcomeUnknown if a
 * write may have taken effect, Conflict if a condition did not hold and NotFound.
 */
class ObjectClient
{
public:
    /** Creates a client. @param endpoint the object API's address. */
    ObjectClient(Endpoint endpoint, HttpTimeouts timeouts);

    /** Reads an object. */
    boost::asio::awaitable<std::optional<StoredObject>> read(std::string name, Error &reason);

    /**
     * Reads several objects, a bounded number of them at the same time.
     *
     * Must be called on a strand or on a context with one thread.
     *
     * @return the objects in the order of the names, or nothing with the reason of one failure.
     */
    boost::asio::awaitable<std::optional<std::vector<StoredObject>>> readAll(
            std::vector<std::string> names, Error &reason);

    /**
     * Waits until an object's version differs from the known one.
     *
     * @param timeout after which the unchanged object is returned, in milliseconds.
     */
    boost::asio::awaitable<std::optional<StoredObject>> watch(std::string name,
                                                              std::uint64_t knownVersion,
                                                              Milliseconds timeout, Error &reason);

    /** Reads all objects whose names start with a prefix. */
    boost::asio::awaitable<std::optional<std::vector<StoredObject>>> list(std::string prefix,
                                                                          Error &reason);

    /** Writes an object if the condition holds. @return the new version. */
    boost::asio::awaitable<std::optional<std::uint64_t>> write(
            std::string name, std::string value, std::optional<WriteCondition> condition,
            Error &reason);

    /** Removes an object. @return whether it is gone. */
    boost::asio::awaitable<bool> remove(std::string name, Error &reason);

private:
    struct ReadBatch;

    boost::asio::awaitable<void> readBatch(std::shared_ptr<ReadBatch> batch);
    boost::asio::awaitable<std::optional<StoredObject>> get(std::string name, std::string target,
                                                            HttpTimeouts requestTimeouts,
                                                            Error &reason);

    Endpoint endpoint;
    HttpTimeouts timeouts;
};

} // namespace sassafrasyard
