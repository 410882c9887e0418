#include "policy/length/lengthestimator.h"

#include <catch2/catch.hpp>
#include <cmath>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace sassafrasyard;

namespace {

constexpr Milliseconds start{1000};

LengthClass lengthClassOf(const std::string &account, const std::string &model = "plan")
{
    return LengthEstimator::classOf(ClientAccountName(account), ModelName(model), 500);
}

void recordCompletedRequest(LengthEstimator &estimator, const LengthClass &lengthClass,
                            std::uint32_t tokens, Milliseconds now = start)
{
    estimator.recordProgress(lengthClass, 0, tokens, now);
    estimator.recordEnd(lengthClass, tokens, now);
}

/** Returns a Pareto distributed length with tail exponent 1.1 and a minimum of 50 tokens. */
std::uint32_t paretoLength(RandomSource &random)
{
    const double length = 50.0 * std::pow(1.0 - random.unit(), -1.0 / 1.1);
    return static_cast<std::uint32_t>(std::min(length, 100000.0));
}

bool isWithin(double value, double low, double high)
{
    return value >= low && value <= high;
}

} // namespace

// Guards against buckets that overlap or leave gaps, which loses observations.
TEST_CASE("Bucket numbers increase with the length", "[length]")
{
    std::size_t last = LengthEstimator::bucketOf(0);
    REQUIRE(last == 0);
    for (std::uint32_t tokens = 1; tokens < 300000; ++tokens) {
        const std::size_t bucket = LengthEstimator::bucketOf(tokens);
        if (bucket != last && bucket != last + 1 && tokens > 4)
            FAIL("bucket skipped at " << tokens);
        last = bucket;
    }
    REQUIRE(last == 33);
}

// Guards against estimates far from the requested quantile.
TEST_CASE("Quantiles follow a heavy-tailed sample", "[length]")
{
    LengthEstimator estimator;
    RandomSource random(7);
    const LengthClass lengthClass = lengthClassOf("daugava");
    for (int count = 0; count < 4000; ++count)
        recordCompletedRequest(estimator, lengthClass, paretoLength(random));
    const auto exact = [](double quantile) {
        return 50.0 * std::pow(1.0 - quantile, -1.0 / 1.1);
    };
    for (const double quantile : {0.3, 0.5, 0.8, 0.95}) {
        const double estimate = estimator.totalQuantile(lengthClass, 0, quantile, start);
        CAPTURE(quantile, estimate, exact(quantile));
        REQUIRE(isWithin(estimate, 0.85 * exact(quantile), 1.15 * exact(quantile)));
    }
    // A Pareto length is scale free: the remaining length grows with the produced one.
    const double early = estimator.remainingQuantile(lengthClass, 100, 0.5, start);
    const double late = estimator.remainingQuantile(lengthClass, 3000, 0.5, start);
    CAPTURE(early, late);
    REQUIRE(isWithin(late / early, 18.0, 45.0));
}

// Guards against estimates from short requests only, while the long ones are still running.
TEST_CASE("Running requests raise the length estimate", "[length]")
{
    LengthEstimator estimator;
    const LengthClass lengthClass = lengthClassOf("peach");
    for (int count = 0; count < 60; ++count)
        recordCompletedRequest(estimator, lengthClass, 20);
    const std::uint32_t before = estimator.totalQuantile(lengthClass, 0, 0.8, start);
    for (int count = 0; count < 60; ++count)
        estimator.recordProgress(lengthClass, 0, 20000, start);
    REQUIRE(before < 40);
    REQUIRE(estimator.totalQuantile(lengthClass, 0, 0.8, start) > 20000);
}

// Guards against estimates from too few requests of an account, or from other accounts although the
// account has enough requests of its own.
TEST_CASE("An account without observations uses those of its model", "[length]")
{
    LengthEstimator estimator;
    for (int count = 0; count < 500; ++count)
        recordCompletedRequest(estimator, lengthClassOf("long"), 8000);
    const std::uint32_t fresh = estimator.totalQuantile(lengthClassOf("new"), 0, 0.5, start);
    REQUIRE(isWithin(fresh, 5000, 9000));
    for (int count = 0; count < 100; ++count)
        recordCompletedRequest(estimator, lengthClassOf("new"), 30);
    REQUIRE(estimator.totalQuantile(lengthClassOf("new"), 0, 0.5, start) < 60);
    REQUIRE(estimator.totalQuantile(lengthClassOf("long"), 0, 0.5, start) > 4000);
    REQUIRE(estimator.totalQuantile(lengthClassOf("new", "other"), 0, 0.5, start) < 1000);
}

// Guards against outdated observations that dominate the estimate.
TEST_CASE("The weight of observations decays with time", "[length]")
{
    LengthEstimator estimator;
    const LengthClass lengthClass = lengthClassOf("peach");
    for (int count = 0; count < 200; ++count)
        recordCompletedRequest(estimator, lengthClass, 10000);
    const Milliseconds later = start + Milliseconds(10 * 3600 * 1000);
    for (int count = 0; count < 40; ++count)
        recordCompletedRequest(estimator, lengthClass, 40, later);
    REQUIRE(estimator.totalQuantile(lengthClass, 0, 0.5, later) < 100);
}

// Guards against memory use that grows with the number of accounts, and against dropping the
// histories of active accounts.
TEST_CASE("The number of histories is bounded", "[length]")
{
    LengthEstimatorOptions options;
    options.maximumHistories = 64;
    LengthEstimator estimator(options);
    for (int account = 0; account < 5700; ++account) {
        recordCompletedRequest(estimator, lengthClassOf("account-" + std::to_string(account)), 100);
        recordCompletedRequest(estimator, lengthClassOf("active"), 9000);
    }
    REQUIRE(estimator.historyCount() == 64);
    REQUIRE(estimator.totalQuantile(lengthClassOf("active"), 0, 0.5, start) > 5000);
}

// Guards against quantiles below the tokens produced so far and against non-monotonic quantiles.
TEST_CASE("Quantiles are ordered and never below the tokens produced so far", "[length]")
{
    rc::prop("ordered quantiles", [](const std::vector<std::uint16_t> &lengths) {
        LengthEstimator estimator;
        const LengthClass lengthClass = lengthClassOf("any");
        for (const std::uint16_t length : lengths)
            recordCompletedRequest(estimator, lengthClass, length);
        const auto produced = *rc::gen::inRange<std::uint32_t>(0, 300000);
        const std::uint32_t low = estimator.totalQuantile(lengthClass, produced, 0.5, start);
        const std::uint32_t high = estimator.totalQuantile(lengthClass, produced, 0.9, start);
        RC_ASSERT(low >= produced);
        RC_ASSERT(high >= low);
        RC_ASSERT(high <= std::max(produced, LengthEstimator::maximumLength));
    });
}
