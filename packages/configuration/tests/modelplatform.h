#pragma once

#include "configuration/configuration.h"

#include <map>
#include <string>
#include <vector>

namespace sassafrasyard {

/** A pure model of the platform's object API with every fault that its clients must survive. */
class ModelPlatform
{
public:
    explicit ModelPlatform(std::uint64_t seed)
        : random(seed)
    {
    }

    bool hasFaults = true;
    bool isDown = false;
    /** Every head that was ever in force, in order. */
    std::vector<std::string> heads;

    /** Carries out a step with random faults. */
    StepAnswer carryOut(const AcceptanceStep &step)
    {
        if (this->hasFaults && this->random.below(8) == 0)
            this->applyDelayed();
        if (std::holds_alternative<ReadHeadStep>(step))
            return this->read(std::string(headObjectName), true);
        if (const auto *object = std::get_if<ReadObjectStep>(&step))
            return this->read(object->name, false);
        if (const auto *create = std::get_if<CreateObjectStep>(&step))
            return this->write({create->name, create->value, 0});
        const auto &update = std::get<UpdateHeadStep>(step);
        return this->write({std::string(headObjectName), update.value, update.version});
    }

    StepAnswer read(const std::string &name, bool mayBeStale)
    {
        if (this->isDown)
            return failed(ErrorCode::PlatformUnavailable, RunState::NotRun);
        const auto object = this->objects.find(name);
        if (object == this->objects.end())
            return failed(ErrorCode::NotFound, RunState::NotRun);
        std::size_t index = object->second.size() - 1;
        if (mayBeStale && this->hasFaults && this->random.below(4) == 0)
            index = this->random.below(object->second.size());
        StepAnswer answer;
        answer.value = object->second[index].value;
        answer.version = object->second[index].version;
        return answer;
    }

    /** Applies the writes whose replies timed out, in any order. */
    void applyDelayed()
    {
        while (!this->delayed.empty()) {
            const std::size_t index = this->random.below(this->delayed.size());
            const Write write = this->delayed[index];
            this->delayed.erase(this->delayed.begin() + static_cast<std::ptrdiff_t>(index));
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

    struct Stored
    {
        std::uint64_t version;
        std::string value;
    };

    static StepAnswer failed(ErrorCode code, RunState state)
    {
        StepAnswer answer;
        answer.failure = Error{code, state, "model fault", {}};
        return answer;
    }

    StepAnswer write(const Write &write)
    {
        if (this->isDown)
            return failed(ErrorCode::PlatformOutcomeUnknown, RunState::OutcomeUnknown);
        const std::uint64_t fault = this->hasFaults ? this->random.below(6) : 6;
        if (fault == 0) {
            this->delayed.push_back(write);
            return failed(ErrorCode::PlatformOutcomeUnknown, RunState::OutcomeUnknown);
        }
        const bool isApplied = this->apply(write);
        if (fault == 1)
            return failed(ErrorCode::PlatformOutcomeUnknown, RunState::OutcomeUnknown);
        if (!isApplied)
            return failed(ErrorCode::Conflict, RunState::NotRun);
        StepAnswer answer;
        answer.version = this->lastVersion;
        return answer;
    }

    bool apply(const Write &write)
    {
        auto &stored = this->objects[write.name];
        const std::uint64_t version = stored.empty() ? 0 : stored.back().version;
        if (version != write.version) {
            if (stored.empty())
                this->objects.erase(write.name);
            return false;
        }
        stored.push_back({++this->lastVersion, write.value});
        if (write.name == headObjectName)
            this->heads.push_back(write.value);
        return true;
    }

    std::map<std::string, std::vector<Stored>> objects;
    std::vector<Write> delayed;
    std::uint64_t lastVersion = 0;
};

} // namespace sassafrasyard
