#pragma once

#include "core/core.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace sassafrasyard {

/** An object of the platform's store. */
struct RegisteredObject
{
    /** Its name, unique within its kind. */
    std::string name;
    /** The store's revision of its last change. */
    std::uint64_t revision = 0;
    /** What its writer stored, as JSON text. */
    std::string value;
};

/** One page of a list. */
struct ObjectPage
{
    /** The objects, ordered by name. */
    std::vector<RegisteredObject> objects;
    /** Whether more follow after the last one. */
    bool hasMore = false;
    /** The store's revision. */
    std::uint64_t revision = 0;
    /** How long before the question this was true, in milliseconds; 0 from the store itself. */
    Milliseconds age{0};
    /** Whether another host told it. */
    bool isFromPeer = false;
};

/** A change of an object. */
struct ObjectChange
{
    /** The object as it is, or as it was before its removal. */
    RegisteredObject object;
    /** Whether it was removed. */
    bool isRemoved = false;
};

/** The changes since a revision. */
struct ObjectChanges
{
    /** The changes, oldest first; none if the wait ended without one. */
    std::vector<ObjectChange> changes;
    /** The revision to go on from. */
    std::uint64_t revision = 0;
    /** How long before the question this was true, in milliseconds; 0 from the store itself. */
    Milliseconds age{0};
    /** The digest of all objects after these changes, if another host told it. */
    std::optional<std::uint64_t> digest{};
    /** Whether another host told it. */
    bool isFromPeer = false;
};

/** How old the answer to a read of the store may be. */
enum class ReadAge {
    /** As of the instant of asking. */
    Current,
    /** Some seconds; such reads are cheap for the store. */
    Seconds,
};

/** The calls to the platform's store that follow a kind of object. */
struct ObjectSource
{
    /**
     * Reads a page of a kind. The name after which to go on is empty for the first page.
     *
     * Fails with PlatformUnavailable.
     */
    std::function<boost::asio::awaitable<std::optional<ObjectPage>>(
            std::string kind, std::string after, ReadAge age, Error &)>
            list;
    /**
     * Waits for changes of a kind since a revision.
     *
     * Fails with HistoryGone if the store no longer knows what happened since, or
     * PlatformUnavailable.
     */
    std::function<boost::asio::awaitable<std::optional<ObjectChanges>>(
            std::string kind, std::uint64_t revision, Milliseconds wait, Error &)>
            watch;
};

/**
 * Reads all objects of a kind, page by page.
 *
 * @param reason as for ObjectSource::list.
 * @return the objects, with the revision of the first page. A watch from there repeats what changed
 *     between two pages.
 */
boost::asio::awaitable<std::optional<ObjectPage>> readAllObjects(const ObjectSource &source,
                                                                 std::string kind, ReadAge age,
                                                                 Error &reason);

} // namespace sassafrasyard
