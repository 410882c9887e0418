#include "enginemodel/enginemodel.h"
#include "enginemodel/outputlength.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>

using namespace sassafrasyard;

namespace {

constexpr ModelTime oneHour{3600000000};

EngineRequest makeRequest(std::uint32_t tokens, int priority = 0, std::size_t promptCharacters = 40)
{
    EngineRequest request;
    request.prompt.assign(promptCharacters, 'p');
    request.maximumTokens = tokens;
    request.priority = priority;
    return request;
}

EngineModelOptions smallEngineOptions(std::uint32_t slots, std::uint32_t memoryTokens)
{
    EngineModelOptions options;
    options.slots = slots;
    options.memoryTokens = memoryTokens;
    options.cacheTokens = 64;
    return options;
}

/** Applies random submissions, suspensions, resumptions and cancellations to a model. */
struct RandomEngineRun
{
    explicit RandomEngineRun(std::uint64_t seed, const EngineModelOptions &options)
        : random(seed)
        , options(options)
        , model(options)
    {
    }

    void step()
    {
        this->now += ModelTime(this->random.below(60000));
        const std::uint64_t target = this->random.below(this->count + 1) + 1;
        switch (this->random.below(6)) {
        case 0:
        case 1:
            this->submit();
            break;
        case 2:
            this->model.suspend(target, this->now);
            break;
        case 3:
            this->model.resume(target, this->now);
            break;
        case 4:
            if (this->random.below(4) == 0)
                this->model.cancel(target, this->now);
            break;
        default:
            this->model.advance(this->now);
        }
        this->collectTokens();
        RC_ASSERT(this->model.currentLoad().memoryUsedTokens <= this->options.memoryTokens);
        RC_ASSERT(this->model.currentLoad().running <= this->options.slots);
    }

    void submit()
    {
        EngineRequest request =
                makeRequest(static_cast<std::uint32_t>(this->random.below(60) + 1),
                            static_cast<int>(this->random.below(3)), this->random.below(200));
        request.prefixDigest = this->random.below(3);
        if (this->model.submit(request, this->now))
            ++this->count;
    }

    void collectTokens()
    {
        for (const ProducedToken &token : this->model.takeTokens()) {
            RC_ASSERT(token.index == this->produced[token.generation]);
            ++this->produced[token.generation];
            this->tokenSequence.emplace_back(token.generation, token.index);
        }
    }

    void finishAll()
    {
        for (std::uint64_t number = 1; number <= this->count; ++number)
            this->model.resume(number, this->now);
        this->model.advance(this->now + oneHour);
        this->collectTokens();
    }

    RandomSource random;
    EngineModelOptions options;
    EngineModel model;
    ModelTime now{0};
    std::uint64_t count = 0;
    std::map<std::uint64_t, std::uint32_t> produced;
    std::vector<std::pair<std::uint64_t, std::uint32_t>> tokenSequence;
};

} // namespace

// Guards against tokens that are lost or repeated after preemption, suspension or resumption, and
// against memory that is counted twice.
TEST_CASE("Memory use stays within its limit and each token is produced once and in order",
          "[enginemodel]")
{
    rc::prop("any order of calls", [](std::uint64_t seed) {
        RandomEngineRun run(seed, smallEngineOptions(4, 150));
        for (int step = 0; step < 150; ++step)
            run.step();
        run.finishAll();
        for (std::uint64_t number = 1; number <= run.count; ++number) {
            if (run.model.phase(number) == GenerationPhase::Cancelled)
                continue;
            RC_ASSERT(run.model.phase(number) == GenerationPhase::Finished);
            RC_ASSERT(run.produced[number] == run.model.outputTokens(number));
        }
        RC_ASSERT(run.model.currentLoad().memoryUsedTokens == 0U);
    });
}

// Guards against results that depend on memory addresses or on a clock.
TEST_CASE("Equal calls give equal results", "[enginemodel]")
{
    rc::prop("any order of calls", [](std::uint64_t seed) {
        RandomEngineRun first(seed, smallEngineOptions(3, 120));
        RandomEngineRun second(seed, smallEngineOptions(3, 120));
        for (int step = 0; step < 60; ++step) {
            first.step();
            second.step();
        }
        RC_ASSERT(first.tokenSequence == second.tokenSequence);
    });
}

// Guards against preemption of a generation of higher priority, and against a preempted generation
// that never completes.
TEST_CASE("When memory is full the lowest priority is preempted, recomputed and completed",
          "[enginemodel]")
{
    EngineModel model(smallEngineOptions(2, 100));
    const auto low = model.submit(makeRequest(60, 0), ModelTime(0));
    const auto high = model.submit(makeRequest(60, 2), ModelTime(0));
    while (model.currentLoad().preemptions == 0)
        model.advance(*model.stepEnd());
    REQUIRE(model.phase(*low) == GenerationPhase::Waiting);
    REQUIRE(model.phase(*high) == GenerationPhase::Running);
    model.advance(oneHour);
    REQUIRE(model.takeTokens().size() == 120);
    REQUIRE(model.currentLoad().stallTime > ModelTime(0));
}

