#include "gateway/relay/stoprecord.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace sassafrasyard {

namespace net = boost::asio;

std::string_view toString(StopEffect effect)
{
    switch (effect) {
    case StopEffect::None:
        return "none";
    case StopEffect::Pending:
        return "pending";
    case StopEffect::Stopped:
        return "stopped";
    case StopEffect::Absent:
        return "absent";
    case StopEffect::Declined:
        return "declined";
    case StopEffect::Unknown:
        return "unknown";
    }
    return "unknown";
}

StopRecord::StopRecord(const net::any_io_executor &executor, BackendServerName server)
    : engine(std::move(server))
    , answerTimer(executor, net::steady_timer::time_point::min())
{
}

const BackendServerName &StopRecord::server() const
{
    return this->engine;
}

void StopRecord::recordRequest()
{
    ++this->pendingRequests;
    this->answerTimer.expires_at(net::steady_timer::time_point::max());
}

void StopRecord::recordAnswer(const RunStopResult &answer, bool isFromRun)
{
    --this->pendingRequests;
    const StopEffect effect = effectOf(answer, isFromRun);
    this->isAnswerLost = this->isAnswerLost || effect == StopEffect::Unknown;
    this->strongestEffect = std::max(this->strongestEffect, effect);
    if (!this->isPending())
        this->endWait();
}

/**
 * Returns the effect of one request. An answer from a process that was started later says nothing
 * of the run.
 */
StopEffect StopRecord::effectOf(const RunStopResult &answer, bool isFromRun)
{
    using State = RunStopResult::State;
    switch (answer.state) {
    case State::Stopped:
        if (answer.memory)
            return StopEffect::Stopped;
        return isFromRun ? StopEffect::Absent : StopEffect::Unknown;
    case State::Declined:
    case State::Busy:
        return isFromRun ? StopEffect::Declined : StopEffect::Unknown;
    case State::Unreachable:
    case State::Unanswered:
    case State::NotSent:
        return StopEffect::None;
    case State::Unknown:
        return StopEffect::Unknown;
    }
    return StopEffect::Unknown;
}

StopEffect StopRecord::effect() const
{
    return std::max(this->strongestEffect,
                    this->isPending() ? StopEffect::Pending : StopEffect::None);
}

bool StopRecord::isPending() const
{
    return this->pendingRequests > 0;
}

bool StopRecord::hasLostAnswer() const
{
    return this->isAnswerLost;
}

bool StopRecord::mayStillAct() const
{
    return this->isPending() || this->isAnswerLost;
}

net::awaitable<void> StopRecord::waitForAnswer()
{
    boost::system::error_code ignored;
    co_await this->answerTimer.async_wait(net::redirect_error(net::use_awaitable, ignored));
}

void StopRecord::endWait()
{
    // A changed expiry also ends a wait that starts later, which cancel() would not.
    this->answerTimer.expires_at(net::steady_timer::time_point::min());
}

} // namespace sassafrasyard
