#pragma once

#include "runtime/actors/serialactor.h"

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <functional>
#include <memory>
#include <utility>

namespace sassafrasyard {

/**
 * An actor that owns one object of type State. Only closures that run in the actor touch the
 * object.
 */
template <typename State>
class StateOwner
{
public:
    /** Spawns the owner. @param arguments are passed to the constructor of State. */
    template <typename... Arguments>
    explicit StateOwner(ActorRuntime &runtime, Arguments &&...arguments)
        : state(std::make_unique<State>(std::forward<Arguments>(arguments)...))
        , actor(runtime)
    {
    }

    /** Queues a closure over the state and returns without waiting. Thread-safe. */
    void post(std::function<void(State &)> job)
    {
        this->actor.post([state = this->state.get(), job = std::move(job)] { job(*state); });
    }

    /** Runs a closure over the state and returns its result to the awaiting coroutine. */
    template <typename Result>
    boost::asio::awaitable<Result> ask(std::function<Result(State &)> job)
    {
        auto token = boost::asio::use_awaitable;
        return boost::asio::async_initiate<decltype(token), void(Result)>(
                [this, job = std::move(job)](auto handler) mutable {
                    using Handler = decltype(handler);
                    auto shared = std::make_shared<Handler>(std::move(handler));
                    auto executor = boost::asio::get_associated_executor(*shared);
                    auto guard = boost::asio::make_work_guard(executor);
                    this->post([shared, executor, guard, job = std::move(job)](State &owned) {
                        auto result = std::make_shared<Result>(job(owned));
                        boost::asio::post(executor, [shared, result] {
                            std::move (*shared)(std::move(*result));
                        });
                    });
                },
                token);
    }

private:
    std::unique_ptr<State> state;
    SerialActor actor;
};

} // namespace sassafrasyard
