#pragma once

#include "control/configuration/configurationstore.h"
#include "entry/entry.h"
#include "objectstore/objectstore.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>

namespace sassafrasyard {

/**
 * Reads accepted configuration from the platform and applies it on this host.
 *
 * A few hosts per region watch the head (see isWatcher()). The others read it once at startup and
 * receive later revisions from peers through PeerService.
 */
class ConfigurationFollower
{
public:
    /** Creates a follower; nothing is read until start() is called. */
    ConfigurationFollower(EntryState &state, ObjectClient &platform, ConfigurationStore &store,
                          boost::asio::io_context &context);
    ConfigurationFollower(const ConfigurationFollower &) = delete;
    ConfigurationFollower &operator=(const ConfigurationFollower &) = delete;

    /** Starts the background task that reads or watches the head. */
    void start();

private:
    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<bool> readOrWatch();
    boost::asio::awaitable<bool> applyHead(std::string headText);

    EntryState &entry;
    ObjectClient &platform;
    ConfigurationStore &store;
    boost::asio::io_context &context;
    std::uint64_t headVersion = 0;
    bool hasReadHead = false;
};

} // namespace sassafrasyard
