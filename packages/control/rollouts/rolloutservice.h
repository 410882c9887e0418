#pragma once

#include "control/configuration/configurationstore.h"
#include "control/lease/orderlease.h"
#include "control/rollouts/rolloutplanner.h"
#include "entry/entry.h"
#include "objectstore/objectstore.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace sassafrasyard {

/**
 * Runs rollouts while this host holds the lease for orders.
 *
 * All durable state is in the rollout objects and in the configuration, so another host can
 * continue the rollouts if this one fails.
 */
class RolloutService
{
public:
    /** Creates a service; nothing runs until start() is called. */
    RolloutService(EntryState &state, ObjectClient &platform, ConfigurationStore &store,
                   boost::asio::io_context &context);
    RolloutService(const RolloutService &) = delete;
    RolloutService &operator=(const RolloutService &) = delete;

    /** Starts the background task that competes for the lease and runs the rollouts. */
    void start();

private:
    struct EngineHistory
    {
        std::deque<double> tokenIntervals;
        int consecutiveFailures = 0;
        std::uint64_t acceptedToken = 0;
        std::map<std::string, Milliseconds> lastOrderTimes;
    };

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> reconcileRollouts();
    boost::asio::awaitable<void> acquireOrRenewLease();
    boost::asio::awaitable<void> reconcileRollout(StoredObject &object, std::size_t otherLoads);
    boost::asio::awaitable<bool> executeStep(RolloutStep step, const Rollout &rollout,
                                             StoredObject &object);
    boost::asio::awaitable<bool> sendOrder(SendOrderStep step, const Rollout &rollout);
    boost::asio::awaitable<bool> setServedVersion(SetServedVersionStep step,
                                                  const Rollout &rollout);
    bool applyConfiguration(const std::shared_ptr<const ConfigurationSource> &source);
    boost::asio::awaitable<bool> writeRollout(Rollout updatedRollout, StoredObject &object);
    boost::asio::awaitable<RolloutView> collectView(const Rollout &rollout);
    boost::asio::awaitable<RolloutServerView> pollServer(BackendServer server,
                                                         const Rollout &rollout);
    bool isActive(const Rollout &rollout) const;

    EntryState &entry;
    ObjectClient &platform;
    ConfigurationStore &store;
    boost::asio::io_context &context;
    OrderLease lease;
    std::map<BackendServerName, EngineHistory> engines;
    bool wasLeaseHeld = false;
};

} // namespace sassafrasyard
