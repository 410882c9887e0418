#pragma once

#include "policy/admission/accountlimits.h"
#include "policy/admission/sharedlimit.h"
#include "policy/servers/loadreport.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace sassafrasyard {

/**
 * Enforces the limits of client accounts over all entry hosts without a call to the platform.
 *
 * Each host admits its share of a limit plus a part of what peers report as unused; see
 * SharedLimit. docs/admission.md states the maximum overshoot.
 */
class AccountLimiter
{
public:
    /** The maximum number of accounts in a report to peers. */
    static constexpr std::size_t reportedAccounts = 64;

    /** Replaces the limits of all accounts; running requests stay counted. */
    void setLimits(std::span<const AccountLimits> newLimits);
    /** Sets the number of live entry hosts, this one included; 0 counts as 1. */
    void setLiveHostCount(std::size_t count);
    /**
     * Returns an account's limits, or null if it has none. Valid until the next call of
     * setLimits().
     */
    const AccountLimits *find(const ClientAccountName &account) const;

    /**
     * Admits a request of an account if its limits permit it.
     *
     * @param isRetry whether this is a further attempt, to which the rate limit does not apply.
     * @return nothing if it is admitted, else the time after which to retry.
     */
    std::optional<Milliseconds> tryAdmit(const ClientAccountName &account, bool isRetry,
                                         Milliseconds now);
    /** Records that an admitted request ended or was refused later. */
    void release(const ClientAccountName &account);
    /**
     * Records a peer's use. A digest with a lower sequence than the last one is ignored until that
     * one expires.
     */
    void recordPeerUse(const PeerLoadDigest &digest, Milliseconds now);
    /**
     * Returns this host's use to report to peers, highest share of a limit first; at most
     * reportedAccounts.
     */
    std::vector<PeerAccountUse> ownUse(Milliseconds now);

private:
    struct Account
    {
        AccountLimits limits;
        bool hasLimits = false;
        std::uint32_t running = 0;
        SharedLimit runningLimit;
        SharedLimit rateLimit;
        double bucketTokens = 0.0;
        Milliseconds bucketUpdatedAt{0};
        double recentStarts = 0.0;
        Milliseconds startsUpdatedAt{0};
    };

    struct Peer
    {
        std::uint64_t sequence = 0;
        Milliseconds receivedAt{0};
        bool isComplete = true;
        std::unordered_map<ClientAccountName, PeerAccountUse> use;
    };

    void applyShares(Account &account);
    SharedUse sharedUse(const Account &account, bool isRate, Milliseconds now) const;
    void updateAllowances(Account &account, Milliseconds now);
    static double startRate(Account &account, Milliseconds now);
    static void refillBucket(Account &account, Milliseconds now);

    std::unordered_map<ClientAccountName, Account> accounts;
    std::map<HostName, Peer> peers;
    std::size_t liveHosts = 1;
};

} // namespace sassafrasyard
