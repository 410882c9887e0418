#pragma once

#include "core/core.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

namespace sassafrasyard {

/** Bounds and rates of a LengthEstimator. */
struct LengthEstimatorOptions
{
    /** How many histories are kept; the least recently used one is dropped. */
    std::size_t maximumHistories = 8192;
    /** After how long an observation counts half, in milliseconds. */
    Milliseconds halfLife{30 * 60 * 1000};
    /** How many observations of a wider class weigh as much as the class's own. */
    double widerClassWeight = 8.0;
};

/** The classes a job belongs to, from narrow to wide; made by LengthEstimator::classOf(). */
struct LengthClass
{
    /** Hashes of account + model + prompt size, model + prompt size, and model. */
    std::array<std::uint64_t, 3> keys{};
};

/**
 * Estimates the output length of jobs as a heavy-tailed distribution.
 *
 * Lengths fall into buckets of half an octave. For every class the estimator counts how many jobs
 * ended in each bucket and how many outlived it; the ratio is the bucket's hazard. A running job
 * counts in each bucket that it has outlived, so censored jobs enter without bias and long jobs
 * teach before they end. Inside a bucket, the hazard is constant in the logarithm of the length (a
 * Pareto piece). A class with few observations in a bucket is drawn to its wider class, and the
 * model to a fixed heavy-tailed prior. Memory is bounded, old observations fade.
 */
class LengthEstimator
{
public:
    /** The longest length that is told apart, in tokens. */
    static constexpr std::uint32_t maximumLength = 131072;

    /** Creates an estimator that knows the prior only. */
    explicit LengthEstimator(LengthEstimatorOptions options = {});
    LengthEstimator(const LengthEstimator &) = delete;
    LengthEstimator &operator=(const LengthEstimator &) = delete;

    /** Returns the class of a job. @param promptTokens the prompt's size in tokens. */
    static LengthClass classOf(const ClientAccountName &account, const ModelName &model,
                               std::uint32_t promptTokens);
    /** Returns the bucket of a length in tokens; progress inside one bucket teaches nothing. */
    static std::size_t bucketOf(std::uint32_t tokens);

    /** Records that a running job went from one length to another, in tokens. */
    void recordProgress(const LengthClass &job, std::uint32_t from, std::uint32_t to,
                        Milliseconds now);
    /** Records that a job ended by itself at this length. Progress up to it is recorded before. */
    void recordEnd(const LengthClass &job, std::uint32_t tokens, Milliseconds now);

    /**
     * Returns a quantile of the total output length of a job that has produced some tokens.
     *
     * @param produced tokens so far; the result is not below it.
     * @param quantile from 0 to below 1.
     */
    std::uint32_t totalQuantile(const LengthClass &job, std::uint32_t produced, double quantile,
                                Milliseconds now) const;
    /** Returns a quantile of the remaining length, in tokens; see totalQuantile(). */
    std::uint32_t remainingQuantile(const LengthClass &job, std::uint32_t produced, double quantile,
                                    Milliseconds now) const;
    /** Returns the number of histories kept. */
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
