#include "gateway/state/servingstate.h"

#include <algorithm>

namespace sassafrasyard {

ServingState::ServingState(ServingBounds bounds)
    : bounds(bounds)
{
}

void ServingState::setBounds(const ServingBounds &newBounds)
{
    this->bounds = newBounds;
}

void ServingState::addListener(Listener listener)
{
    this->listeners.push_back(std::move(listener));
}

bool ServingState::offer(ServingConfiguration configuration)
{
    if (this->inForce && configuration.version <= this->inForce->version)
        return false;
    this->inForce = std::make_shared<const ServingConfiguration>(std::move(configuration));
    const auto accepted = this->inForce;
    for (const Listener &listener : this->listeners)
        listener(*accepted);
    return true;
}

std::shared_ptr<const ServingConfiguration> ServingState::current() const
{
    return this->inForce;
}

void ServingState::confirmConfiguration(Milliseconds askedAt)
{
    this->configurationConfirmedAt =
            std::max(askedAt, this->configurationConfirmedAt.value_or(askedAt));
}

void ServingState::confirmServers(Milliseconds askedAt)
{
    this->serversConfirmedAt = std::max(askedAt, this->serversConfirmedAt.value_or(askedAt));
}

void ServingState::startDraining()
{
    this->hasDrained = true;
}

bool ServingState::areKeysTrusted(Milliseconds now) const
{
    const auto age = this->configurationAge(now);
    if (!age)
        return false;
    const auto trust = static_cast<double>(this->bounds.keyTrust.count()) * usedKeyTrust;
    return !this->bounds.failsClosed || static_cast<double>(age->count()) < trust;
}

bool ServingState::isConfigurationCurrent(Milliseconds now) const
{
    const auto age = this->configurationAge(now);
    return age && *age < this->bounds.configurationApply;
}

bool ServingState::isReady(Milliseconds now) const
{
    return this->inForce && this->serversConfirmedAt && !this->hasDrained
            && this->areKeysTrusted(now);
}

std::optional<Milliseconds> ServingState::configurationAge(Milliseconds now) const
{
    if (!this->configurationConfirmedAt)
        return std::nullopt;
    return now - *this->configurationConfirmedAt;
}

std::optional<Milliseconds> ServingState::serversAge(Milliseconds now) const
{
    if (!this->serversConfirmedAt)
        return std::nullopt;
    return now - *this->serversConfirmedAt;
}

bool ServingState::isDraining() const
{
    return this->hasDrained;
}

} // namespace sassafrasyard
