#include "gateway/relay/runstops.h"

#include <algorithm>

namespace sassafrasyard {

namespace net = boost::asio;

RunStops::RunStops(GatewayDependencies &dependencies, RoutedCall &call)
    : dependencies(dependencies)
    , call(call)
{
}

RunStops::~RunStops()
{
    this->drop();
}

void RunStops::beginPart()
{
    ++this->partCount;
    if (this->current)
        this->former.push_back(std::exchange(this->current, nullptr));
}

std::uint32_t RunStops::part() const
{
    return this->partCount;
}

void RunStops::start(RunStopOrder order, bool isBackup, EndHook onEnd)
{
    this->dropCurrent();
    this->isTargetBackup = isBackup;
    this->current = std::make_shared<RunStop>(
            this->dependencies, std::move(order),
            [this, started = this->partCount, hook = std::move(onEnd)](RunStop::Result result) {
                if (started == this->partCount)
                    hook(result);
            });
    this->records.emplace_back(this->partCount, this->current->record());
    this->current->start();
}

void RunStops::endBy(Milliseconds instant)
{
    if (this->current)
        this->current->endBy(instant);
}

bool RunStops::hasCurrent() const
{
    return this->current != nullptr;
}

bool RunStops::hasEnded() const
{
    return this->current && this->current->hasEnded();
}

std::string RunStops::outcome() const
{
    return this->current ? this->current->outcome() : std::string();
}

bool RunStops::hasUsableBackup() const
{
    return this->current && this->isTargetBackup && this->current->hasUsableTarget();
}

void RunStops::recordEvent()
{
    if (this->current)
        this->current->recordEvent();
}

std::optional<StreamPlacement> RunStops::takeDeclinedTarget(bool &isBackup)
{
    auto target = this->current->takeTarget();
    isBackup = this->isTargetBackup;
    this->dropCurrent();
    return target;
}

net::awaitable<RunStop::Result> RunStops::finish()
{
    co_return co_await this->waitFor(this->current);
}

net::awaitable<bool> RunStops::confirmEnd()
{
    const std::shared_ptr<RunStop> waiting = this->current;
    this->call.cancelHooks[waiting.get()] = [waiting] {
        waiting->abandon();
    };
    const bool hasEnded = co_await waiting->confirmEnd();
    this->call.cancelHooks.erase(waiting.get());
    co_return hasEnded;
}

net::awaitable<std::optional<StreamPlacement>> RunStops::takeContinuation()
{
    std::vector<std::shared_ptr<RunStop>> stops = this->former;
    if (this->current)
        stops.push_back(this->current);
    while (!stops.empty()) {
        const auto latest = stops.back();
        stops.pop_back();
        auto next = latest->takeContinuation();
        if (!next) {
            // The engine may still copy the memory of the run to the target.
            co_await this->waitFor(latest);
            next = latest->takeContinuation();
        }
        if (next)
            co_return next;
    }
    co_return std::nullopt;
}

StopEffect RunStops::effect(std::uint32_t part, const BackendServerName &server) const
{
    StopEffect effect = StopEffect::None;
    for (const auto &[meant, record] : this->records) {
        if (meant == part)
            effect = std::max(effect, record->effect());
        else if (meant < part && record->server() == server && record->mayStillAct())
            effect = std::max(effect, StopEffect::Unknown);
    }
    return effect;
}

net::awaitable<void> RunStops::waitForAnswer(std::uint32_t part)
{
    if (this->current && part == this->partCount)
        this->current->insist();
    const auto pending =
            std::find_if(this->records.begin(), this->records.end(), [part](const auto &entry) {
                return entry.first == part && entry.second->effect() == StopEffect::Pending;
            });
    if (pending == this->records.end())
        co_return;
    const std::shared_ptr<StopRecord> record = pending->second;
    this->call.cancelHooks[record.get()] = [record] {
        record->endWait();
    };
    co_await record->waitForAnswer();
    this->call.cancelHooks.erase(record.get());
}

bool RunStops::hasFormer() const
{
    return !this->former.empty();
}

void RunStops::dropFormer()
{
    for (const auto &request : std::exchange(this->former, {}))
        request->abandon();
}

void RunStops::drop()
{
    this->dropCurrent();
    this->dropFormer();
}

void RunStops::dropCurrent()
{
    if (this->current)
        std::exchange(this->current, nullptr)->abandon();
}

net::awaitable<RunStop::Result> RunStops::waitFor(std::shared_ptr<RunStop> waiting)
{
    waiting->insist();
    this->call.cancelHooks[waiting.get()] = [waiting] {
        waiting->abandon();
    };
    const RunStop::Result result = co_await waiting->finish();
    this->call.cancelHooks.erase(waiting.get());
    co_return result;
}

} // namespace sassafrasyard
