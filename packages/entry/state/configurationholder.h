#pragma once

#include "configuration/configuration.h"

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace sassafrasyard {

/** The configuration in force on this host; its revision only rises. Safe from any thread. */
class ConfigurationHolder
{
public:
    /** Called with each configuration that comes into force, in the order of revisions. */
    using Listener = std::function<void(const std::shared_ptr<const Configuration> &)>;

    /** Creates a holder of an empty configuration of revision 0. */
    ConfigurationHolder();
    ConfigurationHolder(const ConfigurationHolder &) = delete;
    ConfigurationHolder &operator=(const ConfigurationHolder &) = delete;

    /** Returns the configuration in force; the caller may keep it for the length of a request. */
    std::shared_ptr<const Configuration> current() const;
    /** Puts a configuration into force if its revision is higher. @return whether it was. */
    bool offer(Configuration configuration);
    /** Adds a listener and calls it with the configuration in force. */
    void addListener(Listener listener);

private:
    mutable std::mutex mutex;
    std::mutex offerMutex;
    std::shared_ptr<const Configuration> inForce;
    std::vector<Listener> listeners;
};

} // namespace sassafrasyard
