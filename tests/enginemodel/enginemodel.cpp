#include "enginemodel/enginemodel.h"

#include "enginemodel/outputlength.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace sassafrasyard {

namespace {

constexpr std::uint32_t defaultOutputTokens = 32;
constexpr std::string_view crashMarker = "CRASH";
/** Admission leaves 1/50 of the memory free, so that a new prompt is not preempted at once. */
constexpr std::uint32_t admissionReserveDivisor = 50;
constexpr ModelTime loadRecordInterval{100000};
/** The weight of the newest step in the smoothed step duration is 1 / stepSmoothingDivisor. */
constexpr int stepSmoothingDivisor = 8;
constexpr std::uint32_t prefillTimeUnitTokens = 1000;

} // namespace

EngineModel::EngineModel(EngineModelOptions options)
    : options(options)
    , cache(options.cacheTokens, options.cacheEventLossShare, options.seed)
{
    assert(options.slots > 0 && options.prefillTokensPerStep > 0);
}

std::optional<std::uint64_t> EngineModel::submit(const EngineRequest &request, ModelTime now)
{
    this->advance(now);
    Generation generation;
    generation.promptTokens = estimateTokens(request.prompt.size());
    if (generation.promptTokens >= this->options.memoryTokens)
        return std::nullopt;
    const bool isTail = this->options.outputLength == OutputLength::Tail;
    generation.length =
            isTail ? tailOutputLength(request.seed, request.prompt) : defaultOutputTokens;
    if (request.maximumTokens > 0)
        generation.length =
                isTail ? std::min(generation.length, request.maximumTokens) : request.maximumTokens;
    // Limits the length so that the generation fits the memory alone: the engine can always make
    // progress.
    generation.length =
            std::min(generation.length, this->options.memoryTokens - generation.promptTokens);
    generation.number = ++this->generationCount;
    generation.isCrashing = request.prompt.find(crashMarker) != std::string::npos;
    generation.request = request;
    this->waiting.insert(waitingKey(generation));
    this->generations.emplace(generation.number, std::move(generation));
    this->beginStepIfIdle(now);
    return this->generationCount;
}

void EngineModel::suspend(std::uint64_t generation, ModelTime now)
{
    this->advance(now);
    Generation *known = this->find(generation);
    if (known == nullptr
        || (known->phase != GenerationPhase::Running && known->phase != GenerationPhase::Waiting)) {
        return;
    }
    this->leaveBatch(*known);
    known->phase = GenerationPhase::Suspended;
    known->preemptedAt.reset();
    if (known->heldTokens > 0)
        this->suspendedHoldingMemory.insert(waitingKey(*known));
}

void EngineModel::resume(std::uint64_t generation, ModelTime now)
{
    this->advance(now);
    Generation *known = this->find(generation);
    if (known == nullptr || known->phase != GenerationPhase::Suspended)
        return;
    known->phase = GenerationPhase::Waiting;
    this->waiting.insert(waitingKey(*known));
    this->beginStepIfIdle(now);
}

void EngineModel::cancel(std::uint64_t generation, ModelTime now)
{
    this->advance(now);
    Generation *known = this->find(generation);
    if (known == nullptr || known->phase == GenerationPhase::Finished)
        return;
    this->leaveBatch(*known);
    this->suspendedHoldingMemory.erase(waitingKey(*known));
    this->setHeldTokens(*known, 0);
    known->phase = GenerationPhase::Cancelled;
}

void EngineModel::forget(std::uint64_t generation)
{
    const Generation *known = this->find(generation);
    assert(known == nullptr || known->phase == GenerationPhase::Finished
           || known->phase == GenerationPhase::Cancelled);
    if (known != nullptr)
        this->generations.erase(generation);
}

void EngineModel::setSlowdown(double factor)
{
    assert(factor > 0.0);
    this->slowdown = factor;
}

void EngineModel::advance(ModelTime now)
{
    while (this->currentStepEnd && *this->currentStepEnd <= now) {
        const ModelTime end = *this->currentStepEnd;
        this->finishStep(end);
        this->beginStep(end);
        this->recordLoad(end);
    }
    this->recordLoad(now);
}

std::optional<ModelTime> EngineModel::stepEnd() const
{
    return this->currentStepEnd;
}

std::vector<ProducedToken> EngineModel::takeTokens()
{
    return std::exchange(this->tokens, {});
}

std::optional<GenerationPhase> EngineModel::phase(std::uint64_t generation) const
{
    const Generation *known = this->find(generation);
    return known == nullptr ? std::nullopt : std::optional(known->phase);
}

