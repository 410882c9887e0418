#include "policy/placement/placementpolicy.h"

#include <algorithm>
#include <array>
#include <limits>
#include <vector>

namespace sassafrasyard {

namespace {

/** What a candidate in another failure domain costs, as a share of a server's slots. */
constexpr double farCost = 0.2;
/** What a cached prefix saves, as a share of a server's slots. */
constexpr double prefixSaving = 0.3;
/** Above this share of memory in use a cached prefix is likely to be evicted and saves nothing. */
constexpr double prefixMemoryLimit = 0.85;
/** How many near and how many other candidates are drawn. */
constexpr std::size_t nearDraws = 2;
constexpr std::size_t otherDraws = 1;

double memoryShare(const PlacementCandidate &candidate)
{
    if (candidate.memoryTotal <= 0.0)
        return 0.0;
    return (candidate.memoryEstimate + candidate.memoryNeeded) / candidate.memoryTotal;
}

/** The cost of one more request there; an idle near server costs about 1. */
double costOf(const PlacementCandidate &candidate)
{
    const double slots = std::max<std::uint32_t>(candidate.server->slots, 1);
    const double memory = memoryShare(candidate);
    double cost =
            std::max(candidate.paceRatio, 0.5) * (1.0 + (candidate.runningEstimate + 1) / slots);
    cost += memory * memory;
    if (!candidate.isNear)
        cost += farCost;
    if (candidate.hasPrefix && memory <= prefixMemoryLimit)
        cost -= prefixSaving;
    return cost;
}

class EstimatedLoadChooser
{
public:
    explicit EstimatedLoadChooser(std::uint64_t seed)
        : random(seed)
    {
    }

    std::optional<std::size_t> choose(std::span<const PlacementCandidate> candidates)
    {
        if (candidates.empty())
            return std::nullopt;
        this->sort(candidates);
        this->best.reset();
        this->leastCost = std::numeric_limits<double>::infinity();
        this->draw(candidates, this->nearOnes, nearDraws);
        this->draw(candidates, this->otherOnes,
                   this->nearOnes.empty() ? nearDraws + otherDraws : otherDraws);
        this->draw(candidates, this->holders, 1);
        return this->best;
    }

private:
    void sort(std::span<const PlacementCandidate> candidates)
    {
        this->nearOnes.clear();
        this->otherOnes.clear();
        this->holders.clear();
        for (std::size_t index = 0; index < candidates.size(); ++index) {
            const PlacementCandidate &candidate = candidates[index];
            (candidate.isNear ? this->nearOnes : this->otherOnes)
                    .push_back(static_cast<std::uint32_t>(index));
            if (candidate.hasPrefix)
                this->holders.push_back(static_cast<std::uint32_t>(index));
        }
    }

    void draw(std::span<const PlacementCandidate> candidates, std::vector<std::uint32_t> &from,
              std::size_t count)
    {
        for (std::size_t drawn = 0; drawn < std::min(count, from.size()); ++drawn) {
            const std::size_t other = drawn + this->random.below(from.size() - drawn);
            std::swap(from[drawn], from[other]);
            const double cost = costOf(candidates[from[drawn]]);
            if (cost < this->leastCost) {
                this->leastCost = cost;
                this->best = from[drawn];
            }
        }
    }

    RandomSource random;
    std::vector<std::uint32_t> nearOnes;
    std::vector<std::uint32_t> otherOnes;
    std::vector<std::uint32_t> holders;
    std::optional<std::size_t> best;
    double leastCost = 0.0;
};

} // namespace

PlacementPolicy estimatedLoadPlacement(std::uint64_t seed)
{
    return [chooser = EstimatedLoadChooser(seed)](
                   const WorkRequest &, std::span<const PlacementCandidate> candidates) mutable {
        return chooser.choose(candidates);
    };
}

} // namespace sassafrasyard
