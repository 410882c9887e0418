#include "entry/dispatch/dispatchservice.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

constexpr Milliseconds advanceInterval{10};

using DecisionCallback = std::function<void(const Decision &)>;

PlacementPolicy placementFor(const Settings &settings, std::uint64_t seed)
{
    if (settings.placement == "round-robin")
        return roundRobinPlacement();
    if (settings.placement == "least-outstanding")
        return leastOutstandingPlacement();
    if (settings.placement == "prompt-queue")
        return promptQueuePlacement(seed);
    return estimatedLoadPlacement(seed);
}

DispatcherOptions dispatcherOptionsFor(const EntryState &entry, bool maySuspend)
{
    DispatcherOptions options;
    options.allowsSuspension = maySuspend;
    options.host = entry.settings.host;
    options.failureDomain = entry.settings.failureDomain;
    options.seed = std::hash<HostIncarnation>()(entry.incarnation);
    options.placement = placementFor(entry.settings, options.seed);
    return options;
}

Error toError(const Refusal &refusal)
{
    return {refusal.reason, RunState::NotRun, "the request was refused before it ran",
            refusal.retryAfter};
}

/** Awaits one decision, which a function in the actor passes to a callback. */
template <typename Start>
net::awaitable<Decision> awaitDecision(Start start)
{
    auto token = net::use_awaitable;
    return net::async_initiate<decltype(token), void(Decision)>(
            [start = std::move(start)](auto handler) mutable {
                using Handler = decltype(handler);
                auto shared = std::make_shared<Handler>(std::move(handler));
                auto executor = net::get_associated_executor(*shared);
                auto guard = net::make_work_guard(executor);
                start([shared, executor, guard](const Decision &decision) {
                    net::post(executor, [shared, decision] { std::move (*shared)(decision); });
                });
            },
            token);
}

} // namespace

/** The state that the actor owns; accessed only in the actor. */
struct DispatchService::State
{
    State(EntryState &entry, bool maySuspend)
        : entry(entry)
        , dispatcher(dispatcherOptionsFor(entry, maySuspend))
    {
        this->dispatcher.setQuarantineHook([this](const CrashQuarantine::RefusalNotice &notice) {
            const bool isPart = isPartDigest(notice.requestDigest);
            logEvent(isPart ? LogEvent::PromptPartQuarantined : LogEvent::RequestQuarantined,
                     isPart ? "part" : "digest", digestText(notice.requestDigest), "deaths",
                     std::to_string(notice.deaths), "own", std::string(notice.isOwn ? "1" : "0"));
            this->entry.metrics.count(isPart ? "sassafrasyard_quarantined_prompt_parts_total"
                                             : "sassafrasyard_quarantined_requests_total");
            if (notice.isOwn && this->quarantineHook)
                this->quarantineHook(notice.requestDigest);
        });
    }

    void applyDecisions()
    {
        for (const Decision &decision : this->dispatcher.takeDecisions())
            std::visit([&](const auto &specific) { this->apply(specific, decision); }, decision);
    }

    void apply(const Assignment &assignment, const Decision &decision)
    {
        // A plain call ends before peers could use a load update about it.
        if (assignment.reservedTokens > 0)
            this->notifyLoadChange();
        this->countSavings(assignment);
        this->controls.emplace(assignment.request, std::make_shared<StreamControl>());
        this->notifyWaiter(assignment.request, decision);
    }

    void countSavings(const Assignment &assignment)
    {
        if (assignment.cachedTokens == 0)
            return;
        this->entry.metrics.count("sassafrasyard_prompt_tokens_saved_total", {},
                                  assignment.cachedTokens);
        this->entry.metrics.count("sassafrasyard_prompt_tokens_waited_total", {},
                                  assignment.acceptedWaitTokens);
    }

    void apply(const Refusal &refusal, const Decision &decision)
    {
        this->entry.metrics.count("sassafrasyard_refusals_total",
                                  {{"reason", std::string(toString(refusal.reason))}});
        this->notifyWaiter(refusal.request, decision);
    }

    void apply(const Suspension &suspension, const Decision &)
    {
        if (const auto known = this->controls.find(suspension.request);
            known != this->controls.end())
            known->second->isSuspended = true;
        this->entry.metrics.count("sassafrasyard_suspensions_total");
    }

    void apply(const Resumption &resumption, const Decision &decision)
    {
        if (const auto known = this->controls.find(resumption.request);
            known != this->controls.end())
            known->second->isSuspended = false;
        this->notifyWaiter(resumption.request, decision);
    }

