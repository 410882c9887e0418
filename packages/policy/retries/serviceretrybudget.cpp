#include "policy/retries/serviceretrybudget.h"

#include <algorithm>

namespace sassafrasyard {

namespace {

void removeUntil(std::deque<Milliseconds> &times, Milliseconds instant)
{
    while (!times.empty() && times.front() <= instant)
        times.pop_front();
}

} // namespace

ServiceRetryBudget::ServiceRetryBudget(ServiceRetryBudgetOptions options)
    : options(options)
{
}

void ServiceRetryBudget::setOptions(const ServiceRetryBudgetOptions &newOptions)
{
    this->options = newOptions;
}

void ServiceRetryBudget::setHostCount(std::size_t count)
{
    this->hostCount = std::max<std::size_t>(1, count);
}

void ServiceRetryBudget::recordRequest(std::string_view service, Milliseconds now)
{
    this->usageOf(service, now).requests.push_back(now);
}

bool ServiceRetryBudget::tryRetry(std::string_view service, Milliseconds now)
{
    Usage &usage = this->usageOf(service, now);
    const double ownSlack =
            this->options.slack * usableSlackShare / static_cast<double>(this->hostCount);
    const double permitted =
            this->options.ratio * static_cast<double>(usage.requests.size()) + ownSlack;
    if (static_cast<double>(usage.retries.size() + 1) > permitted)
        return false;
    usage.retries.push_back(now);
    return true;
}

void ServiceRetryBudget::recordRetry(std::string_view service, Milliseconds now)
{
    this->usageOf(service, now).retries.push_back(now);
}

ServiceRetryBudget::Usage &ServiceRetryBudget::usageOf(std::string_view service, Milliseconds now)
{
    auto known = this->services.find(service);
    if (known == this->services.end())
        known = this->services.emplace(std::string(service), Usage()).first;
    removeUntil(known->second.requests, now - this->options.window);
    removeUntil(known->second.retries, now - this->options.window);
    return known->second;
}

} // namespace sassafrasyard
