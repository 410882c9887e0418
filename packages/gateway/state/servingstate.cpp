#include "gateway/state/servingstate.h"

#include <algorithm>

namespace sassafrasyard {

namespace {

/** How long it takes to send the final answer of a call that reached its deadline. */
constexpr Milliseconds finalAnswerTime{100};

} // namespace

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
    if (this->activeConfiguration && configuration.version <= this->activeConfiguration->version)
        return false;
    this->activeConfiguration =
            std::make_shared<const ServingConfiguration>(std::move(configuration));
    const auto accepted = this->activeConfiguration;
    for (const Listener &listener : this->listeners)
        listener(*accepted);
    return true;
}

std::shared_ptr<const ServingConfiguration> ServingState::current() const
{
    return this->activeConfiguration;
}

void ServingState::confirmConfiguration(Milliseconds requestedAt)
{
    this->configurationConfirmedAt =
            std::max(requestedAt, this->configurationConfirmedAt.value_or(requestedAt));
}

void ServingState::setEvacuationsRequired(bool isRequired)
{
    this->areEvacuationsRequired = isRequired;
}

void ServingState::confirmEvacuations()
{
    this->areEvacuationsKnown = true;
}

void ServingState::confirmServers(Milliseconds requestedAt)
{
    this->serversConfirmedAt =
            std::max(requestedAt, this->serversConfirmedAt.value_or(requestedAt));
}

void ServingState::startDraining(Milliseconds endsAt)
{
    this->stopEndsAt = endsAt;
}

bool ServingState::areKeysTrusted(Milliseconds now) const
{
    const auto age = this->configurationAge(now);
    if (!age)
        return false;
    const auto usableAge =
            static_cast<double>(this->bounds.maximumKeyAge.count()) * usableKeyAgeShare;
    return !this->bounds.failsClosed || static_cast<double>(age->count()) < usableAge;
}

bool ServingState::isConfigurationCurrent(Milliseconds now) const
{
    const auto age = this->configurationAge(now);
    return age && *age < this->bounds.maximumApplyTime;
}

bool ServingState::areServersKnown() const
{
    return this->serversConfirmedAt && (this->areEvacuationsKnown || !this->areEvacuationsRequired);
}

bool ServingState::isReady(Milliseconds now) const
{
    return this->activeConfiguration && this->areServersKnown() && !this->stopEndsAt
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
    return this->stopEndsAt.has_value();
}

bool ServingState::endsBeforeStop(Milliseconds deadlineAt) const
{
    return !this->stopEndsAt || deadlineAt + finalAnswerTime <= *this->stopEndsAt;
}

} // namespace sassafrasyard
