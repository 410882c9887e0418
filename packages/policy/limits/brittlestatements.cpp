#include "policy/limits/brittlestatements.h"

#include <algorithm>

namespace sassafrasyard {

bool BrittleStatements::recordResponse(const std::string &service, const BackendServerName &run,
                                       std::optional<double> rejectionsPerSecond,
                                       Milliseconds sentAt, Milliseconds now)
{
    const auto known = this->services.find(service);
    const bool wasBrittle = known != this->services.end();
    if (rejectionsPerSecond) {
        this->services[service][run] = {*rejectionsPerSecond, now};
        return !wasBrittle;
    }
    if (!wasBrittle)
        return false;
    const auto statement = known->second.find(run);
    if (statement == known->second.end() || sentAt <= statement->second.statedAt)
        return false;
    known->second.erase(statement);
    if (!known->second.empty())
        return false;
    this->services.erase(known);
    return true;
}

std::optional<double> BrittleStatements::rejectionLimit(const std::string &service) const
{
    const auto known = this->services.find(service);
    if (known == this->services.end())
        return std::nullopt;
    const auto lowest = std::min_element(
            known->second.begin(), known->second.end(), [](const auto &left, const auto &right) {
                return left.second.rejectionsPerSecond < right.second.rejectionsPerSecond;
            });
    return lowest->second.rejectionsPerSecond;
}

bool BrittleStatements::isEmpty() const
{
    return this->services.empty();
}

void BrittleStatements::removeExpired(Milliseconds now)
{
    for (auto &[service, statements] : this->services) {
        std::erase_if(statements, [now](const auto &entry) {
            return now - entry.second.statedAt >= retention;
        });
    }
    std::erase_if(this->services, [](const auto &entry) { return entry.second.empty(); });
}

} // namespace sassafrasyard
