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

/** An object stored in the platform, with its version. */
struct StoredObject
{
    /** The object's name. */
    std::string name;
    /** Increases with every write of the object. */
    std::uint64_t version = 0;
    /** The object's value. */
    std::string value;
};

/** The condition of a write. */
struct WriteCondition
{
    /** The version that the stored object must have; 0 if the object must not exist. */
    std::uint64_t version = 0;
};

/**
 * A client of the platform's object API.
 *
 * Errors: PlatformUnavailable if a read failed or nothing was sent, PlatformOutcomeUnknown if a
 * write may have taken effect, Conflict if a write condition did not hold, and NotFound.
 */
class ObjectClient
{
public:
    /** Creates a client. @param endpoint the address of the object API. */
    ObjectClient(Endpoint endpoint, HttpTimeouts timeouts);

    /** Reads an object. @param reason receives PlatformUnavailable or NotFound. */
    boost::asio::awaitable<std::optional<StoredObject>> read(std::string name, Error &reason);

    /**
     * Reads several objects, a limited number of them concurrently.
     *
     * Must be called on a strand or on a context with one thread.
     *
     * @return the objects in the order of the names, or nothing if a read failed.
     */
    boost::asio::awaitable<std::optional<std::vector<StoredObject>>> readAll(
            std::vector<std::string> names, Error &reason);

    /**
     * Reads an object as soon as its version differs from the known one.
     *
     * @param timeout how long to wait before the unchanged object is returned, in milliseconds.
     */
    boost::asio::awaitable<std::optional<StoredObject>> watch(std::string name,
                                                              std::uint64_t knownVersion,
                                                              Milliseconds timeout, Error &reason);

    /** Reads all objects whose names start with a prefix. @param reason receives
     * PlatformUnavailable. */
    boost::asio::awaitable<std::optional<std::vector<StoredObject>>> list(std::string prefix,
                                                                          Error &reason);

    /** Writes an object if the condition holds, or always without one. @return the new version. */
    boost::asio::awaitable<std::optional<std::uint64_t>> write(
            std::string name, std::string value, std::optional<WriteCondition> condition,
            Error &reason);

    /** Removes an object. @return whether it no longer exists; false if that is unknown. */
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
