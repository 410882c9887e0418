#pragma once

#include "enginemodel/modeltime.h"
#include "enginemodel/prefixcache.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sassafrasyard {

/** How the output length of a generation is chosen. */
enum class OutputLength {
    /** max_tokens, or a default if it is 0. */
    Maximum,
    /** A heavy-tailed length unknown to the caller, limited by max_tokens. */
    Tail,
};

/** The size and speed of an engine. */
struct EngineModelOptions
{
    /** The maximum number of generations in a batch. */
    std::uint32_t slots = 16;
    /** Memory for prompts and outputs of running generations, in tokens. */
    std::uint32_t memoryTokens = 65536;
    /** Memory of the prefix cache, in tokens. */
    std::uint32_t cacheTokens = 16384;
    /** The duration of a step with one generation, without prefill. */
    ModelTime unloadedStep{20000};
    /** The duration of a step with a full batch, without prefill. */
    ModelTime fullStep{30000};
    /** The additional duration of a step per 1,000 prefilled tokens. */
    ModelTime prefillPerThousand{20000};
    /** The maximum number of prompt tokens prefilled in one step. */
    std::uint32_t prefillTokensPerStep = 512;
    /** If not 0, the duration of every step; prefill then takes no time. */
    ModelTime fixedStep{0};
    /** The delay before load reports and cache events become visible. */
    ModelTime reportLag{1000000};
    /** The share of cache events that are lost, from 0 to 1. */
    double cacheEventLossShare = 0.02;
    /** How the output length is chosen. */
    OutputLength outputLength = OutputLength::Maximum;
    /** Determines which cache events are lost. */
    std::uint64_t seed = 0;
};

/** A request for a generation. */
struct EngineRequest
{
    /** The prompt. */
    std::string prompt;
    /** The digest of the prompt's leading characters, for the prefix cache. */
    std::uint64_t prefixDigest = 0;
    /** The limit on the output in tokens; 0 for none. */
    std::uint32_t maximumTokens = 0;
    /** The sampling seed. */
    std::uint64_t seed = 0;
    /** Requests with a higher value are admitted earlier and preempted later. */
    int priority = 0;
};

/** The state of a generation. */
enum class GenerationPhase {
    Waiting,
    Running,
    Suspended,
    Finished,
    Cancelled,
};

/** A token that the engine produced. */
struct ProducedToken
{
    /** The generation's number. */
    std::uint64_t generation = 0;
    /** The token's index. */
    std::uint32_t index = 0;
};

/** An engine's load at a point in time. */
struct EngineLoad
{
    /** When it was measured. */
    ModelTime at{0};
    /** Generations in the batch. */
    std::uint32_t running = 0;
    /** Generations that wait to be admitted to the batch. */
    std::uint32_t waiting = 0;
    /** Memory held, in tokens. */
    std::uint32_t memoryUsedTokens = 0;
    /** Smoothed duration of a step. */
    ModelTime tokenInterval{0};
    /** Preemptions since the start. */
    std::uint64_t preemptions = 0;
    /** The total time from a preemption to the generation's next token, over all preemptions. */
    ModelTime stallTime{0};
};

/**
 * Simulates a model engine under load in virtual time: continuous batching, limited memory that
 * fills during decode, preemption with recomputation, prefix cache, priorities and late reports.
 *
 * Waiting generations are admitted by priority, then by age. A waiting generation never preempts a
 * running one; preemption happens only when there is no memory for the next tokens. The model has
 * no clock and no thread, so equal calls give equal results. The time must never decrease.
 */
class EngineModel
{
public:
    /** Creates an idle engine. */
    explicit EngineModel(EngineModelOptions options);
    EngineModel(const EngineModel &) = delete;
    EngineModel &operator=(const EngineModel &) = delete;

