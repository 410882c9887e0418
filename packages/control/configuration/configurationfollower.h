#pragma once

#include "entry/entry.h"
#include "platform/platform.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace sassafrasyard {

/** Brings accepted configuration from the platform into force on this host. */
class ConfigurationFollower
{
public:
    /** Creates a follower that does not watch yet. */
    ConfigurationFollower(EntryState &state, ObjectClient &platform,
                          boost::asio::io_context &context);
    ConfigurationFollower(const ConfigurationFollower &) = delete;
    ConfigurationFollower &operator=(const ConfigurationFollower &) = delete;

    /** Starts watching the platform. */
    void start();

private:
    boost::asio::awaitable<void> follow();

    EntryState &entry;
    ObjectClient &platform;
    boost::asio::io_context &context;
};

} // namespace sassafrasyard
