#pragma once

#include "control/configuration/configurationstore.h"
#include "entry/entry.h"
#include "objectstore/objectstore.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>

namespace sassafrasyard {

/**
 * Brings accepted configuration from the platform into force on this host.
 *
 * A few hosts per region watch the head (see isWatcher()). The others read it once at their start
 * and learn later revisions from peers, which PeerService does.
 */
class ConfigurationFollower
{
public:
    /** Creates a follower that does not watch yet. */
    ConfigurationFollower(EntryState &state, ObjectClient &platform, ConfigurationStore &store,
                          boost::asio::io_context &context);
    ConfigurationFollower(const ConfigurationFollower &) = delete;
    ConfigurationFollower &operator=(const ConfigurationFollower &) = delete;

    /** Starts following. */
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
