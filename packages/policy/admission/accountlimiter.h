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
 * Holds client accounts to their limits over all entry hosts without a call to the platform.
 *
 * Each host admits its part of a limit and borrows what peers report as unused; see SharedLimit.
 * docs/admission.md states the worst overshoot.
 */
class AccountLimiter
{
public:
    /** How many accounts a report to peers names. */
    static constexpr std::size_t reportedAccounts = 64;

    /** Replaces the limits of all accounts; what is running stays counted. */
    void setLimits(std::span<const AccountLimits> newLimits);
    /** Sets the number of live entry hosts, this one included; 0 counts as 1. */
    void setLiveHostCount(std::size_t count);
    /** Returns an account's limits, or null if it has none. */
    const AccountLimits *find(const ClientAccountName &account) const;

    /**
     * Admits a request of an account.
     *
     * @param isRetry whether the rate limit does not apply, as for a further attempt.
     * @return nothing if it is admitted, else the time after which to come back.
     */
    std::optional<Milliseconds> tryAdmit(const ClientAccountName &account, bool isRetry,
                                         Milliseconds now);
    /** Records that an admitted request has ended or was refused after all. */
    void release(const ClientAccountName &account);
    /** Records a peer's use. An older sequence than the last is ignored while that is recent. */
    void recordPeerUse(const PeerLoadDigest &digest, Milliseconds now);
    /** Returns this host's use for its peers, the accounts with the largest part first. */
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
