#pragma once

#include "core/core.h"
#include "gateway/state/servingstate.h"
#include "gateway/store/objectmirror.h"
#include "gateway/store/objectsource.h"
#include "gateway/store/objectversions.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <span>
#include <string>

namespace sassafrasyard {

/** Times of an ObjectFollower. */
struct ObjectFollowerOptions
{
    /** How long one watch waits for a change, in milliseconds. */
    Milliseconds watchWait{1200};
    /**
     * How often the result of the watch is compared with a list, in milliseconds. A store that
     * compacts its history may fail to report changes to watches. The list may be seconds old,
     * which is much cheaper for the store; everything is read again if it shows an unknown change.
     */
    Milliseconds resyncInterval{3000};
    /**
     * The average interval between the starts of watches while there are changes, in milliseconds.
     * Changes come in groups, and each watch is a call to the store.
     */
    Milliseconds watchInterval{250};
    /**
     * The delay after a first failed call, in milliseconds; it doubles with each further failure.
     */
    Milliseconds firstRetryDelay{100};
    /** The longest delay after failed calls, in milliseconds. */
    Milliseconds longestRetryDelay{1000};

    /**
     * Returns times that keep the read data within the given bounds.
     *
     * @param drain how long a leaving server still accepts work, in milliseconds.
     */
    static ObjectFollowerOptions within(const ServingBounds &bounds, Milliseconds drain);
};

/** Follows the changes of one kind of object in the platform's store. */
class ObjectFollower
{
public:
    /** Receives all objects of the kind as of the instant at which they were requested. */
    using ListHook =
            std::function<void(std::span<const RegisteredObject>, Milliseconds requestedAt)>;
    /** Receives changes; there were no others up to the instant of the request. */
    using ChangesHook =
            std::function<void(std::span<const ObjectChange>, Milliseconds requestedAt)>;

    /** Creates a follower that is not started. @param clock must count suspension. */
    ObjectFollower(std::string kind, ObjectSource source, Clock clock, ListHook onList,
                   ChangesHook onChanges, ObjectFollowerOptions options);
    ObjectFollower(const ObjectFollower &) = delete;
    ObjectFollower &operator=(const ObjectFollower &) = delete;

    /** Called before the first list that was read after the store was restored from a copy. */
    using RestoreHook = std::function<void()>;

    /** Sets the hook; it may be empty. */
    void setRestoreHook(RestoreHook hook);
    /** Starts reading; the follower must outlive the work of the context. */
    void start(boost::asio::io_context &context);
    /** Returns the objects that were read, for other hosts. */
    ObjectMirror &mirror();

private:
    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<bool> readAll();
    boost::asio::awaitable<bool> readChanges();
    boost::asio::awaitable<bool> checkForMissedChanges();
    boost::asio::awaitable<void> limitWatchRate();
    bool agreesWith(const ObjectChanges &update) const;
    void recordResult(bool hasSucceeded, const Error &reason);

    std::string kind;
    ObjectSource source;
    Clock clock;
    ListHook onList;
    ChangesHook onChanges;
    RestoreHook onRestore;
    ObjectFollowerOptions options;
    std::uint64_t revision = 0;
    bool needsList = true;
    Milliseconds lastCheckedAt{0};
    /** The start time of the next watch at the average interval. */
    Milliseconds nextWatchAt{0};
    ObjectVersions versions;
    ObjectMirror content;
    /** Whether the last result came from another host, which costs the store nothing. */
    bool wasFromPeer = false;
    bool isAvailable = true;
};

} // namespace sassafrasyard
