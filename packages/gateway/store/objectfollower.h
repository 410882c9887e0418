#pragma once

#include "core/core.h"
#include "gateway/store/objectsource.h"

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
     * How often everything is read although the watch hears nothing, in milliseconds. A store that
     * compacts its history may leave watches without news of changes.
     */
    Milliseconds resyncInterval{3000};
    /** The pause after a first failed call; it doubles with each further one. */
    Milliseconds firstRetryDelay{100};
    /** The longest pause after failed calls. */
    Milliseconds longestRetryDelay{1000};
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

private:
    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<bool> readAll();
    boost::asio::awaitable<bool> readChanges();
    void recordResult(bool hasSucceeded, const Error &reason);

    std::string kind;
    ObjectSource source;
    Clock clock;
    ListHook onList;
    ChangesHook onChanges;
    ObjectFollowerOptions options;
    std::uint64_t revision = 0;
    bool needsList = true;
    Milliseconds listedAt{0};
    Error lastFailure;
    bool isAvailable = true;
};

} // namespace sassafrasyard
