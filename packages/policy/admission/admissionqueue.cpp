#include "policy/admission/admissionqueue.h"

#include <algorithm>
#include <cassert>

namespace sassafrasyard {

namespace {

/** The finish tags of idle accounts are dropped when a group has more tags than this. */
constexpr std::size_t maximumFinishTags = 8192;
constexpr std::size_t levelsPerPriority = 2;

int priorityOf(const WorkRequest &request)
{
    return static_cast<int>(request.priority);
}

} // namespace

AdmissionQueue::AdmissionQueue(AdmissionQueueOptions options)
    : options(options)
{
}

void AdmissionQueue::setWeight(const ClientAccountName &account, double weight)
{
    assert(weight > 0.0);
    Account &known = this->accountOf(account);
    if (known.weight == weight)
        return;
    const double difference = weight - known.weight;
    for (auto &[key, group] : this->groups) {
        for (Level &level : group.levels) {
            if (level.flows.contains(&known))
                level.activeWeight += difference;
        }
    }
    if (!known.waiting.empty())
        this->byWeightedLength.erase(
                {static_cast<double>(known.waiting.size()) / known.weight, known.number});
    known.weight = weight;
    this->updateWeightedLength(known, 0);
}

bool AdmissionQueue::isShort(const WorkRequest &request) const
{
    return request.maximumTokens > 0 && request.maximumTokens <= this->options.shortTokens;
}

std::size_t AdmissionQueue::levelOf(const WorkRequest &request) const
{
    const auto rank =
            static_cast<std::size_t>(Priority::High) - static_cast<std::size_t>(request.priority);
    return rank * levelsPerPriority + (this->isShort(request) ? 0 : 1);
}

QueueResult AdmissionQueue::push(const QueueGroup &group, const WorkRequest &request, double cost,
                                 Milliseconds now)
{
    assert(!this->entries.contains(request.name));
    Account &account = this->accountOf(request.account);
    QueueResult result;
    if (account.waiting.size() >= this->options.accountQueueLimit
        || this->entries.size() >= this->options.queueLimit) {
        Entry *evicted = this->findDisplaceable(account, priorityOf(request));
        if (evicted == nullptr)
            return result;
        result.displaced = this->remove(evicted->request.name);
    }
    Entry &entry = this->entries[request.name];
    entry = {request, now, ++this->lastSequence, cost, &this->groups[group], this->levelOf(request),
             &account};
    this->enqueue(entry);
    result.isQueued = true;
    return result;
}

const WorkRequest *AdmissionQueue::next(const QueueGroup &key, LevelMask skipped) const
{
    const auto known = this->groups.find(key);
    if (known == this->groups.end())
        return nullptr;
    const Group &group = known->second;
    const bool isRoundRobin = group.placements % roundRobinPeriod == roundRobinPeriod - 1;
    const std::size_t first = isRoundRobin ? (group.placements / roundRobinPeriod) % levelCount : 0;
    for (std::size_t step = 0; step < levelCount; ++step) {
        const std::size_t index = (first + step) % levelCount;
        const Level &level = group.levels[index];
        if (level.byStartTag.empty() || (skipped >> index & 1U) != 0)
            continue;
        return &level.byStartTag.begin()->second->entries.begin()->second->request;
    }
    return nullptr;
}

void AdmissionQueue::recordPlaced(const RequestName &name)
{
    Entry &entry = this->entries.at(name);
    Group &group = *entry.group;
    const double start = group.levels[entry.level].flows.at(entry.account).startTag.first;
    group.virtualTime = std::max(group.virtualTime, start);
    double &finish = group.finishTags[entry.account];
    finish = std::max(finish, start) + entry.cost / entry.account->weight;
    ++group.placements;
    this->remove(name);
    this->pruneTags(group);
}

void AdmissionQueue::correctCharge(const QueueGroup &key, const ClientAccountName &name,
                                   double tokens)
{
    const auto group = this->groups.find(key);
    const auto account = this->accounts.find(name);
    if (group == this->groups.end() || account == this->accounts.end())
        return;
    const auto finish = group->second.finishTags.find(&account->second);
    if (finish != group->second.finishTags.end())
        finish->second += tokens / account->second.weight;
}

std::optional<WorkRequest> AdmissionQueue::remove(const RequestName &name)
{
    const auto known = this->entries.find(name);
    if (known == this->entries.end())
        return std::nullopt;
    this->dequeue(known->second);
    WorkRequest request = std::move(known->second.request);
    this->entries.erase(known);
    return request;
}

bool AdmissionQueue::contains(const RequestName &name) const
{
    return this->entries.contains(name);
}

QueuePosition AdmissionQueue::positionOf(const QueueGroup &key, const WorkRequest &request) const
{
    QueuePosition position;
    const auto known = this->groups.find(key);
    if (known == this->groups.end())
        return position;
    const std::size_t own = this->levelOf(request);
    for (std::size_t index = 0; index < own; ++index)
        position.inHigherLevels += static_cast<double>(known->second.levels[index].size);
    const Level &level = known->second.levels[own];
    const auto account = this->accounts.find(request.account);
    double weight = 1.0;
    double waiting = 0.0;
    double others = level.activeWeight;
    if (account != this->accounts.end()) {
        weight = account->second.weight;
        if (const auto flow = level.flows.find(&account->second); flow != level.flows.end()) {
            waiting = static_cast<double>(flow->second.entries.size());
            others -= weight;
        }
    }
    // Until this request is next, fair queueing serves other accounts in proportion to their
    // weights.
    const double rounds = waiting + (waiting + 1.0) * std::max(0.0, others) / weight;
    position.inLevel = std::min(static_cast<double>(level.size), rounds);
    return position;
}

const WorkRequest *AdmissionQueue::firstToShed(const QueueGroup &key, std::size_t index) const
{
    const auto known = this->groups.find(key);
    if (known == this->groups.end())
        return nullptr;
    const Flow *longest = nullptr;
    double longestLength = 0.0;
    for (const auto &[startTag, flow] : known->second.levels[index].byStartTag) {
        const double length = static_cast<double>(flow->entries.size()) / flow->account->weight;
        if (length >= longestLength) {
            longest = flow;
            longestLength = length;
        }
    }
    return longest == nullptr ? nullptr : &longest->entries.rbegin()->second->request;
}

const WorkRequest *AdmissionQueue::oldestBefore(Milliseconds instant) const
{
    if (this->byArrival.empty() || this->byArrival.begin()->second->submittedAt >= instant)
        return nullptr;
    return &this->byArrival.begin()->second->request;
}

std::vector<QueueGroup> AdmissionQueue::waitingGroups() const
{
    std::vector<QueueGroup> waiting;
    for (const auto &[key, group] : this->groups) {
        if (!group.byPriority.empty())
            waiting.push_back(key);
    }
    return waiting;
}

std::size_t AdmissionQueue::sizeOf(const QueueGroup &group) const
{
    const auto known = this->groups.find(group);
    return known == this->groups.end() ? 0 : known->second.byPriority.size();
}

AdmissionQueue::LevelSizes AdmissionQueue::levelSizes(const QueueGroup &group) const
{
    LevelSizes sizes{};
    const auto known = this->groups.find(group);
    for (std::size_t level = 0; known != this->groups.end() && level < levelCount; ++level)
        sizes[level] = known->second.levels[level].size;
    return sizes;
}

std::size_t AdmissionQueue::sizeOf(const ClientAccountName &account) const
{
    const auto known = this->accounts.find(account);
    return known == this->accounts.end() ? 0 : known->second.waiting.size();
}

std::size_t AdmissionQueue::size() const
{
    return this->entries.size();
}

void AdmissionQueue::removeGroup(const QueueGroup &group)
{
    const auto known = this->groups.find(group);
    if (known != this->groups.end() && known->second.byPriority.empty())
        this->groups.erase(known);
}

AdmissionQueue::Account &AdmissionQueue::accountOf(const ClientAccountName &name)
{
    const auto [known, isNew] = this->accounts.try_emplace(name);
    if (isNew)
        known->second.number = this->accounts.size();
    return known->second;
}

AdmissionQueue::Entry *AdmissionQueue::findDisplaceable(const Account &account, int priority)
{
    if (account.waiting.size() >= this->options.accountQueueLimit) {
        const auto lowestOwn = account.waiting.begin();
        return lowestOwn->first.first < priority ? lowestOwn->second : nullptr;
    }
    Entry *lowest = nullptr;
    for (const auto &[key, group] : this->groups) {
        if (group.byPriority.empty())
            continue;
        Entry *candidate = group.byPriority.begin()->second;
        if (lowest == nullptr || priorityOf(candidate->request) < priorityOf(lowest->request)
            || (priorityOf(candidate->request) == priorityOf(lowest->request)
                && candidate->sequence > lowest->sequence)) {
            lowest = candidate;
        }
    }
    if (lowest != nullptr && priorityOf(lowest->request) < priority)
        return lowest;
    // At equal priority, a request of the account with the longest queue for its weight is removed.
    const auto &[longest, longestAccount] = *this->byWeightedLength.rbegin();
    const double own = static_cast<double>(account.waiting.size() + 1) / account.weight;
    Entry *candidate = longestAccount->waiting.begin()->second;
    return longest.first > own && priorityOf(candidate->request) <= priority ? candidate : nullptr;
}

void AdmissionQueue::enqueue(Entry &entry)
{
    Account &account = *entry.account;
    Level &level = entry.group->levels[entry.level];
    const auto [flow, isNew] = level.flows.try_emplace(&account);
    flow->second.entries.emplace(entry.sequence, &entry);
    if (isNew) {
        flow->second.account = &account;
        level.activeWeight += account.weight;
        this->setHead(*entry.group, level, flow->second, account);
    }
    ++level.size;
    // The newest request of equal priority sorts first, so it is removed first.
    const std::pair key(priorityOf(entry.request), ~entry.sequence);
    entry.group->byPriority.emplace(key, &entry);
    account.waiting.emplace(key, &entry);
    this->updateWeightedLength(account, account.waiting.size() - 1);
    this->byArrival.emplace(entry.sequence, &entry);
}

void AdmissionQueue::dequeue(Entry &entry)
{
    Account &account = *entry.account;
    Level &level = entry.group->levels[entry.level];
    const auto flow = level.flows.find(&account);
    const bool wasHead = flow->second.entries.begin()->first == entry.sequence;
    flow->second.entries.erase(entry.sequence);
    --level.size;
    if (flow->second.entries.empty()) {
        level.byStartTag.erase(flow->second.startTag);
        level.flows.erase(flow);
        level.activeWeight = level.flows.empty() ? 0.0 : level.activeWeight - account.weight;
    } else if (wasHead) {
        level.byStartTag.erase(flow->second.startTag);
        this->setHead(*entry.group, level, flow->second, account);
    }
    const std::pair key(priorityOf(entry.request), ~entry.sequence);
    entry.group->byPriority.erase(key);
    account.waiting.erase(key);
    this->updateWeightedLength(account, account.waiting.size() + 1);
    this->byArrival.erase(entry.sequence);
}

void AdmissionQueue::setHead(Group &group, Level &level, Flow &flow, const Account &account)
{
    const auto finish = group.finishTags.find(&account);
    const double previousFinish = finish == group.finishTags.end() ? 0.0 : finish->second;
    flow.startTag = {std::max(group.virtualTime, previousFinish), flow.entries.begin()->first};
    level.byStartTag.emplace(flow.startTag, &flow);
}

void AdmissionQueue::updateWeightedLength(const Account &account, std::size_t before)
{
    if (before > 0)
        this->byWeightedLength.erase(
                {static_cast<double>(before) / account.weight, account.number});
    if (!account.waiting.empty()) {
        this->byWeightedLength.emplace(
                std::pair(static_cast<double>(account.waiting.size()) / account.weight,
                          account.number),
                &account);
    }
}

void AdmissionQueue::pruneTags(Group &group)
{
    if (group.finishTags.size() <= maximumFinishTags)
        return;
    std::erase_if(group.finishTags,
                  [&](const auto &finishTag) { return finishTag.second <= group.virtualTime; });
}

} // namespace sassafrasyard
