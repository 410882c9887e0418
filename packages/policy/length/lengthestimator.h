#pragma once

#include "core/core.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace sassafrasyard {

/** Settings of a LengthEstimator. */
struct LengthEstimatorOptions
{
    /** Maximum number of histories, at least 3; the least recently used one is dropped. */
    std::size_t maximumHistories = 8192;
    /** The time after which an observation has half its weight, in milliseconds. */
    Milliseconds halfLife{30 * 60 * 1000};
    /** The weight of the wider class's hazard, as a number of observations of the class itself. */
    double widerClassWeight = 8.0;
};

/** The classes that a request belongs to, from narrow to wide; see LengthEstimator::classOf(). */
struct LengthClass
{
    /** Hashes of account + model + prompt size, model + prompt size, and model. */
    std::array<std::uint64_t, 3> keys{};
};

/**
 * Estimates the distribution of the output length of requests, which is heavy-tailed.
 *
 * Lengths are divided into buckets of half an octave. For each class the estimator counts the
 * requests that ended in a bucket and those that survived it; the share that ended is the bucket's
 * hazard. A running request counts in each bucket that it has survived, so censored requests cause
 * no bias and long requests count before they end. Within a bucket, the hazard rate is constant in
 * the logarithm of the length (a piecewise Pareto distribution). The hazard of a class with few
 * observations in a bucket is smoothed towards its wider class, and that of a model towards a fixed
 * heavy-tailed prior. Memory is bounded, and the weight of observations decays with time.
 */
class LengthEstimator
{
public:
    /** The longest length that is distinguished, in tokens; longer ones count as this. */
    static constexpr std::uint32_t maximumLength = 131072;

    /** Creates an estimator without observations, which returns the quantiles of the prior. */
    explicit LengthEstimator(LengthEstimatorOptions options = {});
    LengthEstimator(const LengthEstimator &) = delete;
    LengthEstimator &operator=(const LengthEstimator &) = delete;

    /** Returns the classes of a request. @param promptTokens the prompt's size in tokens. */
    static LengthClass classOf(const ClientAccountName &account, const ModelName &model,
                               std::uint32_t promptTokens);
    /**
     * Returns the bucket of a length in tokens; progress within one bucket need not be recorded.
     */
    static std::size_t bucketOf(std::uint32_t tokens);

    /** Records that a running request progressed from one length to another, in tokens. */
    void recordProgress(const LengthClass &lengthClass, std::uint32_t from, std::uint32_t to,
                        Milliseconds now);
    /**
     * Records that a request ended by itself at this length, in tokens. Its progress up to this
     * length must be recorded first.
     */
    void recordEnd(const LengthClass &lengthClass, std::uint32_t tokens, Milliseconds now);

    /**
     * Returns a quantile of the total output length of a request, given its output so far, in
     * tokens.
     *
     * @param produced tokens produced so far; the result is not below it.
     * @param quantile from 0 to below 1.
     */
    std::uint32_t totalQuantile(const LengthClass &lengthClass, std::uint32_t produced,
                                double quantile, Milliseconds now) const;
    /** Returns a quantile of the remaining length, in tokens; see totalQuantile(). */
    std::uint32_t remainingQuantile(const LengthClass &lengthClass, std::uint32_t produced,
                                    double quantile, Milliseconds now) const;
    /** Returns the number of histories that are kept. */
    std::size_t historyCount() const;

private:
    static constexpr std::size_t bucketCount = 34;

    struct History
    {
        std::uint64_t key = 0;
        Milliseconds decayedAt{0};
        std::array<float, bucketCount> ended{};
        std::array<float, bucketCount> survived{};
    };

    History &historyFor(std::uint64_t key, Milliseconds now);
    void decay(History &history, Milliseconds now) const;
    double decayFactor(const History &history, Milliseconds now) const;

    LengthEstimatorOptions options;
    std::list<History> histories;
    std::unordered_map<std::uint64_t, std::list<History>::iterator> index;
};

} // namespace sassafrasyard
