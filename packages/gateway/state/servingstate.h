#pragma once

#include "core/core.h"
#include "gateway/state/servingconfiguration.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace sassafrasyard {

/** How long data read from the store remains valid. */
struct ServingBounds
{
    /** Whether calls with a key are refused when the keys can no longer be confirmed. */
    bool failsClosed = true;
    /**
     * How long keys are valid after the request of the read that confirmed them, in milliseconds.
     */
    Milliseconds maximumKeyAge{5000};
    /**
     * The time within which an accepted configuration must be in force on all hosts, in
     * milliseconds.
     */
    Milliseconds maximumApplyTime{2000};
};

/**
 * The configuration in force on this host and the age of its data.
 *
 * Ages count from the request of a read, not from its result, which may already be outdated by that
 * time. All instants are of a clock that counts suspension. All calls must come from one thread.
 */
class ServingState
{
public:
    /**
     * The usable fraction of maximumKeyAge; the rest allows for the time that a call takes to reach
     * the backend server.
     */
    static constexpr double usableKeyAgeShare = 0.9;

    /** Called with each configuration when it comes into force. */
    using Listener = std::function<void(const ServingConfiguration &)>;

    /** Creates a state without a configuration. */
    explicit ServingState(ServingBounds bounds);
    ServingState(const ServingState &) = delete;
    ServingState &operator=(const ServingState &) = delete;

    /** Replaces the bounds. */
    void setBounds(const ServingBounds &newBounds);
    /** Adds a listener, which is called from offer(). */
    void addListener(Listener listener);
    /**
     * Puts a configuration into force if its version is higher than the current one.
     *
     * @return whether it did.
     */
    bool offer(ServingConfiguration configuration);
    /**
     * Returns the configuration in force, or null; a caller may hold it for the duration of a call.
     */
    std::shared_ptr<const ServingConfiguration> current() const;

    /** Records that the configuration in force was the latest one at an instant. */
    void confirmConfiguration(Milliseconds requestedAt);
    /**
     * Sets whether the evacuations must have been read before calls are forwarded; initially they
     * need not.
     */
    void setEvacuationsRequired(bool isRequired);
    /** Records that the evacuations were read. */
    void confirmEvacuations();
    /** Records that the list of backend servers was current at an instant. */
    void confirmServers(Milliseconds requestedAt);
    /**
     * Starts a planned stop; the host is not ready from now on.
     *
     * @param endsAt when the calls in progress are ended.
     */
    void startDraining(Milliseconds endsAt);

    /** Returns whether the keys are recent enough to forward calls with a key. */
    bool areKeysTrusted(Milliseconds now) const;
    /**
     * Returns whether the configuration is recent enough to deny calls for an unknown route or key.
     */
    bool isConfigurationCurrent(Milliseconds now) const;
    /**
     * Returns whether all that decides on the servers of calls has been read, which are the list of
     * servers and the evacuations.
     */
    bool areServersKnown() const;
    /** Returns whether this host should receive callers. */
    bool isReady(Milliseconds now) const;
    /**
     * Returns the time since the configuration was confirmed, in milliseconds, or nothing before
     * that.
     */
    std::optional<Milliseconds> configurationAge(Milliseconds now) const;
    /**
     * Returns the time since the backend servers were confirmed, in milliseconds, or nothing before
     * that.
     */
    std::optional<Milliseconds> serversAge(Milliseconds now) const;
    /** Returns whether a planned stop has started. */
    bool isDraining() const;
    /**
     * Returns whether a call is certain to end before a planned stop ends the calls in progress;
     * always true if none has started.
     *
     * @param deadlineAt when the call is answered at the latest.
     */
    bool endsBeforeStop(Milliseconds deadlineAt) const;

private:
    ServingBounds bounds;
    std::vector<Listener> listeners;
    std::shared_ptr<const ServingConfiguration> activeConfiguration;
    std::optional<Milliseconds> configurationConfirmedAt;
    std::optional<Milliseconds> serversConfirmedAt;
    bool areEvacuationsRequired = false;
    bool areEvacuationsKnown = false;
    /** When a planned stop ends the calls in progress; nothing before it has started. */
    std::optional<Milliseconds> stopEndsAt;
};

} // namespace sassafrasyard
