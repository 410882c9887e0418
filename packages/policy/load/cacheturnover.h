#pragma once

#include "core/core.h"

#include <cstdint>

namespace sassafrasyard {

/**
 * Estimates for how long an engine keeps the parts of prompts that no running request uses.
 *
 * Answers the load of engines whose memory is scarce: each prompt that is read takes memory, and
 * the least recently used parts yield to it. A host knows its own prompts only, so it takes the
 * other hosts and the engines to be like itself on average. Uses no clock or other input.
 */
class CacheTurnover
{
public:
    /** Records the prompt of a request that was placed on an engine, in tokens. */
    void recordPrompt(std::uint32_t tokens, Milliseconds now);
    /**
     * Returns whether a part is probably still kept.
     *
     * @param age since it was last used there, in milliseconds.
     * @param freeTokens the engine's memory that no request uses.
     * @param hostCount the hosts that send prompts, this one included.
     * @param engineCount the engines of the model.
     */
    bool isKept(Milliseconds age, double freeTokens, std::size_t hostCount, std::size_t engineCount,
                Milliseconds now) const;

private:
    double tokensPerSecond(Milliseconds now) const;

    double recentTokens = 0.0;
    Milliseconds updatedAt{0};
};

} // namespace sassafrasyard