    /** Adds a generation. @return its number, or nothing if its prompt does not fit the memory. */
    std::optional<std::uint64_t> submit(const EngineRequest &request, ModelTime now);
    /** Removes a generation from the batch; it keeps its memory until another one needs it. */
    void suspend(std::uint64_t generation, ModelTime now);
    /** Makes a suspended generation wait for admission again. */
    void resume(std::uint64_t generation, ModelTime now);
    /** Cancels a generation and frees its memory; a finished one stays finished. */
    void cancel(std::uint64_t generation, ModelTime now);
    /** Removes a generation, which must be cancelled or finished. */
    void forget(std::uint64_t generation);
    /** Multiplies the duration of all later steps. @param factor must be above 0. */
    void setSlowdown(double factor);

    /** Executes all steps that end at or before the given time. */
    void advance(ModelTime now);
    /** Returns when the current step ends, or nothing if the engine is idle. */
    std::optional<ModelTime> stepEnd() const;
    /** Returns the tokens produced since the last call, in order. */
    std::vector<ProducedToken> takeTokens();

    /** Returns the state of a generation, or nothing if it is unknown. */
    std::optional<GenerationPhase> phase(std::uint64_t generation) const;
    /** Returns how many tokens a generation has produced; 0 if it is unknown. */
    std::uint32_t producedTokens(std::uint64_t generation) const;
    /** Returns the final length in tokens, which callers must not be shown; 0 if it is unknown. */
    std::uint32_t outputTokens(std::uint64_t generation) const;

    /** Returns the total memory in tokens. */
    std::uint32_t memoryTokens() const;
    /** Returns the current load. */
    EngineLoad currentLoad() const;
    /** Returns the reported load: the latest record that is at least as old as the report lag. */
    EngineLoad reportedLoad(ModelTime now) const;
    /** Returns the visible cache events after a number: delayed by the report lag, with gaps. */
    std::vector<PrefixCacheEvent> cacheEvents(std::uint64_t after, ModelTime now) const;
    /** Returns whether a step with a prompt that contains "CRASH" has run. */
    bool hasCrashed() const;

private:
    struct Generation
    {
        std::uint64_t number = 0;
        EngineRequest request;
        std::uint32_t promptTokens = 0;
        std::uint32_t length = 0;
        std::uint32_t produced = 0;
        std::uint32_t heldTokens = 0;
        std::uint32_t prefillRemaining = 0;
        bool isCrashing = false;
        GenerationPhase phase = GenerationPhase::Waiting;
        std::optional<ModelTime> preemptedAt;
    };
    /** The negated priority and the number: the smallest key is admitted first. */
    using WaitingKey = std::pair<int, std::uint64_t>;

    static WaitingKey waitingKey(const Generation &generation);
    static std::uint32_t neededTokens(const Generation &generation);
    Generation *find(std::uint64_t generation);
    const Generation *find(std::uint64_t generation) const;
    void beginStepIfIdle(ModelTime now);
    void beginStep(ModelTime now);
    void finishStep(ModelTime now);
    void produce(Generation &generation, ModelTime now);
    void reserveDecodeMemory(ModelTime now);
    void admitWaiting();
    bool freeMemoryForAdmission(std::uint32_t tokens);
    std::uint32_t assignPrefill();
    ModelTime stepTime(std::uint32_t prefilledTokens) const;
    bool dropSuspendedMemory();
    void preempt(Generation &victim, ModelTime now);
    Generation &lowestPriorityRunning();
    void setHeldTokens(Generation &generation, std::uint32_t tokens);
    void leaveBatch(Generation &generation);
    void recordLoad(ModelTime now);

    EngineModelOptions options;
    PrefixCache cache;
    std::map<std::uint64_t, Generation> generations;
    std::vector<Generation *> running;
    std::set<WaitingKey> waiting;
    std::set<WaitingKey> suspendedHoldingMemory;
    std::uint64_t generationCount = 0;
    std::uint32_t usedTokens = 0;
    double slowdown = 1.0;
    std::optional<ModelTime> currentStepEnd;
    ModelTime currentStepTime{0};
    ModelTime smoothedStep{0};
    std::uint64_t preemptions = 0;
    ModelTime stallTime{0};
    bool crashed = false;
    std::vector<ProducedToken> tokens;
    std::deque<EngineLoad> history;
};

} // namespace sassafrasyard
