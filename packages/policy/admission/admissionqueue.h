#pragma once

#include "policy/work/workrequest.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace sassafrasyard {

/** Settings of an AdmissionQueue. */
struct AdmissionQueueOptions
{
    /** Maximum number of waiting requests. */
    std::size_t queueLimit = 2000;
    /** Maximum number of waiting requests of one client account. */
    std::size_t accountQueueLimit = 500;
    /** A request counts as short if its maximumTokens is set and not above this, in tokens. */
    std::uint32_t shortTokens = 256;
};

/** Identifies requests that the same servers can run. Groups are queued independently. */
struct QueueGroup
{
    /** The model, or the plain service. */
    ModelName model;
    /** The model's version, or empty for any. */
    std::string version;
    /** The software version that the requests are bound to, or nothing for any. */
    std::optional<SoftwareVersion> softwareVersion;
    /** Whether the requests are suspected of crashing servers. */
    bool isSuspect = false;

    /** Orders groups by their fields. */
    auto operator<=>(const QueueGroup &) const = default;
};

/** The estimated number of requests that are served before another one. */
struct QueuePosition
{
    /** Requests in higher levels. */
    double inHigherLevels = 0.0;
    /** Requests in the same level. */
    double inLevel = 0.0;
};

/** The result of AdmissionQueue::push(). */
struct QueueResult
{
    /** Whether the request was queued. */
    bool isQueued = false;
    /** The waiting request that was removed to make room, if any. */
    std::optional<WorkRequest> displaced;
};

/**
 * A bounded queue with priorities and weighted fair sharing between client accounts.
 *
 * Each group has six levels: three priorities, and short before long within each. A level is served
 * by start-time fair queueing over accounts. Three of four placements go to the highest level with
 * waiting requests, and every fourth cycles over all levels, so each level gets at least one in
 * 4 x 6 = 24 placements. All operations are logarithmic in the number of waiting requests.
 */
class AdmissionQueue
{
public:
    /** Number of levels in a group. */
    static constexpr std::size_t levelCount = 6;
    /** One of this many placements of a group cycles over all levels. */
    static constexpr std::uint64_t roundRobinPeriod = 4;
    /** Each level with waiting requests gets at least one of this many placements of its group. */
    static constexpr double roundRobinCycle = roundRobinPeriod * levelCount;
    /** The number of waiting requests in each level. */
    using LevelSizes = std::array<std::size_t, levelCount>;
    /** A set of levels, one bit each. */
    using LevelMask = std::uint32_t;

    /** Creates an empty queue. */
    explicit AdmissionQueue(AdmissionQueueOptions options);
    AdmissionQueue(const AdmissionQueue &) = delete;
    AdmissionQueue &operator=(const AdmissionQueue &) = delete;

    /** Sets the weight of an account relative to others. @param weight must be above 0. */
    void setWeight(const ClientAccountName &account, double weight);
    /** Returns whether a request counts as short. */
    bool isShort(const WorkRequest &request) const;
    /** Returns the level in which a request waits; 0 is the highest. */
    std::size_t levelOf(const WorkRequest &request) const;

    /** Queues a request. Its name must not be in use. @param cost its estimated cost in tokens. */
    QueueResult push(const QueueGroup &group, const WorkRequest &request, double cost,
                     Milliseconds now);
    /** Returns the next request of a group, ignoring the levels in the mask, or null. */
    const WorkRequest *next(const QueueGroup &group, LevelMask skipped) const;
    /** Removes a waiting request that was placed, and charges its cost to its account. */
    void recordPlaced(const RequestName &name);
    /** Adds the difference between actual and estimated cost, in tokens, to an account's use. */
    void correctCharge(const QueueGroup &group, const ClientAccountName &account, double tokens);
    /** Removes a request without charge and returns it, or nothing if it is not waiting. */
    std::optional<WorkRequest> remove(const RequestName &name);
    /** Returns whether a request waits. */
    bool contains(const RequestName &name) const;

    /** Returns the position that a request would get if it were pushed now. */
    QueuePosition positionOf(const QueueGroup &group, const WorkRequest &request) const;
    /**
     * Returns the request of a level to refuse first under overload, or null: the newest of the
     * account with the longest queue relative to its weight.
     */
    const WorkRequest *firstToShed(const QueueGroup &group, std::size_t level) const;
    /** Returns the longest waiting request if it was pushed before the given instant, or null. */
    const WorkRequest *oldestBefore(Milliseconds instant) const;
    /** Returns the groups that have waiting requests. */
    std::vector<QueueGroup> waitingGroups() const;
    /** Returns the number of waiting requests in a group. */
    std::size_t sizeOf(const QueueGroup &group) const;
    /** Returns the number of waiting requests in each level of a group. */
    LevelSizes levelSizes(const QueueGroup &group) const;
    /** Returns the number of waiting requests of an account. */
    std::size_t sizeOf(const ClientAccountName &account) const;
    /** Returns the number of waiting requests. */
    std::size_t size() const;
    /** Removes a group and the accounts' use in it; does nothing while requests wait in it. */
    void removeGroup(const QueueGroup &group);

private:
    struct Entry;
    using StartTag = std::pair<double, std::uint64_t>;

    struct Account
    {
        std::uint64_t number = 0;
        double weight = 1.0;
        std::map<std::pair<int, std::uint64_t>, Entry *> waiting;
    };

    struct Flow
    {
        const Account *account = nullptr;
        StartTag startTag;
        std::map<std::uint64_t, Entry *> entries;
    };

    struct Level
    {
        std::unordered_map<const Account *, Flow> flows;
        std::map<StartTag, Flow *> byStartTag;
        double activeWeight = 0.0;
        std::size_t size = 0;
    };

    struct Group
    {
        std::array<Level, levelCount> levels;
        std::unordered_map<const Account *, double> finishTags;
        std::map<std::pair<int, std::uint64_t>, Entry *> byPriority;
        double virtualTime = 0.0;
        std::uint64_t placements = 0;
    };

    struct Entry
    {
        WorkRequest request;
        Milliseconds submittedAt{0};
        std::uint64_t sequence = 0;
        double cost = 0.0;
        Group *group = nullptr;
        std::size_t level = 0;
        Account *account = nullptr;
    };

    Account &accountOf(const ClientAccountName &name);
    Entry *findDisplaceable(const Account &account, int priority);
    void enqueue(Entry &entry);
    void dequeue(Entry &entry);
    void setHead(Group &group, Level &level, Flow &flow, const Account &account);
    void updateWeightedLength(const Account &account, std::size_t before);
    void pruneTags(Group &group);

    AdmissionQueueOptions options;
    std::unordered_map<ClientAccountName, Account> accounts;
    std::map<QueueGroup, Group> groups;
    std::unordered_map<RequestName, Entry> entries;
    std::map<std::uint64_t, Entry *> byArrival;
    std::map<std::pair<double, std::uint64_t>, const Account *> byWeightedLength;
    std::uint64_t lastSequence = 0;
};

} // namespace sassafrasyard
