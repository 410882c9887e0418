#pragma once

#include "gateway/gateway.h"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <string>
#include <vector>

namespace sassafrasyard {

/** A store in memory that can be unavailable. */
struct InMemoryStore
{
    /** The objects of the kind by name. */
    std::map<std::string, std::string> objects;
    /** Whether all calls fail. */
    bool isUnavailable = false;
    /** The number of reads. */
    int reads = 0;
    /** The number of writes and removals, also of those that failed. */
    int writes = 0;

    /** Returns the calls that use this store. */
    ObjectArchiveCalls calls()
    {
        namespace net = boost::asio;
        ObjectArchiveCalls result;
        result.readAll = [this](Error &reason)
                -> net::awaitable<std::optional<std::vector<RegisteredObject>>> {
            ++this->reads;
            reason = {ErrorCode::PlatformUnavailable, RunState::NotRun, "away", {}};
            if (this->isUnavailable)
                co_return std::nullopt;
            std::vector<RegisteredObject> all;
            for (const auto &[name, value] : this->objects)
                all.push_back({name, 1, value});
            co_return all;
        };
        result.write = [this](std::string name, std::string value,
                              Error &) -> net::awaitable<bool> {
            ++this->writes;
            if (!this->isUnavailable)
                this->objects[name] = value;
            co_return !this->isUnavailable;
        };
        result.remove = [this](std::string name, Error &) -> net::awaitable<bool> {
            ++this->writes;
            if (!this->isUnavailable)
                this->objects.erase(name);
            co_return !this->isUnavailable;
        };
        return result;
    }
};

} // namespace sassafrasyard
