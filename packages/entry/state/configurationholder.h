#pragma once

#include "configuration/configuration.h"

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace sassafrasyard {

/** Holds the configuration in force on this host; its revision only increases. Thread-safe. */
class ConfigurationHolder
{
public:
    /** Called with each configuration that comes into force, in order of revision. */
    using Listener = std::function<void(const std::shared_ptr<const Configuration> &)>;

    /** Creates a holder with an empty configuration of revision 0. */
    ConfigurationHolder();
    ConfigurationHolder(const ConfigurationHolder &) = delete;
    ConfigurationHolder &operator=(const ConfigurationHolder &) = delete;

    /** Returns the configuration in force; it stays valid while the caller holds the pointer. */
    std::shared_ptr<const Configuration> current() const;
    /** Puts a configuration into force if its revision is higher. @return whether it did so. */
    bool offer(Configuration configuration);
    /** Adds a listener and calls it at once with the configuration in force. */
    void addListener(Listener listener);

private:
    mutable std::mutex mutex;
    std::mutex offerMutex;
    std::shared_ptr<const Configuration> inForce;
    std::vector<Listener> listeners;
};

} // namespace sassafrasyard
