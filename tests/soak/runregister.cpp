#include "runregister.h"

#include <algorithm>
#include <utility>

namespace sassafrasyard {

namespace {

/** How long an engine that leaves serves at least. */
constexpr Milliseconds leavingTime{2000};

} // namespace

std::string_view toString(EngineExit exit)
{
    switch (exit) {
    case EngineExit::WithoutNotice:
        return "exit without notice";
    case EngineExit::AfterLeaving:
        return "exit after leaving";
    }
    return "unknown";
}

int RunRegister::begin(const std::string &requestId, const std::string &address)
{
    std::set<std::string> &addresses = this->running[requestId];
    if (!addresses.empty())
        this->found.push_back(requestId + " at " + *addresses.begin() + " and at " + address);
    addresses.insert(address);
    this->retireCopies(requestId);
    this->losses.erase(requestId);
    this->endTexts.erase(requestId);
    return ++this->runCounts[requestId];
}

void RunRegister::end(const std::string &requestId, const std::string &address)
{
    this->running[requestId].erase(address);
}

bool RunRegister::hasBegun(const std::string &requestId) const
{
    return this->running.contains(requestId);
}

void RunRegister::addRoom(const std::string &address)
{
    this->rooms.insert(address);
}

bool RunRegister::hasRoom(const std::string &address) const
{
    return this->rooms.contains(address);
}

void RunRegister::addCopy(const std::string &name, const std::string &requestId,
                          std::set<std::string> holders)
{
    this->copies[name] = {requestId, std::move(holders), false};
}

bool RunRegister::takeCopy(const std::string &name, const std::string &requestId,
                           const std::string &address)
{
    const auto copy = this->copies.find(name);
    if (copy == this->copies.end() || copy->second.requestId != requestId
        || !copy->second.holders.contains(address))
        return false;
    this->copies.erase(copy);
    return true;
}

void RunRegister::retireCopies(const std::string &requestId)
{
    for (auto &[name, copy] : this->copies)
        copy.isFormer = copy.isFormer || copy.requestId == requestId;
}

void RunRegister::dropCopy(const std::string &name)
{
    this->copies.erase(name);
}

void RunRegister::addUsable(const std::string &address)
{
    this->usable.emplace(address, Clock::steady().now());
}

void RunRegister::removeUsable(const std::string &address)
{
    this->usable.erase(address);
}

bool RunRegister::hasUsableCopy(const std::string &requestId) const
{
    return !this->usableCopies(requestId).empty();
}

/** Returns the names of the copies of a request's current run, and the usable servers with them. */
std::string RunRegister::usableCopies(const std::string &requestId) const
{
    std::string text;
    for (const auto &[name, copy] : this->copies) {
        if (copy.isFormer || copy.requestId != requestId)
            continue;
        for (const std::string &holder : copy.holders) {
            if (this->usable.contains(holder))
                text.append(" ").append(name).append(" at ").append(holder);
        }
    }
    return text;
}

std::string RunRegister::describeEnd(const std::string &requestId) const
{
    const auto found = this->endTexts.find(requestId);
    return found == this->endTexts.end() ? std::string() : found->second;
}

std::optional<std::string> RunRegister::copyHolder(const std::string &address) const
{
    std::map<std::string, int> copyCounts;
    for (const auto &[name, copy] : this->copies) {
        const auto run = this->running.find(copy.requestId);
        if (copy.isFormer || run == this->running.end() || !run->second.contains(address))
            continue;
        for (const std::string &holder : copy.holders) {
            if (holder != address && this->usable.contains(holder))
                ++copyCounts[holder];
        }
    }
    const auto most = std::max_element(
            copyCounts.begin(), copyCounts.end(),
            [](const auto &one, const auto &other) { return one.second < other.second; });
    return most == copyCounts.end() ? std::nullopt : std::optional(most->first);
}

void RunRegister::exit(const std::string &address, EngineExit exit)
{
    this->usable.erase(address);
    this->rooms.erase(address);
    this->dropCopiesAt(address, exit);
    this->endRuns(address, exit);
    for (const std::string &requestId : std::exchange(this->unframedEnds[address], {}))
        this->lose(requestId, std::string(toString(exit)) + " after the run's end");
}

void RunRegister::endRuns(const std::string &address, EngineExit exit)
{
    for (auto &[requestId, addresses] : this->running) {
        if (addresses.erase(address) == 0)
            continue;
        const std::string usableCopies = this->usableCopies(requestId);
        const bool hasCopy = !usableCopies.empty();
        std::string &text = this->endTexts[requestId] = toString(exit);
        text.append(" of ").append(address).append(", copies:").append(usableCopies);
        this->count(std::string(toString(exit)) + (hasCopy ? " beside" : " without") + " a copy");
        const bool hasRoom = exit == EngineExit::AfterLeaving && this->hasLongHadRoom();
        if (!hasCopy)
            this->lose(requestId,
                       std::string(toString(exit)) + (hasRoom ? ", room elsewhere" : ""));
    }
}

/** Returns whether a server with room has been usable for as long as a leaving one serves. */
bool RunRegister::hasLongHadRoom() const
{
    const Milliseconds since = Clock::steady().now() - leavingTime;
    return std::any_of(this->usable.begin(), this->usable.end(), [&](const auto &server) {
        return this->rooms.contains(server.first) && server.second <= since;
    });
}

/**
 * Removes the copies at a server, and notes the stopped runs whose memory only that server kept. A
 * server that leaves is to be used in time.
 */
void RunRegister::dropCopiesAt(const std::string &address, EngineExit exit)
{
    for (auto &[name, copy] : this->copies) {
        const bool isLast = copy.holders.erase(address) > 0 && copy.holders.empty();
        if (isLast && !copy.isFormer && exit == EngineExit::WithoutNotice
            && this->running[copy.requestId].empty())
            this->lose(copy.requestId, std::string(toString(exit)) + " with the kept memory");
    }
    std::erase_if(this->copies, [](const auto &item) { return item.second.holders.empty(); });
}

void RunRegister::recordUnframedEnd(const std::string &requestId, const std::string &address,
                                    bool accepts)
{
    const std::string usableCopies = this->usableCopies(requestId);
    std::string &text = this->endTexts[requestId] = "ended by itself at ";
    text.append(address).append(accepts ? "" : " without a listener");
    text.append(", copies:").append(usableCopies);
    if (usableCopies.empty())
        this->unframedEnds[address].insert(requestId);
}

void RunRegister::lose(const std::string &requestId, const std::string &reason)
{
    this->losses[requestId] = {reason, Clock::system().now()};
}

std::optional<std::string> RunRegister::lossReason(const std::string &requestId,
                                                   Milliseconds at) const
{
    const auto found = this->losses.find(requestId);
    const bool isLost = found != this->losses.end() && found->second.at <= at;
    return isLost ? std::optional(found->second.reason) : std::nullopt;
}

void RunRegister::recordEndBesideStop(const std::string &requestId)
{
    this->endedBesideStops.insert(requestId);
}

const std::set<std::string> &RunRegister::endsBesideStops() const
{
    return this->endedBesideStops;
}

void RunRegister::count(const std::string &name)
{
    ++this->countsByName[name];
}

const std::map<std::string, int> &RunRegister::counts() const
{
    return this->countsByName;
}

const std::vector<std::string> &RunRegister::violations() const
{
    return this->found;
}

} // namespace sassafrasyard
