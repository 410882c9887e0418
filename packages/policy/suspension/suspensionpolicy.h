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

/** Settings of a SuspensionPolicy. */
struct SuspensionOptions
{
    /** The maximum duration of one suspension, in milliseconds. */
    Milliseconds maximumDuration{2000};
    /** A suspension starts only if it may last at least this long, in milliseconds. */
    Milliseconds minimumDuration{500};
    /**
     * The maximum share of a stream's time since placement that it is suspended, above 0 and below
     * 1.
     */
    double share = 0.2;
    /** The maximum share of a group's streams suspended at a time; one is always permitted. */
    double maximumSuspendedShare = 0.125;
};

/**
 * Chooses running streams to suspend in favour of short or higher-priority requests, and ends
 * suspensions.
 *
 * At the end of each suspension, the stream's total suspended time is at most
 * SuspensionOptions::share of its time since placement, and no suspension is longer than
 * SuspensionOptions::maximumDuration. A late call of resumeDue() adds its delay to both.
 */
class SuspensionPolicy
{
public:
    /** Returns whether a stream may be suspended, judging by its server and the use of its slot. */
    using Filter = std::function<bool(const RequestName &)>;

    /** Creates a policy without streams. */
    explicit SuspensionPolicy(SuspensionOptions options = {});
    SuspensionPolicy(const SuspensionPolicy &) = delete;
    SuspensionPolicy &operator=(const SuspensionPolicy &) = delete;

    /**
     * Adds a long stream that has delivered output; ignored if it is known. @param group the number
     * of its group.
     */
    void add(const RequestName &name, std::uint64_t group, Priority priority,
             Milliseconds placedAt);
    /** Returns whether a stream is known. */
    bool contains(const RequestName &name) const;
    /** Removes a stream that ended; does nothing for an unknown one. */
    void remove(const RequestName &name);
    /**
     * Returns a stream of a group that may be suspended now, or nothing.
     *
     * @param highestPriority the highest priority of a stream to suspend.
     */
    std::optional<RequestName> findSuspendable(std::uint64_t group, Priority highestPriority,
                                               const Filter &filter, Milliseconds now) const;
    /** Suspends a stream that findSuspendable() returned for the same instant. */
    void suspend(const RequestName &name, Milliseconds now);
    /** Ends the suspension of a stream. @return false if it is not suspended. */
    bool resume(const RequestName &name, Milliseconds now);
    /**
     * Ends the suspensions that have reached their permitted duration, and returns their streams.
     */
    std::vector<RequestName> resumeDue(Milliseconds now);
    /** Returns whether a stream is suspended. */
    bool isSuspended(const RequestName &name) const;
    /**
     * Returns the total time of a stream's completed suspensions, in milliseconds; 0 if it is
     * unknown.
     */
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
