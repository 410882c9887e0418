#pragma once

#include "core/core.h"
#include "gateway/store/objectsource.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace sassafrasyard {

/** The calls that keep objects of one kind of this system in the platform's store. */
struct ObjectArchiveCalls
{
    /** Reads all objects; returns nothing if the store is unavailable. */
    std::function<boost::asio::awaitable<std::optional<std::vector<RegisteredObject>>>(Error &)>
            readAll;
    /**
     * Stores an object under a name and replaces the previous value.
     *
     * @return whether it is stored.
     */
    std::function<boost::asio::awaitable<bool>(std::string name, std::string value, Error &)> write;
    /** Removes the object of a name. @return whether it is removed. */
    std::function<boost::asio::awaitable<bool>(std::string name, Error &)> remove;
};

} // namespace sassafrasyard
