#pragma once

#include "entry/entry.h"
#include "policy/policy.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace sassafrasyard {

/** The functions that connect a SpeedExchange to the other hosts. */
struct SpeedExchangeHooks
{
    /** Returns the peer addresses of the hosts that use one of the engines. */
    std::function<std::vector<std::string>(std::span<const BackendServerName>)> peersUsing;
    /** Sends an update to a peer. @return whether the peer has confirmed it. */
    std::function<boost::asio::awaitable<bool>(std::string address, SpeedUpdate update,
                                               Milliseconds timeout, Error &reason)>
            tell;
};

/**
 * Tells the other hosts how fast this one found engines, and records what they tell.
 *
 * Each host sends one update a second to a few of the hosts that use the same engines, in turn, so
 * that its traffic does not grow with hosts or engines. All calls must come from one thread.
 */
class SpeedExchange
{
public:
    /** How often updates are sent, in milliseconds. */
    static constexpr Milliseconds sendInterval{1000};
    /** How many peers get each update. */
    static constexpr std::size_t peersPerInterval = 6;
    /** The largest number of engines in an update, those with the most measurements. */
    static constexpr std::size_t maximumSpeeds = 32;
    /** How long a peer is left out that did not confirm an update, such as one of an earlier build.
     */
    static constexpr Milliseconds silentPeerPause{30000};

    /** Creates an exchange that is not started. @param clock must count suspension. */
    SpeedExchange(DispatchService &dispatch, boost::asio::io_context &context, Clock clock,
                  SpeedExchangeHooks hooks);
    SpeedExchange(const SpeedExchange &) = delete;
    SpeedExchange &operator=(const SpeedExchange &) = delete;

    /** Starts sending; this object must outlive the work of the context. */
    void start();
    /** Sends the measurements to the next peers; does nothing without measurements. */
    boost::asio::awaitable<void> send();
    /** Records what a peer sent; speeds that can't be true are logged and ignored. */
    SpeedUpdateReply record(const SpeedUpdate &update);

private:
    boost::asio::awaitable<void> sendPeriodically();
    boost::asio::awaitable<void> tell(std::string address, SpeedUpdate update);
    std::vector<std::string> nextPeers(const std::vector<EngineSpeed> &speeds);

    DispatchService &dispatch;
    boost::asio::io_context &context;
    Clock clock;
    SpeedExchangeHooks hooks;
    std::size_t position = 0;
    std::map<std::string, Milliseconds> silentUntil;
};

} // namespace sassafrasyard
