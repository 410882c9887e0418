#include "entry/state/configurationholder.h"

namespace sassafrasyard {

ConfigurationHolder::ConfigurationHolder()
    : inForce(std::make_shared<const Configuration>())
{
}

std::shared_ptr<const Configuration> ConfigurationHolder::current() const
{
    const std::lock_guard lock(this->mutex);
    return this->inForce;
}

bool ConfigurationHolder::offer(Configuration configuration)
{
    // Listeners must see revisions in order, so a second offer waits until they have been called.
    const std::lock_guard order(this->offerMutex);
    if (configuration.revision <= this->current()->revision)
        return false;
    auto next = std::make_shared<const Configuration>(std::move(configuration));
    {
        const std::lock_guard lock(this->mutex);
        this->inForce = next;
    }
    for (const Listener &listener : this->listeners)
        listener(next);
    return true;
}

void ConfigurationHolder::addListener(Listener listener)
{
    const std::lock_guard order(this->offerMutex);
    listener(this->current());
    this->listeners.push_back(std::move(listener));
}

} // namespace sassafrasyard
