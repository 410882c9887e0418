#pragma once

#include "core/core.h"
#include "gateway/state/servingconfiguration.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace sassafrasyard {

/** How long what was read from the store is believed. */
struct ServingBounds
{
    /** Whether calls with a key are refused once the keys can't be confirmed. */
    bool failsClosed = true;
    /** How long keys are believed after the read that confirmed them was asked. */
    Milliseconds maximumKeyAge{5000};
    /** Within this time after its acceptance a configuration must be in force everywhere. */
    Milliseconds maximumApplyTime{2000};
};

/**
 * What this host decides by: the configuration in force and how fresh it is.
 *
 * Freshness counts from when a read was asked, not from when its answer came, because the answer
 * may be that old. All instants are of a clock that counts suspension. All calls come from one
 * thread.
 */
class ServingState
{
public:
    /** The part of maximumKeyAge that is used; the rest covers a call's way to the backend server.
     */
    static constexpr double usableKeyAgeShare = 0.9;

    /** Called with each configuration that comes into force. */
    using Listener = std::function<void(const ServingConfiguration &)>;

    /** Creates a state without a configuration. */
    explicit ServingState(ServingBounds bounds);
    ServingState(const ServingState &) = delete;
    ServingState &operator=(const ServingState &) = delete;

    /** Replaces the bounds. */
    void setBounds(const ServingBounds &newBounds);
    /** Adds a listener. */
    void addListener(Listener listener);
    /** Puts a configuration into force if its version is higher. @return whether it was. */
    bool offer(ServingConfiguration configuration);
    /** Returns the configuration in force, or null; the caller may keep it for a call. */
    std::shared_ptr<const ServingConfiguration> current() const;

    /** Records that the configuration in force was the newest at an instant. */
    void confirmConfiguration(Milliseconds askedAt);
    /** Records that the known backend servers were the registered ones at an instant. */
    void confirmServers(Milliseconds askedAt);
    /** Announces a planned stop: the host is not ready from now on. */
    void startDraining();

    /** Returns whether a call with a key may be sent on. */
    bool areKeysTrusted(Milliseconds now) const;
    /** Returns whether "no such route" and "unknown key" are known to be true. */
    bool isConfigurationCurrent(Milliseconds now) const;
    /** Returns whether this host should be given callers. */
    bool isReady(Milliseconds now) const;
    /** Returns how long ago the configuration was confirmed, in milliseconds, if ever. */
    std::optional<Milliseconds> configurationAge(Milliseconds now) const;
    /** Returns how long ago the backend servers were confirmed, in milliseconds, if ever. */
    std::optional<Milliseconds> serversAge(Milliseconds now) const;
    /** Returns whether a planned stop was announced. */
    bool isDraining() const;

private:
    ServingBounds bounds;
    std::vector<Listener> listeners;
    std::shared_ptr<const ServingConfiguration> activeConfiguration;
    std::optional<Milliseconds> configurationConfirmedAt;
    std::optional<Milliseconds> serversConfirmedAt;
    bool hasStartedDraining = false;
};

} // namespace sassafrasyard