    void notifyWaiter(const RequestName &request, const Decision &decision)
    {
        auto node = this->callbacks.extract(request);
        if (!node.empty())
            node.mapped()(decision);
    }

    void notifyLoadChange() const
    {
        if (this->loadChangeHook)
            this->loadChangeHook();
    }

    EntryState &entry;
    Dispatcher dispatcher;
    std::function<void()> loadChangeHook;
    std::function<void(std::uint64_t)> quarantineHook;
    std::unordered_map<RequestName, DecisionCallback> callbacks;
    std::unordered_map<RequestName, std::shared_ptr<StreamControl>> controls;
};

DispatchService::DispatchService(EntryState &state, ActorRuntime &runtime, net::io_context &context,
                                 bool maySuspend)
    : entry(state)
    , owner(std::make_unique<StateOwner<State>>(runtime, state, maySuspend))
{
    this->entry.configuration.addListener([this](const auto &configuration) {
        this->post([configuration](Dispatcher &dispatcher, Milliseconds now) {
            std::vector<AccountLimits> limits;
            for (const ClientAccount &account : configuration->accounts)
                limits.push_back(account.limits);
            dispatcher.setAccountLimits(limits);
            dispatcher.setBackendServers(configuration->servers, now);
        });
    });
    net::co_spawn(
            net::make_strand(context), [this] { return this->advancePeriodically(); },
            net::detached);
}

DispatchService::~DispatchService() = default;

net::awaitable<std::optional<Grant>> DispatchService::acquire(WorkRequest request, Error &reason)
{
    const RequestName name = request.name;
    auto control = std::make_shared<std::shared_ptr<StreamControl>>();
    // Named before it is awaited: g++ 12 destroys some temporaries of co_await expressions twice.
    auto submit = [&](DecisionCallback callback) {
        this->owner->post([this, request, control, callback = std::move(callback)](State &state) {
            state.callbacks.emplace(request.name,
                                    [&state, request, control, callback](const Decision &made) {
                                        if (std::holds_alternative<Assignment>(made))
                                            *control = state.controls.at(request.name);
                                        callback(made);
                                    });
            state.dispatcher.submit(request, this->entry.steadyClock.now());
            state.applyDecisions();
        });
    };
    const Decision decision = co_await awaitDecision(submit);
    if (const auto *refusal = std::get_if<Refusal>(&decision)) {
        reason = toError(*refusal);
        co_return std::nullopt;
    }
    Grant grant;
    grant.assignment = std::get<Assignment>(decision);
    grant.control = *control;
    const auto configuration = this->entry.configuration.current();
    const BackendServer *server = configuration->findServer(grant.assignment.server);
    if (server == nullptr) {
        this->reportFinished(name, WorkOutcome::RefusedByServer);
        reason = {ErrorCode::NoBackendServer, RunState::NotRun, "the backend server was removed",
                  Milliseconds(1000)};
        co_return std::nullopt;
    }
    grant.server = *server;
    co_return grant;
}

void DispatchService::refuseWaiting(const RequestName &request, ErrorCode reason,
                                    Milliseconds retryAfter)
{
    this->post([request, reason, retryAfter](Dispatcher &dispatcher, Milliseconds) {
        dispatcher.refuseWaiting(request, reason, retryAfter);
    });
}

net::awaitable<bool> DispatchService::awaitResumption(RequestName request)
{
    auto wait = [&](DecisionCallback callback) {
        this->owner->post([request, callback = std::move(callback)](State &state) {
            const auto known = state.controls.find(request);
            if (known == state.controls.end() || !known->second->isSuspended) {
                callback(Resumption{request});
                return;
            }
            state.callbacks.emplace(request, callback);
        });
    };
    const Decision decision = co_await awaitDecision(wait);
    co_return std::holds_alternative<Resumption>(decision);
}

void DispatchService::reportProgress(const RequestName &request, std::uint32_t tokens)
{
    this->post([request, tokens](Dispatcher &dispatcher, Milliseconds now) {
        dispatcher.recordProgress(request, tokens, now);
    });
}

void DispatchService::reportFirstToken(const RequestName &request)
{
    this->owner->post([this, request](State &state) {
        state.dispatcher.recordFirstToken(request, this->entry.steadyClock.now());
        state.notifyLoadChange();
    });
}

