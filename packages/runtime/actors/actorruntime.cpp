#include "runtime/actors/actorruntime.h"

#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>

#include <cassert>

namespace sassafrasyard {

struct ActorRuntime::Implementation
{
    explicit Implementation(std::size_t threads)
        : system(configure(this->configuration, threads))
    {
    }

    static caf::actor_system_config &configure(caf::actor_system_config &configuration,
                                               std::size_t threads)
    {
        configuration.set("scheduler.max-threads", threads);
        // The work-stealing policy polls between messages, which alone uses more than the budget of
        // 4 % of a core for control traffic.
        configuration.set("scheduler.policy", caf::atom("sharing"));
        return configuration;
    }

    caf::actor_system_config configuration;
    caf::actor_system system;
};

ActorRuntime::ActorRuntime(std::size_t threads)
    : implementation(std::make_unique<Implementation>(threads))
{
    assert(threads > 0);
}

ActorRuntime::~ActorRuntime() = default;

caf::actor_system &ActorRuntime::actorSystem()
{
    return this->implementation->system;
}

} // namespace sassafrasyard