// Guards against a generation of high priority that waits behind older ones of low priority.
TEST_CASE("A waiting generation of higher priority is admitted first", "[enginemodel]")
{
    EngineModel model(smallEngineOptions(1, 1000));
    model.submit(makeRequest(5, 0), ModelTime(0));
    const auto low = model.submit(makeRequest(5, 0), ModelTime(0));
    const auto high = model.submit(makeRequest(5, 1), ModelTime(0));
    while (model.producedTokens(*high) == 0)
        model.advance(*model.stepEnd());
    REQUIRE(model.producedTokens(*low) == 0);
}

// Guards against a stand-in whose speed does not depend on its load.
TEST_CASE("A step takes 20 ms unloaded and 30 ms with a full batch, times the slowdown",
          "[enginemodel]")
{
    EngineModel model(smallEngineOptions(16, 65536));
    const auto currentStepDuration = [&model] {
        model.advance(*model.stepEnd());
        const ModelTime begin = *model.stepEnd();
        model.advance(begin);
        return *model.stepEnd() - begin;
    };
    model.submit(makeRequest(1000), ModelTime(0));
    REQUIRE(currentStepDuration() == ModelTime(20000));
    for (int index = 0; index < 15; ++index)
        model.submit(makeRequest(1000), *model.stepEnd());
    model.advance(*model.stepEnd());
    REQUIRE(currentStepDuration() == ModelTime(30000));
    model.setSlowdown(3.0);
    model.advance(*model.stepEnd());
    REQUIRE(currentStepDuration() == ModelTime(90000));
}

// Guards against a cache that has no effect on the time to the first token.
TEST_CASE("A cached prefix shortens prefill", "[enginemodel]")
{
    const auto durationOfLastRequest = [](std::size_t repeats) {
        EngineModel model(EngineModelOptions{});
        ModelTime begin{0};
        for (std::size_t index = 0; index < repeats; ++index) {
            begin = ModelTime(index * 1000000);
            model.submit(makeRequest(1, 0, 20000), begin);
            if (index + 1 < repeats)
                model.advance(begin + ModelTime(1000000));
        }
        ModelTime end = begin;
        while (model.stepEnd()) {
            end = *model.stepEnd();
            model.advance(end);
        }
        return end - begin;
    };
    REQUIRE(durationOfLastRequest(2) == ModelTime(20020));
    REQUIRE(durationOfLastRequest(1) > ModelTime(250000));
}

// Guards against preemption of a running generation while a suspended one holds memory.
TEST_CASE("A suspended generation keeps its memory until another generation needs it",
          "[enginemodel]")
{
    EngineModel model(smallEngineOptions(2, 100));
    const auto first = model.submit(makeRequest(50), ModelTime(0));
    model.advance(ModelTime(100000));
    model.suspend(*first, ModelTime(100000));
    REQUIRE(model.currentLoad().memoryUsedTokens > 0);
    const auto second = model.submit(makeRequest(85), ModelTime(200000));
    model.advance(oneHour);
    REQUIRE(model.phase(*second) == GenerationPhase::Finished);
    REQUIRE(model.currentLoad().memoryUsedTokens == 0);
    REQUIRE(model.currentLoad().preemptions == 0);
    model.resume(*first, oneHour);
    model.advance(oneHour + oneHour);
    REQUIRE(model.phase(*first) == GenerationPhase::Finished);
}

// Guards against tests of placement policies that use only current and complete reports.
TEST_CASE("Load reports are late and cache events have gaps", "[enginemodel]")
{
    EngineModelOptions options = smallEngineOptions(4, 1000);
    options.cacheEventLossShare = 0.3;
    options.cacheTokens = 30;
    EngineModel model(options);
    ModelTime now{0};
    for (std::uint64_t digest = 1; digest <= 40; ++digest) {
        EngineRequest request = makeRequest(2);
        request.prefixDigest = digest;
        model.submit(request, now);
        now += ModelTime(200000);
        model.advance(now);
    }
    const auto events = model.cacheEvents(0, now + ModelTime(1000000));
    REQUIRE(events.size() > 20);
    REQUIRE(events.back().sequence > events.size());
    REQUIRE(model.cacheEvents(0, now).size() < events.size());
    model.submit(makeRequest(500), now);
    model.advance(now + ModelTime(900000));
    REQUIRE(model.reportedLoad(now + ModelTime(900000)).running == 0);
    model.advance(now + ModelTime(1300000));
    REQUIRE(model.reportedLoad(now + ModelTime(1300000)).running == 1);
}

// Guards against lengths that a caller can predict from max_tokens.
TEST_CASE("Output lengths are heavy-tailed and depend on seed and prompt only", "[enginemodel]")
{
    std::vector<std::uint32_t> lengths;
    for (std::uint64_t seed = 0; seed < 5000; ++seed)
        lengths.push_back(tailOutputLength(seed, "a prompt"));
    REQUIRE(lengths[7] == tailOutputLength(7, "a prompt"));
    REQUIRE(lengths[7] != tailOutputLength(7, "another prompt"));
    std::sort(lengths.begin(), lengths.end());
    REQUIRE(lengths[4950] > 10 * lengths[2500]);
}
