#include "runtime/actors/serialactor.h"

#include "observability/observability.h"

#include <caf/actor_system.hpp>
#include <caf/allowed_unsafe_message_type.hpp>
#include <caf/event_based_actor.hpp>
#include <caf/scoped_actor.hpp>
#include <caf/send.hpp>

#include <exception>
#include <string>

namespace sassafrasyard {

namespace {

struct Job
{
    std::function<void()> run;
};

struct Stop
{
};

/** Logs exceptions of a closure; an uncaught one would end the actor and orphan its state. */
void runGuarded(const Job &job)
{
    try {
        job.run();
    } catch (const std::exception &exception) {
        logEvent(LogEvent::UnexpectedError, "where", std::string("state owner"), "detail",
                 std::string(exception.what()));
    }
}

} // namespace

} // namespace sassafrasyard

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(sassafrasyard::Job)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(sassafrasyard::Stop)

namespace sassafrasyard {

struct SerialActor::Implementation
{
    caf::actor_system *system = nullptr;
    caf::actor actor;
};

SerialActor::SerialActor(ActorRuntime &runtime)
    : implementation(std::make_unique<Implementation>())
{
    this->implementation->system = &runtime.actorSystem();
    this->implementation->actor = runtime.actorSystem().spawn([](caf::event_based_actor *self) {
        return caf::behavior{
                [](const Job &job) { runGuarded(job); },
                [self](Stop) { self->quit(); },
        };
    });
}

SerialActor::~SerialActor()
{
    // Waits for the posted closures, because they refer to state that is destroyed after the actor.
    caf::anon_send(this->implementation->actor, Stop{});
    caf::scoped_actor self(*this->implementation->system);
    self->wait_for(this->implementation->actor);
}

void SerialActor::post(std::function<void()> job)
{
    caf::anon_send(this->implementation->actor, Job{std::move(job)});
}

} // namespace sassafrasyard
