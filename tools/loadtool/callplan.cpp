#include "callplan.h"

#include "core/core.h"
#include "enginemodel/outputlength.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace sassafrasyard {

namespace {

constexpr double periodSeconds = 10.0;
constexpr double calmDemand = 0.6;
constexpr double peakDemand = 1.8;
constexpr double calmEnd = 5.0;
constexpr double peakBegin = 6.0;
constexpr double peakEnd = 9.0;
constexpr double peakThreshold = 1.5;

constexpr double longShare = 0.35;
constexpr double shortBehindLongShare = 0.15;
constexpr double shortAtDeskShare = 0.15;
constexpr double lookupShare = 0.25;

/** Shares of the ten client accounts; three are large. */
constexpr std::array<double, 10> accountShares = {0.30, 0.20, 0.15, 0.05, 0.05,
                                                  0.05, 0.05, 0.05, 0.05, 0.05};
/** One long call in 50 asks for an output without a limit. */
constexpr double unlimitedShare = 0.02;
constexpr std::uint32_t longLimitTokens = 2000;
constexpr std::uint32_t shortMinimumTokens = 4;
constexpr std::uint32_t shortMaximumTokens = 16;
/** One long call in 50 loses its connection after this many tokens. */
constexpr double cutShare = 0.02;
constexpr std::uint32_t cutTokens = 20;
constexpr std::size_t templatesPerAccount = 3;
constexpr std::size_t templateCharacters = 1600;
constexpr std::size_t shortestDetail = 100;
constexpr std::size_t longestDetail = 800;
constexpr double fullStepSeconds = 0.030;
constexpr double prefillSteps = 2.0;

std::string textOf(std::uint64_t seed, std::size_t characters)
{
    RandomSource random(seed);
    std::string text;
    while (text.size() < characters)
        text += random.nextHex() + " ";
    text.resize(characters);
    return text;
}

std::size_t drawAccount(RandomSource &random)
{
    double rest = random.unit();
    for (std::size_t account = 0; account < accountShares.size(); ++account) {
        rest -= accountShares[account];
        if (rest < 0.0)
            return account;
    }
    return accountShares.size() - 1;
}

CallKind drawKind(RandomSource &random)
{
    double rest = random.unit();
    if ((rest -= longShare) < 0.0)
        return CallKind::Long;
    if ((rest -= shortBehindLongShare) < 0.0)
        return CallKind::ShortBehindLong;
    if ((rest -= shortAtDeskShare) < 0.0)
        return CallKind::ShortAtDesk;
    return rest - lookupShare < 0.0 ? CallKind::Lookup : CallKind::Order;
}

PlannedCall drawCall(const Mix &mix, RandomSource &random)
{
    PlannedCall call;
    call.kind = drawKind(random);
    call.account = drawAccount(random);
    call.domain = random.below(mix.domains);
    call.seed = random.next() >> 12U;
    const std::size_t detail = shortestDetail + random.below(longestDetail - shortestDetail);
    const std::uint64_t chosenTemplate = random.below(templatesPerAccount);
    const bool isUnlimited = random.unit() < unlimitedShare;
    const bool isCut = random.unit() < cutShare;
    const auto shortTokens = static_cast<std::uint32_t>(
            shortMinimumTokens + random.below(shortMaximumTokens - shortMinimumTokens + 1));
    if (call.kind == CallKind::Long) {
        call.prompt =
                textOf(call.account * templatesPerAccount + chosenTemplate + 1, templateCharacters)
                + textOf(call.seed, detail);
        call.maximumTokens = isUnlimited ? 0 : longLimitTokens;
        call.cutAfterTokens = isCut ? cutTokens : 0;
    } else {
        call.prompt = textOf(call.seed, shortestDetail);
        call.maximumTokens = shortTokens;
    }
    return call;
}

/** Returns the mean time that a call keeps a slot of a long engine, in seconds. */
double meanSlotSeconds(const Mix &mix, std::uint64_t seed)
{
    constexpr int samples = 4000;
    RandomSource random(seed);
    double tokens = 0.0;
    for (int sample = 0; sample < samples; ++sample) {
        const PlannedCall call = drawCall(mix, random);
        if (call.kind != CallKind::Long && call.kind != CallKind::ShortBehindLong)
            continue;
        const std::uint32_t length = tailOutputLength(call.seed, call.prompt);
        tokens += prefillSteps
                + (call.maximumTokens > 0 ? std::min(length, call.maximumTokens) : length);
    }
    return tokens * fullStepSeconds / samples;
}

} // namespace

Mix mixOf(const std::string &name)
{
    if (name == "peach")
        return {"tagwriter", "storedesk", "storedesk-calls", 14, 3, 3};
    if (name == "daugava")
        return {"plan", "depotdesk", "depotdesk-calls", 12, 4, 4};
    return {};
}

double demandAt(RunTime time)
{
    const double seconds = std::fmod(std::chrono::duration<double>(time).count(), periodSeconds);
    double demand = calmDemand;
    if (seconds >= calmEnd && seconds < peakBegin)
        demand += (peakDemand - calmDemand) * (seconds - calmEnd) / (peakBegin - calmEnd);
    else if (seconds >= peakBegin && seconds < peakEnd)
        demand = peakDemand;
    else if (seconds >= peakEnd)
        demand += (peakDemand - calmDemand) * (periodSeconds - seconds) / (periodSeconds - peakEnd);
    const double rampMean = (calmDemand + peakDemand) / 2.0;
    const double rampSeconds = (peakBegin - calmEnd) + (periodSeconds - peakEnd);
    const double mean =
            (calmDemand * calmEnd + peakDemand * (peakEnd - peakBegin) + rampMean * rampSeconds)
            / periodSeconds;
    return demand / mean;
}

bool isPeak(RunTime time)
{
    return demandAt(time) >= peakThreshold;
}

std::vector<PlannedCall> planCalls(const Mix &mix, double load, std::size_t slots, RunTime duration,
                                   std::uint64_t seed)
{
    const double capacity = static_cast<double>(mix.longEngines * slots);
    const double callsPerSecond = load * capacity / meanSlotSeconds(mix, seed + 1);
    RandomSource random(seed);
    std::vector<PlannedCall> plan;
    RunTime now{0};
    while (true) {
        const double gap = -std::log(1.0 - random.unit()) / (callsPerSecond * demandAt(now));
        now += std::chrono::duration_cast<RunTime>(std::chrono::duration<double>(gap));
        if (now >= duration)
            return plan;
        PlannedCall call = drawCall(mix, random);
        call.at = now;
        call.isAtPeak = isPeak(now);
        plan.push_back(std::move(call));
    }
}

} // namespace sassafrasyard
