#pragma once

#include "runtime/actors/actorruntime.h"

#include <functional>
#include <memory>

namespace sassafrasyard {

/** A CAF actor that runs closures one after another, in the order in which they were posted. */
class SerialActor
{
public:
    /** Spawns the actor. @param runtime must outlive this object. */
    explicit SerialActor(ActorRuntime &runtime);
    /** Ends the actor after the closures already posted. */
    ~SerialActor();
    SerialActor(const SerialActor &) = delete;
    SerialActor &operator=(const SerialActor &) = delete;

    /** Queues a closure; may be called from any thread. The closure must not throw. */
    void post(std::function<void()> job);

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace sassafrasyard
