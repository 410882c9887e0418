#include "policy/quarantine/goodprompts.h"

#include <algorithm>

namespace sassafrasyard {

GoodPrompts::GoodPrompts(std::size_t limit)
    : limit(limit)
{
}

Milliseconds GoodPrompts::record(const GoodRun &run)
{
    this->lastSharedUntil = std::max(this->lastSharedUntil, run.sharedUntil);
    const auto known = this->byPart.find(run.part);
    if (known == this->byPart.end()) {
        this->runs.push_front(run);
        this->byPart.emplace(run.part, this->runs.begin());
        if (this->runs.size() > this->limit) {
            this->byPart.erase(this->runs.back().part);
            this->runs.pop_back();
        }
        return run.at;
    }
    GoodRun &last = *known->second;
    last.sharedUntil = std::max(last.sharedUntil, run.sharedUntil);
    if (last.name == run.name) {
        last.at = std::min(last.at, run.at);
    } else if (last.at < run.at) {
        last.name = run.name;
        last.at = run.at;
        this->runs.splice(this->runs.begin(), this->runs, known->second);
    }
    return last.at;
}

std::optional<Milliseconds> GoodPrompts::lastAt(std::uint64_t part) const
{
    const auto known = this->byPart.find(part);
    if (known == this->byPart.end())
        return std::nullopt;
    return known->second->at;
}

bool GoodPrompts::isEmpty() const
{
    return this->runs.empty();
}

std::vector<GoodRun> GoodPrompts::shared(Milliseconds now) const
{
    std::vector<GoodRun> result;
    if (now >= this->lastSharedUntil)
        return result;
    for (const GoodRun &run : this->runs) {
        if (now < run.sharedUntil)
            result.push_back(run);
    }
    return result;
}

} // namespace sassafrasyard
