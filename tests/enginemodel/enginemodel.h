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

/** How long outputs are. */
enum class OutputLength {
    /** max_tokens, or a default if it is 0. */
    Maximum,
    /** A heavy-tailed length that the caller does not know, capped by max_tokens. */
    Tail,
};

/** The size and the pace of an engine. */
struct EngineModelOptions
{
    /** How many generations run in one batch. */
    std::uint32_t slots = 16;
    /** Memory for prompts and outputs of running generations, in tokens. */
    std::uint32_t memoryTokens = 65536;
    /** Memory of the prefix cache, in tokens. */
    std::uint32_t cacheTokens = 16384;
    /** A step's time with one generation. */
    ModelTime unloadedStep{20000};
    /** A step's time with a full batch, without prefill. */
    ModelTime fullStep{30000};
    /** A step's additional time per 1,000 prefilled tokens. */
    ModelTime prefillPerThousand{20000};
    /** The most prompt tokens prefilled in one step. */
    std::uint32_t prefillTokensPerStep = 512;
    /** If not 0, every step takes this time and prefill is free. */
    ModelTime fixedStep{0};
    /** How old load reports and cache events are when they become visible. */
    ModelTime reportLag{1000000};
    /** The share of cache events that are lost, from 0 to 1. */
    double cacheEventLossShare = 0.02;
    /** How long outputs are. */
    OutputLength outputLength = OutputLength::Maximum;
    /** Decides which cache events are lost. */
    std::uint64_t seed = 0;
};

/** What the engine is asked to generate. */
struct EngineRequest
{
    /** The prompt. */
    std::string prompt;
    /** The digest of its leading part, for the prefix cache. */
    std::uint64_t prefixDigest = 0;
    /** The limit on the output in tokens; 0 for none. */
    std::uint32_t maximumTokens = 0;
    /** The sampling seed. */
    std::uint64_t seed = 0;
    /** A higher value is admitted earlier and preempted later. */
    int priority = 0;
};

/** What a generation is doing. */
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
    /** The generation. */
    std::uint64_t generation = 0;
    /** The token's index. */
    std::uint32_t index = 0;
};

/** An engine's load at one moment. */
struct EngineLoad
{
    /** When it was measured. */
    ModelTime at{0};
    /** Generations in the batch. */
    std::uint32_t running = 0;
    /** Generations that wait for the batch. */
    std::uint32_t waiting = 0;
    /** Memory held, in tokens. */
    std::uint32_t memoryUsedTokens = 0;
    /** Smoothed time of a step. */
    ModelTime tokenInterval{0};
    /** Preemptions since the start. */
    std::uint64_t preemptions = 0;
    /** Time from a preemption to the generation's next token, summed. */
    ModelTime stallTime{0};
};

/**
 * A crowded model engine in virtual time: continuous batching, limited memory that grows in decode,
 * preemption with recomputation, prefix cache, priorities and late reports.
 *
 * Waiting generations are admitted by priority, then by age. A waiting generation never displaces a
 * running one; preemption happens only when the memory for the next tokens is missing. It has no
 * clock and no thread: the same calls give the same results. Time must not go back.
 */
class EngineModel
{
public:
    /** Creates an idle engine. */
    explicit EngineModel(EngineModelOptions options);
    EngineModel(const EngineModel &) = delete;
    EngineModel &operator=(const EngineModel &) = delete;

    /** Adds a generation. @return its number, or nothing if its prompt exceeds the memory. */
    std::optional<std::uint64_t> submit(const EngineRequest &request, ModelTime now);
    /** Takes a generation off the batch; its memory is kept until it is needed. */
    void suspend(std::uint64_t generation, ModelTime now);
    /** Lets a suspended generation wait for the batch again. */
    void resume(std::uint64_t generation, ModelTime now);
    /** Ends a generation. */
    void cancel(std::uint64_t generation, ModelTime now);
    /** Removes a generation that is cancelled or finished. */
    void forget(std::uint64_t generation);
    /** Multiplies the time of the steps that begin from now on. @param factor above 0. */
    void setSlowdown(double factor);

    /** Runs all steps that end up to the given time. */
    void advance(ModelTime now);
    /** Returns when the current step ends, or nothing if the engine is idle. */
    std::optional<ModelTime> stepEnd() const;
    /** Returns the tokens produced since the last call, in order. */
    std::vector<ProducedToken> takeTokens();

    /** Returns what a generation is doing, or nothing if it is not known. */
    std::optional<GenerationPhase> phase(std::uint64_t generation) const;
    /** Returns how many tokens a generation has produced; 0 if it is not known. */
    std::uint32_t producedTokens(std::uint64_t generation) const;
    /** Returns how long a generation will be, which callers must not learn; 0 if not known. */
    std::uint32_t outputTokens(std::uint64_t generation) const;

    /** Returns the memory in all, in tokens. */
    std::uint32_t memoryTokens() const;
    /** Returns the load as it is. */
    EngineLoad currentLoad() const;
    /** Returns the load as the engine reports it: late by the report lag. */
    EngineLoad reportedLoad(ModelTime now) const;
    /** Returns the visible cache events after a number: late, with gaps. */
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
    /** Negative priority and number: the first in order goes first. */
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
