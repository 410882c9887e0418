#include "callplan.h"

#include "core/core.h"
#include "enginemodel/outputlength.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace sassafrasyard {

namespace {

constexpr double periodSeconds = 10.0;
constexpr double offPeakDemand = 0.6;
constexpr double peakDemand = 1.8;
constexpr double rampUpBegin = 5.0;
constexpr double peakBegin = 6.0;
constexpr double peakEnd = 9.0;
constexpr double peakThreshold = 1.5;

constexpr double longShare = 0.35;
constexpr double shortOnLongModelShare = 0.15;
constexpr double shortOnShortModelShare = 0.15;
constexpr double lookupShare = 0.25;

/** Shares of the ten client accounts; three are large. */
constexpr std::array<double, 10> accountShares = {0.30, 0.20, 0.15, 0.05, 0.05,
                                                  0.05, 0.05, 0.05, 0.05, 0.05};
/** One long call in 50 sets no output limit. */
constexpr double unlimitedShare = 0.02;
constexpr std::uint32_t longLimitTokens = 2000;
constexpr std::uint32_t shortMinimumTokens = 4;
constexpr std::uint32_t shortMaximumTokens = 16;
/** One long call in 50 closes its connection after disconnectTokens tokens. */
constexpr double disconnectShare = 0.02;
constexpr std::uint32_t disconnectTokens = 20;
constexpr std::size_t templatesPerAccount = 3;
constexpr std::size_t templateCharacters = 1600;
constexpr std::size_t minimumDetailCharacters = 100;
constexpr std::size_t maximumDetailCharacters = 800;
constexpr double fullStepSeconds = 0.030;
constexpr double prefillSteps = 2.0;

std::string randomText(std::uint64_t seed, std::size_t characters)
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
    double remaining = random.unit();
    for (std::size_t account = 0; account < accountShares.size(); ++account) {
        remaining -= accountShares[account];
        if (remaining < 0.0)
            return account;
    }
    return accountShares.size() - 1;
}

CallKind drawKind(RandomSource &random)
{
    double remaining = random.unit();
    if ((remaining -= longShare) < 0.0)
        return CallKind::Long;
    if ((remaining -= shortOnLongModelShare) < 0.0)
        return CallKind::ShortOnLongModel;
    if ((remaining -= shortOnShortModelShare) < 0.0)
        return CallKind::ShortOnShortModel;
    return remaining - lookupShare < 0.0 ? CallKind::Lookup : CallKind::Order;
}

PlannedCall drawCall(const WorkloadMix &mix, RandomSource &random)
{
    PlannedCall call;
    call.kind = drawKind(random);
    call.account = drawAccount(random);
    call.failureDomain = random.below(mix.failureDomains);
    call.seed = random.next() >> 12U;
    const std::size_t detailCharacters = minimumDetailCharacters
            + random.below(maximumDetailCharacters - minimumDetailCharacters);
    const std::uint64_t chosenTemplate = random.below(templatesPerAccount);
    const bool isUnlimited = random.unit() < unlimitedShare;
    const bool isDisconnected = random.unit() < disconnectShare;
    const auto shortTokens = static_cast<std::uint32_t>(
            shortMinimumTokens + random.below(shortMaximumTokens - shortMinimumTokens + 1));
    if (call.kind == CallKind::Long) {
        call.prompt = randomText(call.account * templatesPerAccount + chosenTemplate + 1,
                                 templateCharacters)
                + randomText(call.seed, detailCharacters);
        call.maximumTokens = isUnlimited ? 0 : longLimitTokens;
        call.disconnectAfterTokens = isDisconnected ? disconnectTokens : 0;
    } else {
        call.prompt = randomText(call.seed, minimumDetailCharacters);
        call.maximumTokens = shortTokens;
    }
    return call;
}

/** Returns the time that a call of the mix occupies a slot of a long engine, in seconds on average.
 */
double meanSlotSeconds(const WorkloadMix &mix, std::uint64_t seed)
{
    constexpr int samples = 4000;
    RandomSource random(seed);
    double tokens = 0.0;
    for (int sample = 0; sample < samples; ++sample) {
        const PlannedCall call = drawCall(mix, random);
        if (call.kind != CallKind::Long && call.kind != CallKind::ShortOnLongModel)
            continue;
        const std::uint32_t length = tailOutputLength(call.seed, call.prompt);
        tokens += prefillSteps
                + (call.maximumTokens > 0 ? std::min(length, call.maximumTokens) : length);
    }
    return tokens * fullStepSeconds / samples;
}

} // namespace

WorkloadMix findWorkloadMix(const std::string &name)
{
    if (name == "peach")
        return {"tagwriter", "storedesk", "storedesk-calls", 14, 3, 3};
    if (name == "daugava")
        return {"plan", "depotdesk", "depotdesk-calls", 12, 4, 4};
    return {};
}

double relativeDemand(RunTime time)
{
    const double seconds = std::fmod(std::chrono::duration<double>(time).count(), periodSeconds);
    double demand = offPeakDemand;
    if (seconds >= rampUpBegin && seconds < peakBegin)
        demand +=
                (peakDemand - offPeakDemand) * (seconds - rampUpBegin) / (peakBegin - rampUpBegin);
    else if (seconds >= peakBegin && seconds < peakEnd)
        demand = peakDemand;
    else if (seconds >= peakEnd)
        demand += (peakDemand - offPeakDemand) * (periodSeconds - seconds)
                / (periodSeconds - peakEnd);
    const double rampMean = (offPeakDemand + peakDemand) / 2.0;
    const double rampSeconds = (peakBegin - rampUpBegin) + (periodSeconds - peakEnd);
    const double mean = (offPeakDemand * rampUpBegin + peakDemand * (peakEnd - peakBegin)
                         + rampMean * rampSeconds)
            / periodSeconds;
    return demand / mean;
}

bool isPeak(RunTime time)
{
    return relativeDemand(time) >= peakThreshold;
}

std::vector<PlannedCall> planCalls(const WorkloadMix &mix, double load, std::size_t slots,
                                   RunTime duration, std::uint64_t seed)
{
    const double capacity = static_cast<double>(mix.longEngines * slots);
    const double callsPerSecond = load * capacity / meanSlotSeconds(mix, seed + 1);
    RandomSource random(seed);
    std::vector<PlannedCall> plan;
    RunTime now{0};
    while (true) {
        const double gap = -std::log(1.0 - random.unit()) / (callsPerSecond * relativeDemand(now));
        now += std::chrono::duration_cast<RunTime>(std::chrono::duration<double>(gap));
        if (now >= duration)
            return plan;
        PlannedCall call = drawCall(mix, random);
        call.arrivesAt = now;
        call.isAtPeak = isPeak(now);
        plan.push_back(std::move(call));
    }
}

} // namespace sassafrasyard
