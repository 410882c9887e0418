#pragma once

#include "policy/work/workrequest.h"

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sassafrasyard {

/** Bounds on suspensions. */
struct SuspensionOptions
{
    /** The longest single suspension, in milliseconds. */
    Milliseconds maximumDuration{2000};
    /** No suspension is started that could not last this long, in milliseconds. */
    Milliseconds minimumDuration{500};
    /** The part of a stream's time since it was placed that it may be suspended, 0 to 1. */
    double share = 0.2;
    /** The part of a group's streams that may be suspended at once; at least one may. */
    double maximumSuspendedShare = 0.125;
};

/**
 * Chooses running streams that give way to short or more important work, and ends suspensions.
 *
 * At the end of each suspension the total is at most options.share of the stream's time since it
 * was placed, and each suspension lasts at most options.longest, provided resumeDue() is called at
 * these instants; a late call adds its delay.
 */
class SuspensionPolicy
{
public:
    /** Tells whether a stream may be suspended as far as its server is concerned. */
    using Filter = std::function<bool(const RequestName &)>;

    /** Creates a policy without streams. */
    explicit SuspensionPolicy(SuspensionOptions options = {});
    SuspensionPolicy(const SuspensionPolicy &) = delete;
    SuspensionPolicy &operator=(const SuspensionPolicy &) = delete;

    /** Adds a long stream that has delivered output. @param group any stable number. */
    void add(const RequestName &name, std::uint64_t group, Priority priority,
             Milliseconds placedAt);
    /** Returns whether a stream is known. */
    bool contains(const RequestName &name) const;
    /** Removes a stream that ended; does nothing for an unknown one. */
    void remove(const RequestName &name);
    /**
     * Returns a stream that may be suspended now, or nothing.
     *
     * @param highest the highest priority that gives way.
     */
    std::optional<RequestName> findSuspendable(std::uint64_t group, Priority highestPriority,
                                               const Filter &filter, Milliseconds now) const;
    /** Suspends a stream that findSuspendable() returned for the same instant. */
    void suspend(const RequestName &name, Milliseconds now);
    /** Ends the suspension of a stream. @return false if it is not suspended. */
    bool resume(const RequestName &name, Milliseconds now);
    /** Ends and returns the suspensions that have lasted as long as they may. */
    std::vector<RequestName> resumeDue(Milliseconds now);
    /** Returns whether a stream is suspended. */
    bool isSuspended(const RequestName &name) const;
    /** Returns the time a stream was suspended in all, without a suspension that goes on. */
    Milliseconds totalSuspended(const RequestName &name) const;

private:
    static constexpr std::size_t priorityCount = 3;

    struct Stream
    {
        std::uint64_t group = 0;
        Priority priority = Priority::Normal;
        Milliseconds placedAt{0};
        Milliseconds suspendedTime{0};
        Milliseconds eligibleAt{0};
        std::optional<Milliseconds> suspendedAt;
        Milliseconds dueAt{0};
    };

    using Queue = std::set<std::pair<Milliseconds, RequestName>>;

    struct Group
    {
        std::array<Queue, priorityCount> eligible;
        std::size_t streams = 0;
        std::size_t suspended = 0;
    };

    Milliseconds eligibleAt(const Stream &stream) const;
    Milliseconds permittedDuration(const Stream &stream, Milliseconds now) const;
    Queue &queueFor(const Stream &stream);

    SuspensionOptions options;
    std::unordered_map<RequestName, Stream> streams;
    std::unordered_map<std::uint64_t, Group> groups;
    Queue byDueTime;
};

} // namespace sassafrasyard
