#include "policy/placement/placementpolicy.h"

#include <algorithm>
#include <array>
#include <limits>
#include <vector>

namespace sassafrasyard {

namespace {

/** Added cost of a candidate in another failure domain, as a share of a server's slots. */
constexpr double otherDomainCost = 0.2;
/** Cost reduction by a cached prefix, as a share of a server's slots. */
constexpr double prefixSaving = 0.3;
/**
 * Above this share of memory in use, a cached prefix is likely to be evicted and is not counted.
 */
constexpr double prefixMemoryLimit = 0.85;
/** Number of candidates drawn from the own failure domain and from the others. */
constexpr std::size_t sameDomainDraws = 2;
constexpr std::size_t otherDomainDraws = 1;

double memoryShare(const PlacementCandidate &candidate)
{
    if (candidate.memoryTotal <= 0.0)
        return 0.0;
    return (candidate.memoryEstimate + candidate.memoryNeeded) / candidate.memoryTotal;
}

/** The cost of one more request; about 1 for an idle server in the own failure domain. */
double costOf(const PlacementCandidate &candidate)
{
    const double slots = std::max<std::uint32_t>(candidate.server->slots, 1);
    const double memory = memoryShare(candidate);
    double cost =
            std::max(candidate.paceRatio, 0.5) * (1.0 + (candidate.runningEstimate + 1) / slots);
    cost += memory * memory;
    if (!candidate.isSameDomain)
        cost += otherDomainCost;
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
        this->partition(candidates);
        this->best.reset();
        this->leastCost = std::numeric_limits<double>::infinity();
        this->draw(candidates, this->sameDomain, sameDomainDraws);
        this->draw(candidates, this->otherDomains,
                   this->sameDomain.empty() ? sameDomainDraws + otherDomainDraws
                                            : otherDomainDraws);
        this->draw(candidates, this->prefixHolders, 1);
        return this->best;
    }

private:
    void partition(std::span<const PlacementCandidate> candidates)
    {
        this->sameDomain.clear();
        this->otherDomains.clear();
        this->prefixHolders.clear();
        for (std::size_t index = 0; index < candidates.size(); ++index) {
            const PlacementCandidate &candidate = candidates[index];
            (candidate.isSameDomain ? this->sameDomain : this->otherDomains)
                    .push_back(static_cast<std::uint32_t>(index));
            if (candidate.hasPrefix)
                this->prefixHolders.push_back(static_cast<std::uint32_t>(index));
        }
    }

    void draw(std::span<const PlacementCandidate> candidates, std::vector<std::uint32_t> &from,
              std::size_t count)
    {
        for (std::size_t drawn = 0; drawn < std::min(count, from.size()); ++drawn) {
            const std::size_t swapIndex = drawn + this->random.below(from.size() - drawn);
            std::swap(from[drawn], from[swapIndex]);
            const double cost = costOf(candidates[from[drawn]]);
            if (cost < this->leastCost) {
                this->leastCost = cost;
                this->best = from[drawn];
            }
        }
    }

    RandomSource random;
    std::vector<std::uint32_t> sameDomain;
    std::vector<std::uint32_t> otherDomains;
    std::vector<std::uint32_t> prefixHolders;
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
