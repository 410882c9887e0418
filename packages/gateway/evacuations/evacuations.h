#pragma once

#include "core/core.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace sassafrasyard {

/**
 * The failure domains whose backend servers must get nothing more, on the operators' request.
 *
 * An evacuation stays in force while the store can't be read. A store that was restored from a copy
 * may lack evacuations, so those that were known stay for a time in which the operators write again
 * what is missing. All instants are of a clock that counts suspension.
 */
class Evacuations
{
public:
    /** Called after the set of evacuated domains has changed. */
    using ChangeHook = std::function<void()>;

    /** The largest number of evacuated domains that is kept; further ones are refused. */
    static constexpr std::size_t maximumDomains = 1024;
    /**
     * The share of the apply time after which no run returns to a server in an evacuated domain;
     * the rest allows for the time that a request takes to reach the server.
     */
    static constexpr double returnShareOfApply = 0.5;

    /**
     * Creates an object that has not read the evacuations yet.
     *
     * @param applyTime the time in which an evacuation must be in force on all hosts after the
     *     store accepted it, in milliseconds.
     */
    explicit Evacuations(Milliseconds applyTime);
    Evacuations(const Evacuations &) = delete;
    Evacuations &operator=(const Evacuations &) = delete;

    /** Sets the hook; it may be empty. */
    void setChangeHook(ChangeHook hook);
    /** Replaces the apply time, in milliseconds. */
    void setApplyTime(Milliseconds time);

    /** Replaces the evacuations by a complete list as of the instant at which it was requested. */
    void applyList(std::span<const FailureDomainName> domains, Milliseconds requestedAt);
    /**
     * Adds an evacuation.
     *
     * @return false if there are too many, which leaves the set as it is.
     */
    bool applyStart(const FailureDomainName &domain);
    /** Ends an evacuation that was removed from the store. */
    void applyEnd(const FailureDomainName &domain);
    /** Records that there were no other evacuations at the instant of a request. */
    void confirm(Milliseconds requestedAt);
    /**
     * Records that the store was restored from a copy. Call it before applyList() with the first
     * list from the restored store.
     */
    void recordStoreRestored(Milliseconds now);
    /** Ends evacuations that were not written again after a restore. Call it periodically. */
    void advance(Milliseconds now);

    /** Returns whether the evacuations have been read at least once. */
    bool isKnown() const;
    /** Returns whether a domain is evacuated. */
    bool contains(const FailureDomainName &domain) const;
    /**
     * Returns the evacuated domains, each with the instant until which a run that was stopped there
     * may be sent to its server again. It counts from the last read without the evacuation, which
     * the store can't have accepted before that.
     */
    const std::map<FailureDomainName, Milliseconds> &returnLimits() const;
    /** Returns the time since the evacuations were confirmed, or nothing before that. */
    std::optional<Milliseconds> age(Milliseconds now) const;

private:
    bool add(const FailureDomainName &domain);
    void notifyChange() const;

    Milliseconds applyTime;
    ChangeHook changeHook;
    std::map<FailureDomainName, Milliseconds> domains;
    /** When domains that a restored store lacks are given up. */
    std::map<FailureDomainName, Milliseconds> unconfirmedUntil;
    std::optional<Milliseconds> restoredUntil;
    std::optional<Milliseconds> confirmedAt;
};

} // namespace sassafrasyard
