#include "runregister.h"

#include <utility>

namespace sassafrasyard {

int RunRegister::begin(const std::string &requestId, const std::string &address)
{
    std::set<std::string> &addresses = this->running[requestId];
    if (!addresses.empty())
        this->found.push_back(requestId + " at " + *addresses.begin() + " and at " + address);
    addresses.insert(address);
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
    this->copies[name] = {requestId, std::move(holders)};
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

void RunRegister::dropCopy(const std::string &name)
{
    this->copies.erase(name);
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
