#pragma once

#include "runtime/actors/actorruntime.h"

#include <functional>
#include <memory>

namespace sassafrasyard {

/** A CAF actor that runs closures sequentially, in the order in which they were posted. */
class SerialActor
{
public:
    /** Spawns the actor. @param runtime must outlive this object. */
    explicit SerialActor(ActorRuntime &runtime);
    /** Runs the closures already posted, then ends the actor; blocks until it has ended. */
    ~SerialActor();
    SerialActor(const SerialActor &) = delete;
    SerialActor &operator=(const SerialActor &) = delete;

    /** Queues a closure; thread-safe. It must not throw; a std::exception is logged and dropped. */
    void post(std::function<void()> job);

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace sassafrasyard
