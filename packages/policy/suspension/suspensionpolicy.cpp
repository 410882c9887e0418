#include "policy/suspension/suspensionpolicy.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace sassafrasyard {

namespace {

/** The number of streams of each priority that findSuspendable() examines. */
constexpr std::size_t candidatesPerSearch = 8;

} // namespace

SuspensionPolicy::SuspensionPolicy(SuspensionOptions options)
    : options(options)
{
    assert(options.share > 0.0 && options.share < 1.0);
    assert(options.minimumDuration <= options.maximumDuration);
}

void SuspensionPolicy::add(const RequestName &name, std::uint64_t group, Priority priority,
                           Milliseconds placedAt)
{
    const auto [known, isNew] = this->streams.try_emplace(name);
    if (!isNew)
        return;
    Stream &stream = known->second;
    stream.group = group;
    stream.priority = priority;
    stream.placedAt = placedAt;
    stream.eligibleAt = this->eligibleAt(stream);
    ++this->groups[group].streams;
    this->queueFor(stream).emplace(stream.eligibleAt, name);
}

bool SuspensionPolicy::contains(const RequestName &name) const
{
    return this->streams.contains(name);
}

void SuspensionPolicy::remove(const RequestName &name)
{
    const auto known = this->streams.find(name);
    if (known == this->streams.end())
        return;
    const Stream &stream = known->second;
    const auto group = this->groups.find(stream.group);
    if (stream.suspendedAt) {
        --group->second.suspended;
        this->byDueTime.erase({stream.dueAt, name});
    } else {
        this->queueFor(stream).erase({stream.eligibleAt, name});
    }
    if (--group->second.streams == 0)
        this->groups.erase(group);
    this->streams.erase(known);
}

std::optional<RequestName> SuspensionPolicy::findSuspendable(std::uint64_t groupNumber,
                                                             Priority highestPriority,
                                                             const Filter &filter,
                                                             Milliseconds now) const
{
    const auto known = this->groups.find(groupNumber);
    if (known == this->groups.end())
        return std::nullopt;
    const Group &group = known->second;
    const auto limit = std::max(
            1.0,
            std::floor(this->options.maximumSuspendedShare * static_cast<double>(group.streams)));
    if (static_cast<double>(group.suspended) >= limit)
        return std::nullopt;
    for (std::size_t priority = 0; priority <= static_cast<std::size_t>(highestPriority);
         ++priority) {
        std::size_t examined = 0;
        for (const auto &[eligible, name] : group.eligible[priority]) {
            if (eligible > now || examined++ == candidatesPerSearch)
                break;
            if (filter(name))
                return name;
        }
    }
    return std::nullopt;
}

void SuspensionPolicy::suspend(const RequestName &name, Milliseconds now)
{
    Stream &stream = this->streams.at(name);
    assert(!stream.suspendedAt && stream.eligibleAt <= now);
    this->queueFor(stream).erase({stream.eligibleAt, name});
    ++this->groups.at(stream.group).suspended;
    stream.suspendedAt = now;
    stream.dueAt = now + this->permittedDuration(stream, now);
    this->byDueTime.emplace(stream.dueAt, name);
}

bool SuspensionPolicy::resume(const RequestName &name, Milliseconds now)
{
    const auto known = this->streams.find(name);
    if (known == this->streams.end() || !known->second.suspendedAt)
        return false;
    Stream &stream = known->second;
    this->byDueTime.erase({stream.dueAt, name});
    --this->groups.at(stream.group).suspended;
    stream.suspendedTime += now - *stream.suspendedAt;
    stream.suspendedAt.reset();
    stream.eligibleAt = this->eligibleAt(stream);
    this->queueFor(stream).emplace(stream.eligibleAt, name);
    return true;
}

std::vector<RequestName> SuspensionPolicy::resumeDue(Milliseconds now)
{
    std::vector<RequestName> ended;
    while (!this->byDueTime.empty() && this->byDueTime.begin()->first <= now) {
        ended.push_back(this->byDueTime.begin()->second);
        this->resume(ended.back(), now);
    }
    return ended;
}

bool SuspensionPolicy::isSuspended(const RequestName &name) const
{
    const auto known = this->streams.find(name);
    return known != this->streams.end() && known->second.suspendedAt;
}

Milliseconds SuspensionPolicy::totalSuspended(const RequestName &name) const
{
    const auto known = this->streams.find(name);
    return known == this->streams.end() ? Milliseconds(0) : known->second.suspendedTime;
}

Milliseconds SuspensionPolicy::eligibleAt(const Stream &stream) const
{
    // Solves share x (age + minimumDuration) = suspendedTime + minimumDuration for the age.
    const double share = this->options.share;
    const double spent =
            static_cast<double>((stream.suspendedTime + this->options.minimumDuration).count());
    const double age = spent / share - static_cast<double>(this->options.minimumDuration.count());
    return stream.placedAt + Milliseconds(static_cast<std::int64_t>(std::ceil(age)));
}

Milliseconds SuspensionPolicy::permittedDuration(const Stream &stream, Milliseconds now) const
{
    // The longest duration d with suspendedTime + d <= share x (age + d).
    const double share = this->options.share;
    const double age = static_cast<double>((now - stream.placedAt).count());
    const double free = share * age - static_cast<double>(stream.suspendedTime.count());
    const Milliseconds allowed(static_cast<std::int64_t>(std::floor(free / (1.0 - share))));
    return std::min(this->options.maximumDuration, std::max(allowed, Milliseconds(0)));
}

SuspensionPolicy::Queue &SuspensionPolicy::queueFor(const Stream &stream)
{
    return this->groups.at(stream.group).eligible[static_cast<std::size_t>(stream.priority)];
}

} // namespace sassafrasyard
