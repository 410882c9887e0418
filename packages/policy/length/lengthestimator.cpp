#include "policy/length/lengthestimator.h"

#include "policy/placement/stablehash.h"

#include <algorithm>
#include <bit>
#include <cassert>
#include <cmath>

namespace sassafrasyard {

namespace {

constexpr double lnTwo = 0.6931471805599453;
constexpr double bucketWidth = lnTwo / 2.0; // in the logarithm of the length
/** Decay is applied in steps of this fraction of the half-life, to keep updates cheap. */
constexpr int decayStepsPerHalfLife = 16;
constexpr std::size_t octavesPerPromptClass = 3;
constexpr std::size_t minimumPromptOctave = 6;
/** A lower bound that keeps the hazard of a bucket without recorded ends above 0. */
constexpr double minimumHazard = 1e-4;
constexpr double maximumHazard = 1.0 - 1e-9;

/** The Pareto tail exponent of the prior in a bucket. */
double priorExponent(std::size_t bucket)
{
    constexpr std::size_t bodyBegin = 12; // 64 tokens
    constexpr std::size_t tailBegin = 18; // 512 tokens
    if (bucket < bodyBegin)
        return 0.1;
    return bucket < tailBegin ? 0.5 : 1.1;
}

double priorHazard(std::size_t bucket)
{
    return 1.0 - std::exp(-priorExponent(bucket) * bucketWidth);
}

double logLength(std::uint32_t tokens)
{
    return std::log(static_cast<double>(std::max<std::uint32_t>(tokens, 1)));
}

std::uint64_t promptClassOf(std::uint32_t promptTokens)
{
    const auto octave = static_cast<std::size_t>(std::bit_width(promptTokens));
    return octave <= minimumPromptOctave ? 0
                                         : (octave - minimumPromptOctave) / octavesPerPromptClass;
}

} // namespace

LengthEstimator::LengthEstimator(LengthEstimatorOptions options)
    : options(options)
{
    assert(options.maximumHistories >= 3);
    assert(options.halfLife.count() > 0);
}

LengthClass LengthEstimator::classOf(const ClientAccountName &account, const ModelName &model,
                                     std::uint32_t promptTokens)
{
    const std::uint64_t modelKey = stableHash(model.toString());
    const std::uint64_t sizeKey = combineHashes(modelKey, promptClassOf(promptTokens) + 1);
    const std::uint64_t accountKey = combineHashes(sizeKey, stableHash(account.toString()));
    return {{accountKey, sizeKey, modelKey}};
}

std::size_t LengthEstimator::bucketOf(std::uint32_t tokens)
{
    const std::uint32_t length = std::clamp<std::uint32_t>(tokens, 1, maximumLength);
    const auto octave = static_cast<std::size_t>(std::bit_width(length)) - 1;
    // The upper half of an octave begins at its lower end times the square root of two.
    const std::uint64_t square = static_cast<std::uint64_t>(length) * length;
    const bool isUpperHalf = square >= (std::uint64_t{1} << (2 * octave + 1));
    return std::min(2 * octave + (isUpperHalf ? 1 : 0), bucketCount - 1);
}

void LengthEstimator::recordProgress(const LengthClass &lengthClass, std::uint32_t from,
                                     std::uint32_t to, Milliseconds now)
{
    const std::size_t begin = bucketOf(from);
    const std::size_t end = bucketOf(to);
    if (begin >= end)
        return;
    for (const std::uint64_t key : lengthClass.keys) {
        History &history = this->historyFor(key, now);
        for (std::size_t bucket = begin; bucket < end; ++bucket)
            history.survived[bucket] += 1.0F;
    }
}

void LengthEstimator::recordEnd(const LengthClass &lengthClass, std::uint32_t tokens,
                                Milliseconds now)
{
    for (const std::uint64_t key : lengthClass.keys)
        this->historyFor(key, now).ended[bucketOf(tokens)] += 1.0F;
}

std::uint32_t LengthEstimator::totalQuantile(const LengthClass &lengthClass, std::uint32_t produced,
                                             double quantile, Milliseconds now) const
{
    assert(quantile >= 0.0 && quantile < 1.0);
    struct Level
    {
        const History *history;
        double factor;
    };
    std::array<Level, 3> levels{};
    std::size_t levelCount = 0;
    for (auto key = lengthClass.keys.rbegin(); key != lengthClass.keys.rend(); ++key) {
        if (const auto known = this->index.find(*key); known != this->index.end())
            levels[levelCount++] = {&*known->second, this->decayFactor(*known->second, now)};
    }
    double remaining = -std::log1p(-quantile); // cumulative hazard of the quantile
    double position = logLength(produced);
    for (std::size_t bucket = bucketOf(produced); bucket < bucketCount; ++bucket) {
        double hazard = priorHazard(bucket);
        for (std::size_t level = 0; level < levelCount; ++level) {
            const auto &[history, factor] = levels[level];
            const double ended = factor * history->ended[bucket];
            const double observed = ended + factor * history->survived[bucket];
            hazard = (ended + this->options.widerClassWeight * hazard)
                    / (observed + this->options.widerClassWeight);
        }
        hazard = std::clamp(hazard, minimumHazard, maximumHazard);
        const double rate = -std::log1p(-hazard) / bucketWidth;
        const double upper = static_cast<double>(bucket + 1) * bucketWidth;
        const double share = std::max(0.0, upper - position) * rate;
        if (share >= remaining) {
            const double length = std::exp(position + remaining / rate);
            return std::max(produced, static_cast<std::uint32_t>(std::ceil(length - 1e-6)));
        }
        remaining -= share;
        position = std::max(position, upper);
    }
    return std::max(produced, maximumLength);
}

std::uint32_t LengthEstimator::remainingQuantile(const LengthClass &lengthClass,
                                                 std::uint32_t produced, double quantile,
                                                 Milliseconds now) const
{
    return this->totalQuantile(lengthClass, produced, quantile, now) - produced;
}

std::size_t LengthEstimator::historyCount() const
{
    return this->histories.size();
}

LengthEstimator::History &LengthEstimator::historyFor(std::uint64_t key, Milliseconds now)
{
    if (const auto known = this->index.find(key); known != this->index.end()) {
        this->histories.splice(this->histories.begin(), this->histories, known->second);
        this->decay(*known->second, now);
        return *known->second;
    }
    if (this->histories.size() >= this->options.maximumHistories) {
        const auto oldest = std::prev(this->histories.end());
        this->index.erase(oldest->key);
        this->histories.splice(this->histories.begin(), this->histories, oldest);
        *oldest = History{};
    } else {
        this->histories.emplace_front();
    }
    History &history = this->histories.front();
    history.key = key;
    history.decayedAt = now;
    this->index.emplace(key, this->histories.begin());
    return history;
}

void LengthEstimator::decay(History &history, Milliseconds now) const
{
    if (now - history.decayedAt < this->options.halfLife / decayStepsPerHalfLife)
        return;
    const auto factor = static_cast<float>(this->decayFactor(history, now));
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        history.ended[bucket] *= factor;
        history.survived[bucket] *= factor;
    }
    history.decayedAt = now;
}

double LengthEstimator::decayFactor(const History &history, Milliseconds now) const
{
    const Milliseconds age = now - history.decayedAt;
    if (age < this->options.halfLife / decayStepsPerHalfLife)
        return 1.0;
    return std::exp2(-static_cast<double>(age.count())
                     / static_cast<double>(this->options.halfLife.count()));
}

} // namespace sassafrasyard
