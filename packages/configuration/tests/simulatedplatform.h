#pragma once

#include "configuration/configuration.h"

#include <map>
#include <string>
#include <vector>

namespace sassafrasyard {

/** An in-memory simulation of the platform's object API: stale reads, lost replies, delayed writes
 * and outages. */
class SimulatedPlatform
{
public:
    explicit SimulatedPlatform(std::uint64_t seed)
        : random(seed)
    {
    }

    bool hasFaults = true;
    bool isDown = false;
    /** All heads that were stored, in order. */
    std::vector<std::string> storedHeads;

    /** Executes a step with random faults. */
    StepResult executeStep(const AcceptanceStep &step)
    {
        if (this->hasFaults && this->random.below(8) == 0)
            this->applyDelayedWrites();
        if (std::holds_alternative<ReadHeadStep>(step))
            return this->read(std::string(headObjectName), true);
        if (const auto *object = std::get_if<ReadObjectStep>(&step))
            return this->read(object->name, false);
        if (const auto *create = std::get_if<CreateObjectStep>(&step))
            return this->write({create->name, create->value, 0});
        const auto &update = std::get<UpdateHeadStep>(step);
        return this->write({std::string(headObjectName), update.value, update.version});
    }

    StepResult read(const std::string &name, bool mayBeStale)
    {
        if (this->isDown)
            return failure(ErrorCode::PlatformUnavailable, RunState::NotRun);
        const auto object = this->objects.find(name);
        if (object == this->objects.end())
            return failure(ErrorCode::NotFound, RunState::NotRun);
        std::size_t index = object->second.size() - 1;
        if (mayBeStale && this->hasFaults && this->random.below(4) == 0)
            index = this->random.below(object->second.size());
        StepResult result;
        result.value = object->second[index].value;
        result.version = object->second[index].version;
        return result;
    }

    /** Applies the writes whose replies timed out, in any order. */
    void applyDelayedWrites()
    {
        while (!this->delayedWrites.empty()) {
            const std::size_t index = this->random.below(this->delayedWrites.size());
            const Write write = this->delayedWrites[index];
            this->delayedWrites.erase(this->delayedWrites.begin()
                                      + static_cast<std::ptrdiff_t>(index));
            this->apply(write);
        }
    }

    RandomSource random;

private:
    struct Write
    {
        std::string name;
        std::string value;
        std::uint64_t version;
    };

    struct StoredVersion
    {
        std::uint64_t version;
        std::string value;
    };

    static StepResult failure(ErrorCode code, RunState state)
    {
        StepResult result;
        result.failure = Error{code, state, "simulated fault", {}};
        return result;
    }

    StepResult write(const Write &write)
    {
        if (this->isDown)
            return failure(ErrorCode::PlatformOutcomeUnknown, RunState::OutcomeUnknown);
        const std::uint64_t fault = this->hasFaults ? this->random.below(6) : 6;
        if (fault == 0) {
            this->delayedWrites.push_back(write);
            return failure(ErrorCode::PlatformOutcomeUnknown, RunState::OutcomeUnknown);
        }
        const bool isApplied = this->apply(write);
        if (fault == 1)
            return failure(ErrorCode::PlatformOutcomeUnknown, RunState::OutcomeUnknown);
        if (!isApplied)
            return failure(ErrorCode::Conflict, RunState::NotRun);
        StepResult result;
        result.version = this->lastVersion;
        return result;
    }

    bool apply(const Write &write)
    {
        auto &versions = this->objects[write.name];
        const std::uint64_t version = versions.empty() ? 0 : versions.back().version;
        if (version != write.version) {
            if (versions.empty())
                this->objects.erase(write.name);
            return false;
        }
        versions.push_back({++this->lastVersion, write.value});
        if (write.name == headObjectName)
            this->storedHeads.push_back(write.value);
        return true;
    }

    std::map<std::string, std::vector<StoredVersion>> objects;
    std::vector<Write> delayedWrites;
    std::uint64_t lastVersion = 0;
};

} // namespace sassafrasyard