std::uint32_t EngineModel::producedTokens(std::uint64_t generation) const
{
    const Generation *known = this->find(generation);
    return known == nullptr ? 0 : known->produced;
}

std::uint32_t EngineModel::outputTokens(std::uint64_t generation) const
{
    const Generation *known = this->find(generation);
    return known == nullptr ? 0 : known->length;
}

std::uint32_t EngineModel::memoryTokens() const
{
    return this->options.memoryTokens;
}

EngineLoad EngineModel::currentLoad() const
{
    EngineLoad load;
    load.running = static_cast<std::uint32_t>(this->running.size());
    load.waiting = static_cast<std::uint32_t>(this->waiting.size());
    load.memoryUsedTokens = this->usedTokens;
    load.tokenInterval = this->smoothedStep;
    load.preemptions = this->preemptions;
    load.stallTime = this->stallTime;
    return load;
}

EngineLoad EngineModel::reportedLoad(ModelTime now) const
{
    EngineLoad reported;
    for (const EngineLoad &load : this->history) {
        if (load.at + this->options.reportLag <= now)
            reported = load;
    }
    return reported;
}

std::vector<PrefixCacheEvent> EngineModel::cacheEvents(std::uint64_t after, ModelTime now) const
{
    return this->cache.events(after, now - this->options.reportLag);
}

bool EngineModel::hasCrashed() const
{
    return this->crashed;
}

EngineModel::WaitingKey EngineModel::waitingKey(const Generation &generation)
{
    return {-generation.request.priority, generation.number};
}

std::uint32_t EngineModel::neededTokens(const Generation &generation)
{
    return generation.promptTokens + generation.produced + 1;
}

EngineModel::Generation *EngineModel::find(std::uint64_t generation)
{
    const auto known = this->generations.find(generation);
    return known == this->generations.end() ? nullptr : &known->second;
}

const EngineModel::Generation *EngineModel::find(std::uint64_t generation) const
{
    const auto known = this->generations.find(generation);
    return known == this->generations.end() ? nullptr : &known->second;
}

void EngineModel::beginStepIfIdle(ModelTime now)
{
    if (!this->currentStepEnd)
        this->beginStep(now);
}

void EngineModel::beginStep(ModelTime now)
{
    this->reserveDecodeMemory(now);
    this->admitWaiting();
    this->currentStepEnd.reset();
    if (this->running.empty())
        return;
    this->currentStepTime = this->stepTime(this->assignPrefill());
    this->currentStepEnd = now + this->currentStepTime;
}

void EngineModel::finishStep(ModelTime now)
{
    this->smoothedStep = this->smoothedStep.count() == 0 ? this->currentStepTime
                                                         : this->smoothedStep
                    + (this->currentStepTime - this->smoothedStep) / stepSmoothingDivisor;
    const std::vector<Generation *> batch = this->running;
    for (Generation *generation : batch) {
        this->crashed = this->crashed || generation->isCrashing;
        if (generation->prefillRemaining == 0)
            this->produce(*generation, now);
    }
}

void EngineModel::produce(Generation &generation, ModelTime now)
{
    if (generation.produced == 0)
        this->cache.store(generation.request.prefixDigest, generation.request.prompt, now);
    if (generation.preemptedAt)
        this->stallTime += now - *generation.preemptedAt;
    generation.preemptedAt.reset();
    this->tokens.push_back({generation.number, generation.produced});
    ++generation.produced;
    if (generation.produced < generation.length)
        return;
    this->leaveBatch(generation);
    this->setHeldTokens(generation, 0);
    generation.phase = GenerationPhase::Finished;
}

void EngineModel::reserveDecodeMemory(ModelTime now)
{
    std::uint32_t additional = 0;
    for (const Generation *generation : this->running)
        additional += neededTokens(*generation) - generation->heldTokens;
    while (this->usedTokens + additional > this->options.memoryTokens) {
        if (this->dropSuspendedMemory())
            continue;
        assert(this->running.size() > 1);
        Generation &victim = this->lowestPriorityRunning();
        additional -= neededTokens(victim) - victim.heldTokens;
        this->preempt(victim, now);
    }
    for (Generation *generation : this->running)
        this->setHeldTokens(*generation, neededTokens(*generation));
}