void DispatchService::setLoadChangeHook(std::function<void()> hook)
{
    this->owner->post([hook = std::move(hook)](State &state) { state.loadChangeHook = hook; });
}

void DispatchService::setQuarantineHook(std::function<void(std::uint64_t)> hook)
{
    this->owner->post([hook = std::move(hook)](State &state) { state.quarantineHook = hook; });
}

net::awaitable<bool> DispatchService::takeHedge(RequestName request)
{
    const std::function<bool(State &)> operation = [this, request](State &state) {
        return state.dispatcher.takeHedge(request, this->entry.steadyClock.now());
    };
    co_return co_await this->owner->ask<bool>(operation);
}

net::awaitable<std::optional<BackendServerName>> DispatchService::reserveCopy(WorkRequest copy,
                                                                              bool isUrgent)
{
    const std::function<std::optional<BackendServerName>(State &)> operation =
            [this, &copy, isUrgent](State &state) {
                return state.dispatcher.reserveCopy(copy, isUrgent, this->entry.steadyClock.now());
            };
    co_return co_await this->owner->ask<std::optional<BackendServerName>>(operation);
}

void DispatchService::reportPromoted(const RequestName &copy)
{
    this->post([copy](Dispatcher &dispatcher, Milliseconds now) {
        dispatcher.promoteCopy(copy, now);
    });
}

void DispatchService::releaseCopy(const RequestName &copy)
{
    this->post([copy](Dispatcher &dispatcher, Milliseconds now) {
        dispatcher.releaseCopy(copy, now);
    });
}

void DispatchService::reportFinished(const RequestName &request, WorkOutcome outcome)
{
    this->owner->post([this, request, outcome](State &state) {
        state.controls.erase(request);
        state.dispatcher.recordFinished(request, outcome, this->entry.steadyClock.now());
        state.applyDecisions();
    });
}

void DispatchService::post(std::function<void(Dispatcher &, Milliseconds)> operation)
{
    this->owner->post([this, operation = std::move(operation)](State &state) {
        operation(state.dispatcher, this->entry.steadyClock.now());
        state.applyDecisions();
    });
}

net::awaitable<PeerLoadDigest> DispatchService::loadDigest()
{
    return this->owner->ask<PeerLoadDigest>([this](State &state) {
        return state.dispatcher.peerLoadDigest(this->entry.steadyClock.now());
    });
}

net::awaitable<std::vector<EngineSpeed>> DispatchService::ownSpeeds()
{
    return this->owner->ask<std::vector<EngineSpeed>>([this](State &state) {
        return state.dispatcher.ownSpeeds(this->entry.steadyClock.now());
    });
}

net::awaitable<bool> DispatchService::isQuarantined(WorkRequest request)
{
    const std::function<bool(State &)> operation = [this, &request](State &state) {
        const Milliseconds now = this->entry.steadyClock.now();
        return state.dispatcher.quarantinedFor(request, now).has_value();
    };
    co_return co_await this->owner->ask<bool>(operation);
}

net::awaitable<std::vector<QuarantineRecord>> DispatchService::quarantineRecords()
{
    return this->owner->ask<std::vector<QuarantineRecord>>([this](State &state) {
        return state.dispatcher.quarantineRecords(this->entry.steadyClock.now());
    });
}

RequestName DispatchService::nextRequestName()
{
    return RequestName(this->entry.incarnation.toString() + "-"
                       + std::to_string(++this->requestCount));
}

net::awaitable<void> DispatchService::advancePeriodically()
{
    net::steady_timer timer(co_await net::this_coro::executor);
    boost::system::error_code code;
    while (!code) {
        this->owner->post([this](State &state) {
            state.dispatcher.advance(this->entry.steadyClock.now());
            state.applyDecisions();
            const std::uint64_t tokens = this->entry.pendingTokenCount.exchange(0);
            if (tokens > 0)
                this->entry.metrics.count("sassafrasyard_tokens_total", {},
                                          static_cast<double>(tokens));
            this->entry.metrics.set("sassafrasyard_waiting_requests", {},
                                    static_cast<double>(state.dispatcher.waitingCount()));
            this->entry.metrics.set("sassafrasyard_running_requests", {},
                                    static_cast<double>(state.dispatcher.runningCount()));
        });
        timer.expires_after(advanceInterval);
        co_await timer.async_wait(net::redirect_error(net::use_awaitable, code));
    }
}

} // namespace sassafrasyard
