#include "gateway/relay/callrelay.h"

#include "gateway/calls/hopheaders.h"
#include "gateway/relay/callmetrics.h"
#include "gateway/relay/callplacement.h"

#include <algorithm>
#include <string>
#include <utility>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

/** A server that is silent for this many times the target is slower than a second attempt. */
constexpr int silenceInTargets = 2;

WorkOutcome workOutcome(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Answered:
        return WorkOutcome::Completed;
    case AttemptOutcome::NotSent:
    case AttemptOutcome::RefusedBeforeRun:
        return WorkOutcome::RefusedByServer;
    case AttemptOutcome::Unknown:
        break;
    }
    return WorkOutcome::Failed;
}

} // namespace

CallRelay::CallRelay(GatewayServices &services, RoutedCall &call)
    : services(services)
    , call(call)
{
}

net::awaitable<HttpResponse> CallRelay::run()
{
    bool goesOn = true;
    while (goesOn) {
        const auto grant = co_await this->place();
        if (!grant)
            break;
        const AttemptResult result = co_await this->attempt(*grant);
        this->services.dispatch.reportFinished(grant->assignment.request,
                                               workOutcome(result.outcome));
        this->history.record(result.outcome);
        this->avoided.push_back(grant->server.name);
        if (result.outcome == AttemptOutcome::Answered)
            this->answer = result.response;
        else
            this->failure = result.failure;
        if (result.outcome != AttemptOutcome::Answered) {
            recordFailedAttempt(this->services.entry.metrics, this->call, grant->server.name,
                                result.outcome, result.failure);
        }
        goesOn = this->mayRepeat(result);
    }
    if (this->answer)
        co_return *this->answer;
    const Error error = finalError(this->history, this->failure);
    recordRefusal(this->services.entry.metrics, this->call, error);
    co_return this->services.codec.formatError(error);
}

net::awaitable<std::optional<Grant>> CallRelay::place()
{
    WorkRequest work = this->call.work;
    work.avoided = this->avoided;
    const std::size_t attempts = this->avoided.size();
    if (attempts > 0)
        work.name = RequestName(work.name.toString() + "/" + std::to_string(attempts));
    Error refusal;
    auto grant = co_await placeCall(this->services, this->call, std::move(work), refusal);
    // Of a call that has not run, the last refusal knows best when to come back.
    if (!grant && this->history.mayHaveRun == 0)
        this->failure = refusal;
    co_return grant;
}

net::awaitable<AttemptResult> CallRelay::attempt(const Grant &grant)
{
    const Milliseconds now = this->services.clock.now();
    ForwardingOrder order;
    order.server = grant.server.name;
    order.patience = this->call.timeLeft(now);
    order.account = this->call.work.account;
    order.lastEvent = this->call.metadata.lastEvent;
    BackendAttempt exchange(this->services, this->call);
    const Milliseconds timeout = this->answerTimeout(now);
    AttemptResult result = co_await exchange.start(grant.server.address, order, timeout);
    if (result.outcome != AttemptOutcome::Answered)
        co_return result;
    const Milliseconds rest =
            std::max(Milliseconds(1), timeout - (this->services.clock.now() - now));
    auto body = co_await exchange.readAll(rest, result.failure);
    if (!body) {
        // Part of an answer is no answer, though the call has run.
        result.outcome = AttemptOutcome::Unknown;
        co_return result;
    }
    exchange.release();
    result.response.headers = withoutHopFields(result.response.headers);
    result.response.body = std::move(*body);
    co_return result;
}

/** A call that may run twice does not wait for a silent server until it is too late for another. */
Milliseconds CallRelay::answerTimeout(Milliseconds now) const
{
    const Milliseconds left = std::max(Milliseconds(1), this->call.timeLeft(now));
    const Route &route = *this->call.route;
    const bool hasOther = route.kind == CallKind::Idempotent
            && this->history.mayHaveRun + 1 < route.maximumAttempts;
    return hasOther ? std::min(left, silenceInTargets * route.targetLatency) : left;
}

bool CallRelay::mayRepeat(const AttemptResult &last)
{
    const Milliseconds now = this->services.clock.now();
    if (this->call.isCallerGone || this->call.timeLeft(now) <= Milliseconds(0)
        || !mayTryAgain(*this->call.route, this->history, last.outcome, last.response.status)) {
        return false;
    }
    // What never reached a server is no repeat for it.
    return last.outcome == AttemptOutcome::NotSent
            || this->services.budget.tryRetry(this->call.service->name, now);
}

} // namespace sassafrasyard
