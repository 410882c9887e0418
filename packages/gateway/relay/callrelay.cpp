#include "gateway/relay/callrelay.h"

#include "gateway/calls/hopheaders.h"
#include "gateway/relay/callmetrics.h"
#include "gateway/relay/callplacement.h"
#include "gateway/relay/peerrelay.h"

#include <algorithm>
#include <string>
#include <utility>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

/** An idempotent call moves to another server after this multiple of the target latency. */
constexpr int answerTimeoutInTargets = 2;

WorkOutcome toWorkOutcome(AttemptOutcome outcome)
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

CallRelay::CallRelay(GatewayDependencies &dependencies, RoutedCall &call)
    : dependencies(dependencies)
    , call(call)
{
}

net::awaitable<std::optional<HttpResponse>> CallRelay::run()
{
    bool mayContinue = true;
    while (mayContinue) {
        const auto grant = co_await this->place();
        if (!grant)
            break;
        AttemptResult result = co_await this->attempt(*grant);
        this->dependencies.dispatch.reportFinished(grant->assignment.request,
                                                   toWorkOutcome(result.outcome));
        this->history.record(result.outcome);
        this->avoided.push_back(grant->server.name);
        if (result.outcome != AttemptOutcome::Answered) {
            this->failure = result.failure;
            recordFailedAttempt(this->dependencies.entry.metrics, this->call, grant->server.name,
                                result.outcome, result.failure);
        }
        mayContinue = this->mayTryNextServer(result);
        if (result.outcome == AttemptOutcome::Answered)
            this->answer = std::move(result.response);
    }
    co_return std::move(this->answer);
}

const AttemptHistory &CallRelay::attempts() const
{
    return this->history;
}

const Error &CallRelay::lastFailure() const
{
    return this->failure;
}

HttpResponse CallRelay::refuse()
{
    const Error error = finalError(this->history, this->failure);
    recordRefusal(this->dependencies.entry.metrics, this->call, error);
    return this->dependencies.codec.formatError(error);
}

net::awaitable<std::optional<Grant>> CallRelay::place()
{
    WorkRequest work = this->call.work;
    work.avoided = this->avoided;
    const std::size_t attempts = this->avoided.size();
    if (attempts > 0)
        work.name = RequestName(work.name.toString() + "/" + std::to_string(attempts));
    Error refusal;
    auto grant = co_await placeCall(this->dependencies, this->call, std::move(work), refusal);
    // If the call has not run, the latest refusal has the most accurate time to retry.
    if (!grant && this->history.mayHaveRun == 0)
        this->failure = refusal;
    co_return grant;
}

net::awaitable<AttemptResult> CallRelay::attempt(const Grant &grant)
{
    const Milliseconds now = this->dependencies.clock.now();
    ForwardingOrder order;
    order.server = grant.server.name;
    order.remainingTime = this->call.timeLeft(now);
    order.account = this->call.work.account;
    order.lastEvent = this->call.metadata.lastEvent;
    BackendAttempt backend(this->dependencies, this->call);
    const Milliseconds timeout = this->answerTimeout(now);
    AttemptResult result = co_await backend.start(grant.server.address, order, timeout);
    if (result.outcome != AttemptOutcome::Answered)
        co_return result;
    const Milliseconds rest =
            std::max(Milliseconds(1), timeout - (this->dependencies.clock.now() - now));
    auto body = co_await backend.readAll(rest, result.failure);
    if (!body) {
        // An incomplete response is not passed on, although the call has run.
        result.outcome = AttemptOutcome::Unknown;
        co_return result;
    }
    backend.release();
    result.response.headers = withoutHopFields(result.response.headers);
    result.response.body = std::move(*body);
    co_return result;
}

/** Limits the wait of an idempotent call so that time remains for another server. */
Milliseconds CallRelay::answerTimeout(Milliseconds now) const
{
    const Milliseconds left = std::max(Milliseconds(1), this->call.timeLeft(now));
    const Route &route = *this->call.route;
    const bool mayTryAnother = route.kind == CallKind::Idempotent
            && this->history.mayHaveRun + 1 < route.maximumAttempts;
    return mayTryAnother ? std::min(left, answerTimeoutInTargets * route.targetLatency) : left;
}

bool CallRelay::mayTryNextServer(const AttemptResult &last)
{
    const Milliseconds now = this->dependencies.clock.now();
    // A peer may reach the service; another attempt from here would only take time.
    if (last.outcome == AttemptOutcome::NotSent
        && mayReachThroughPeer(this->dependencies, this->call))
        return false;
    if (this->call.isCallerGone || this->call.timeLeft(now) <= Milliseconds(0)
        || !mayRetry(*this->call.route, this->history, last.outcome, last.response.status)) {
        return false;
    }
    // An attempt that never reached a server does not count against the retry budget.
    return last.outcome == AttemptOutcome::NotSent
            || this->dependencies.budget.tryRetry(this->call.service->name, now);
}

} // namespace sassafrasyard
