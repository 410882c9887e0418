#pragma once

#include <cstddef>
#include <memory>

namespace caf {
class actor_system;
}

namespace sassafrasyard {

/** The process-wide CAF actor system. Must outlive every SerialActor made from it. */
class ActorRuntime
{
public:
    /** Starts the scheduler. @param threads the number of worker threads, at least 1. */
    explicit ActorRuntime(std::size_t threads);
    /** Waits for all actors to end. */
    ~ActorRuntime();
    ActorRuntime(const ActorRuntime &) = delete;
    ActorRuntime &operator=(const ActorRuntime &) = delete;

    /** Returns the CAF actor system, valid as long as this object. */
    caf::actor_system &actorSystem();

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace sassafrasyard