void EngineModel::admitWaiting()
{
    while (!this->waiting.empty() && this->running.size() < this->options.slots) {
        const auto first = this->waiting.begin();
        Generation &generation = this->generations.at(first->second);
        // A resumed generation may still hold memory, which must not be freed to admit that
        // generation.
        const bool heldMemoryWhileSuspended =
                this->suspendedHoldingMemory.erase(waitingKey(generation)) > 0;
        if (!this->freeMemoryForAdmission(neededTokens(generation) - generation.heldTokens)) {
            if (heldMemoryWhileSuspended)
                this->suspendedHoldingMemory.insert(waitingKey(generation));
            return;
        }
        this->waiting.erase(first);
        const bool isRecomputed = generation.heldTokens == 0;
        this->setHeldTokens(generation, neededTokens(generation));
        if (isRecomputed) {
            const std::uint32_t cached =
                    this->cache.lookUp(generation.request.prefixDigest, generation.request.prompt);
            generation.prefillRemaining = generation.promptTokens + generation.produced - cached;
        }
        generation.phase = GenerationPhase::Running;
        this->running.push_back(&generation);
    }
}

bool EngineModel::freeMemoryForAdmission(std::uint32_t tokens)
{
    const std::uint32_t reserve =
            this->running.empty() ? 0 : this->options.memoryTokens / admissionReserveDivisor;
    while (this->usedTokens + tokens + reserve > this->options.memoryTokens) {
        if (!this->dropSuspendedMemory())
            return false;
    }
    return true;
}

std::uint32_t EngineModel::assignPrefill()
{
    std::uint32_t budget = this->options.fixedStep.count() > 0
            ? std::numeric_limits<std::uint32_t>::max()
            : this->options.prefillTokensPerStep;
    std::uint32_t assigned = 0;
    for (Generation *generation : this->running) {
        const std::uint32_t share = std::min(generation->prefillRemaining, budget);
        generation->prefillRemaining -= share;
        budget -= share;
        assigned += share;
    }
    return assigned;
}

ModelTime EngineModel::stepTime(std::uint32_t prefilledTokens) const
{
    double microseconds = static_cast<double>(this->options.fixedStep.count());
    if (this->options.fixedStep.count() == 0) {
        const auto others = static_cast<double>(this->running.size() - 1);
        const double fullOthers = std::max(1.0, static_cast<double>(this->options.slots) - 1.0);
        const auto growth =
                static_cast<double>((this->options.fullStep - this->options.unloadedStep).count());
        microseconds = static_cast<double>(this->options.unloadedStep.count())
                + growth * others / fullOthers
                + static_cast<double>(this->options.prefillPerThousand.count()) * prefilledTokens
                        / prefillTimeUnitTokens;
    }
    return ModelTime(
            std::max<std::int64_t>(1, static_cast<std::int64_t>(microseconds * this->slowdown)));
}

bool EngineModel::dropSuspendedMemory()
{
    if (this->suspendedHoldingMemory.empty())
        return false;
    const auto last = std::prev(this->suspendedHoldingMemory.end());
    this->setHeldTokens(this->generations.at(last->second), 0);
    this->suspendedHoldingMemory.erase(last);
    return true;
}

void EngineModel::preempt(Generation &victim, ModelTime now)
{
    this->leaveBatch(victim);
    this->setHeldTokens(victim, 0);
    victim.phase = GenerationPhase::Waiting;
    if (!victim.preemptedAt)
        victim.preemptedAt = now;
    this->waiting.insert(waitingKey(victim));
    ++this->preemptions;
}

EngineModel::Generation &EngineModel::lowestPriorityRunning()
{
    return **std::max_element(this->running.begin(), this->running.end(),
                              [](const Generation *left, const Generation *right) {
                                  return waitingKey(*left) < waitingKey(*right);
                              });
}

void EngineModel::setHeldTokens(Generation &generation, std::uint32_t tokens)
{
    this->usedTokens += tokens;
    this->usedTokens -= generation.heldTokens;
    generation.heldTokens = tokens;
    assert(this->usedTokens <= this->options.memoryTokens);
}

void EngineModel::leaveBatch(Generation &generation)
{
    std::erase(this->running, &generation);
    this->waiting.erase(waitingKey(generation));
}

void EngineModel::recordLoad(ModelTime now)
{
    if (!this->history.empty() && now - this->history.back().at < loadRecordInterval)
        return;
    EngineLoad load = this->currentLoad();
    load.at = now;
    this->history.push_back(load);
    while (this->history.size() > 2 && this->history[1].at + this->options.reportLag <= now)
        this->history.pop_front();
}

} // namespace sassafrasyard
