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
     * How often what the watch told is compared with a list, in milliseconds. A store that compacts
     * its history may leave watches without news of changes. The list may be seconds old, which the
     * store serves at a fraction of the price; everything is read if it shows an unknown change.
     */
    Milliseconds resyncInterval{3000};
    /**
     * How often a watch may begin on average while there are changes, in milliseconds. Changes come
     * in groups, and each watch is a call to the store.
     */
    Milliseconds watchInterval{250};
    /** The pause after a first failed call; it doubles with each further one. */
    Milliseconds firstRetryDelay{100};
    /** The longest pause after failed calls. */
    Milliseconds longestRetryDelay{1000};

    /**
     * Returns the times that keep what is read within the bounds of its use.
     *
     * @param drain how long a server that leaves still takes work, in milliseconds.
     */
    static ObjectFollowerOptions within(const ServingBounds &bounds, Milliseconds drain);
};

/** Keeps up with one kind of object in the platform's store. */
class ObjectFollower
{
public:
    /** Takes in all objects of the kind as of the instant at which they were asked for. */
    using ListHook = std::function<void(std::span<const RegisteredObject>, Milliseconds askedAt)>;
    /** Takes in changes, and that there were no others up to the instant of asking. */
    using ChangesHook = std::function<void(std::span<const ObjectChange>, Milliseconds askedAt)>;

    /** Creates a follower that does not read yet. @param clock must count suspension. */
    ObjectFollower(std::string kind, ObjectSource source, Clock clock, ListHook onList,
                   ChangesHook onChanges, ObjectFollowerOptions options);
    ObjectFollower(const ObjectFollower &) = delete;
    ObjectFollower &operator=(const ObjectFollower &) = delete;

    /** Starts to read; the follower must outlive the context's work. */
    void start(boost::asio::io_context &context);
    /** Returns what was read, for other hosts. */
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
    ObjectFollowerOptions options;
    std::uint64_t revision = 0;
    bool needsList = true;
    Milliseconds lastCheckedAt{0};
    /** When the next watch would begin if all kept the spacing. */
    Milliseconds nextWatchAt{0};
    ObjectVersions versions;
    ObjectMirror content;
    /** Whether the last answer came from another host, whose reads cost the store nothing. */
    bool wasFromPeer = false;
    bool isAvailable = true;
};

} // namespace sassafrasyard
