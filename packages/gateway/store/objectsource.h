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
    /** The position (storeposition) of its last change. */
    std::uint64_t revision = 0;
    /** Its value as JSON text. */
    std::string value;
};

/** One page of a list. */
struct ObjectPage
{
    /** The objects, ordered by name. */
    std::vector<RegisteredObject> objects;
    /** Whether more objects follow after the last one. */
    bool hasMore = false;
    /** The store's position at the time of the read. */
    std::uint64_t revision = 0;
    /**
     * How long before the request the content was current, in milliseconds; 0 from the store
     * itself.
     */
    Milliseconds age{0};
    /** Whether it comes from another host instead of the store. */
    bool isFromPeer = false;
};

/** A change of an object. */
struct ObjectChange
{
    /** The object after the change, or before its removal. */
    RegisteredObject object;
    /** Whether it was removed. */
    bool isRemoved = false;
};

/** The changes since a revision. */
struct ObjectChanges
{
    /** The changes, oldest first; none if the wait ended without one. */
    std::vector<ObjectChange> changes;
    /** The position from which to watch for further changes. */
    std::uint64_t revision = 0;
    /**
     * How long before the request the content was current, in milliseconds; 0 from the store
     * itself.
     */
    Milliseconds age{0};
    /** The digest of all objects after these changes, if another host sent one. */
    std::optional<std::uint64_t> digest{};
    /** Whether it comes from another host instead of the store. */
    bool isFromPeer = false;
};

/** The permitted age of the result of a read. */
enum class ReadAge {
    /** Current at the time of the request. */
    Current,
    /** Up to some seconds old; such reads are cheap for the store. */
    Seconds,
};

/** The calls by which a kind of object in the platform's store is followed. */
struct ObjectSource
{
    /**
     * Reads a page of a kind.
     *
     * The name after which the page starts is empty for the first page. Fails with
     * PlatformUnavailable.
     */
    std::function<boost::asio::awaitable<std::optional<ObjectPage>>(
            std::string kind, std::string after, ReadAge age, Error &)>
            list;
    /**
     * Waits for changes of a kind since a revision, for at most the given time in milliseconds.
     *
     * Fails with HistoryGone if the store no longer has the changes since then, otherwise with
     * PlatformUnavailable.
     */
    std::function<boost::asio::awaitable<std::optional<ObjectChanges>>(
            std::string kind, std::uint64_t revision, Milliseconds wait, Error &)>
            watch;
};

/**
 * Reads all objects of a kind, page by page.
 *
 * @param reason as for ObjectSource::list; also if the store was restored between two pages, or if
 *     a page has no object from whose name the next one can start.
 * @return the objects, with the revision of the first page. A watch from there repeats what changed
 *     between two pages.
 */
boost::asio::awaitable<std::optional<ObjectPage>> readAllObjects(const ObjectSource &source,
                                                                 std::string kind, ReadAge age,
                                                                 Error &reason);

} // namespace sassafrasyard
