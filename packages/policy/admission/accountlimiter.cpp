#include "policy/admission/accountlimiter.h"

#include <algorithm>
#include <cmath>

namespace sassafrasyard {

namespace {

/** The time for which a peer's report is used. */
constexpr Milliseconds peerReportLifetime = SharedLimit::borrowInterval;
constexpr Milliseconds runningRetryAfter{1000};
constexpr Milliseconds maximumRetryAfter{30000};
/** The bucket holds this many seconds of the allowed rate, and at least one request. */
constexpr double bucketSeconds = 1.0;
/** The time constant of the exponential average of starts, in milliseconds. */
constexpr double rateDecayMilliseconds = 2000.0;
constexpr double millisecondsPerSecond = 1000.0;

double elapsedMilliseconds(Milliseconds from, Milliseconds to)
{
    return std::max(0.0, static_cast<double>((to - from).count()));
}

} // namespace

void AccountLimiter::setLimits(std::span<const AccountLimits> newLimits)
{
    for (auto &[name, account] : this->accounts) {
        account.hasLimits = false;
        account.limits = {};
    }
    for (const AccountLimits &limits : newLimits) {
        Account &account = this->accounts[limits.account];
        account.limits = limits;
        account.hasLimits = true;
        this->applyShares(account);
    }
    std::erase_if(this->accounts, [](const auto &item) {
        return !item.second.hasLimits && item.second.running == 0;
    });
}

void AccountLimiter::setLiveHostCount(std::size_t count)
{
    const std::size_t hosts = std::max<std::size_t>(1, count);
    if (hosts == this->liveHosts)
        return;
    this->liveHosts = hosts;
    for (auto &[name, account] : this->accounts)
        this->applyShares(account);
}

const AccountLimits *AccountLimiter::find(const ClientAccountName &account) const
{
    const auto known = this->accounts.find(account);
    return known != this->accounts.end() && known->second.hasLimits ? &known->second.limits
                                                                    : nullptr;
}

std::optional<Milliseconds> AccountLimiter::tryAdmit(const ClientAccountName &name, bool isRetry,
                                                     Milliseconds now)
{
    Account &account = this->accounts[name];
    this->updateAllowances(account, now);
    if (account.limits.maximumRunning > 0) {
        const double allowed = std::max(1.0, std::floor(account.runningLimit.allowance()));
        if (account.running + 1.0 > allowed)
            return runningRetryAfter;
    }
    if (account.limits.requestsPerSecond > 0.0 && !isRetry) {
        refillBucket(account, now);
        if (account.bucketTokens < 1.0) {
            const double wait = (1.0 - account.bucketTokens) / account.rateLimit.allowance();
            // One more millisecond, because the refill is rounded and may be slightly less than one
            // token.
            const Milliseconds after(static_cast<std::int64_t>(wait * millisecondsPerSecond) + 1);
            return std::min(after, maximumRetryAfter);
        }
        account.bucketTokens -= 1.0;
        startRate(account, now);
        account.recentStarts += 1.0;
    }
    ++account.running;
    return std::nullopt;
}

void AccountLimiter::release(const ClientAccountName &name)
{
    const auto known = this->accounts.find(name);
    if (known == this->accounts.end() || known->second.running == 0)
        return;
    --known->second.running;
    if (known->second.running == 0 && !known->second.hasLimits)
        this->accounts.erase(known);
}

void AccountLimiter::recordPeerUse(const PeerLoadDigest &digest, Milliseconds now)
{
    std::erase_if(this->peers, [&](const auto &item) {
        return now - item.second.receivedAt >= peerReportLifetime;
    });
    Peer &peer = this->peers[digest.host];
    if (digest.sequence < peer.sequence)
        return;
    peer = {digest.sequence,
            now,
            digest.hasAccounts && digest.accounts.size() < reportedAccounts,
            {}};
    for (const PeerAccountUse &use : digest.accounts)
        peer.use[use.account] = use;
}

std::vector<PeerAccountUse> AccountLimiter::ownUse(Milliseconds now)
{
    std::vector<std::pair<double, PeerAccountUse>> ranked;
    for (auto &[name, account] : this->accounts) {
        PeerAccountUse use{name, account.running, startRate(account, now)};
        double utilization = 0.0;
        if (account.limits.maximumRunning > 0)
            utilization = use.running / static_cast<double>(account.limits.maximumRunning);
        if (account.limits.requestsPerSecond > 0.0)
            utilization =
                    std::max(utilization, use.startsPerSecond / account.limits.requestsPerSecond);
        if (utilization > 0.0)
            ranked.emplace_back(utilization, std::move(use));
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto &left, const auto &right) {
        return left.first != right.first ? left.first > right.first
                                         : left.second.account < right.second.account;
    });
    ranked.resize(std::min(ranked.size(), reportedAccounts));
    std::vector<PeerAccountUse> result;
    for (auto &item : ranked)
        result.push_back(std::move(item.second));
    return result;
}

void AccountLimiter::applyShares(Account &account)
{
    if (account.limits.maximumRunning > 0)
        account.runningLimit.setLimit(account.limits.maximumRunning, this->liveHosts);
    if (account.limits.requestsPerSecond > 0.0)
        account.rateLimit.setLimit(account.limits.requestsPerSecond, this->liveHosts);
}

SharedUse AccountLimiter::sharedUse(const Account &account, bool isRate, Milliseconds now) const
{
    SharedUse use;
    use.hosts = this->liveHosts;
    for (const auto &[host, peer] : this->peers) {
        if (now - peer.receivedAt >= peerReportLifetime)
            continue;
        const auto known = peer.use.find(account.limits.account);
        if (known == peer.use.end() && !peer.isComplete)
            continue;
        ++use.reported;
        if (known != peer.use.end())
            use.reportedUse += isRate ? known->second.startsPerSecond : known->second.running;
    }
    return use;
}

void AccountLimiter::updateAllowances(Account &account, Milliseconds now)
{
    if (account.limits.maximumRunning > 0 && account.runningLimit.isDue(now)) {
        SharedUse use = this->sharedUse(account, false, now);
        use.ownUse = account.running;
        account.runningLimit.update(use, now);
    }
    if (account.limits.requestsPerSecond > 0.0 && account.rateLimit.isDue(now)) {
        SharedUse use = this->sharedUse(account, true, now);
        use.ownUse = startRate(account, now);
        account.rateLimit.update(use, now);
    }
}

double AccountLimiter::startRate(Account &account, Milliseconds now)
{
    account.recentStarts *=
            std::exp(-elapsedMilliseconds(account.startsUpdatedAt, now) / rateDecayMilliseconds);
    account.startsUpdatedAt = std::max(account.startsUpdatedAt, now);
    return account.recentStarts / rateDecayMilliseconds * millisecondsPerSecond;
}

void AccountLimiter::refillBucket(Account &account, Milliseconds now)
{
    const double rate = account.rateLimit.allowance();
    const double capacity = std::max(1.0, rate * bucketSeconds);
    if (account.bucketUpdatedAt == Milliseconds(0))
        account.bucketTokens = capacity;
    account.bucketTokens +=
            elapsedMilliseconds(account.bucketUpdatedAt, now) / millisecondsPerSecond * rate;
    account.bucketTokens = std::min(account.bucketTokens, capacity);
    account.bucketUpdatedAt = std::max({account.bucketUpdatedAt, now, Milliseconds(1)});
}

} // namespace sassafrasyard
