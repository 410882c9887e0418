#include "entry/http/streamrelay.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

/** How long an engine may be silent before the relay resumes on a new connection. */
constexpr Milliseconds stallTimeout{10000};
constexpr HttpTimeouts resumeTimeouts{Milliseconds(1000), Milliseconds(5000)};
/** Consecutive reconnections without a token after which the generation is lost. */
constexpr int maximumReconnects = 3;
constexpr Milliseconds reconnectDelay{200};
constexpr std::uint64_t tokensPerProgressReport = 32;

} // namespace

StreamRelay::StreamRelay(EntryState &state, DispatchService &dispatch, Grant grant, Endpoint engine)
    : entry(state)
    , dispatch(dispatch)
    , grant(std::move(grant))
    , engine(std::move(engine))
{
}

void StreamRelay::continueAfter(const StreamPosition &position)
{
    this->currentGeneration = position.generation;
    this->nextIndex = position.index + 1;
    this->digest = RollingDigest::fromHex(position.digest);
}

net::awaitable<RelayResult> StreamRelay::run(GenerationStream &stream, const Deliver &deliver,
                                             const IsCallerGone &isCallerGone)
{
    RelayResult result;
    std::vector<DeliveredToken> batch;
    // The first event may belong to another generation, so the response header has priority.
    if (this->currentGeneration.isEmpty())
        this->currentGeneration = stream.announcedGeneration();
    while (true) {
        auto event = co_await stream.next(stallTimeout, result.reason);
        batch.clear();
        while (event && !event->isFinish() && !this->hasGap) {
            this->accept(*event, batch);
            event = stream.nextBuffered(result.reason);
        }
        result.tokens = this->nextIndex;
        if (!batch.empty()) {
            if (batch.front().position.index == 0)
                this->dispatch.reportFirstToken(this->grant.assignment.request);
            this->reconnects = 0;
            if (!co_await deliver(batch)) {
                result.end = RelayEnd::CallerGone;
                co_return result;
            }
        }
        if (event && event->isFinish() && event->generation == this->currentGeneration
            && event->index == this->nextIndex && !this->hasGap) {
            result.end = RelayEnd::Finished;
            result.finishReason = event->finishReason;
            co_return result;
        }
        if (event && event->isFinish() && event->index > this->nextIndex)
            this->hasGap = true;
        if (this->nextIndex - this->reportedTokens >= tokensPerProgressReport) {
            this->reportedTokens = this->nextIndex;
            this->dispatch.reportProgress(this->grant.assignment.request,
                                          static_cast<std::uint32_t>(this->nextIndex));
        }
        bool isConnected = event || !batch.empty();
        const bool mustResume = !isConnected || this->hasGap;
        if (mustResume && isCallerGone()) {
            result.end = RelayEnd::CallerGone;
            co_return result;
        }
        if (this->isSuspensionRequested())
            isConnected = co_await this->suspend(stream, result.reason);
        else if (mustResume)
            isConnected = co_await this->reconnect(stream, result.reason);
        if (!isConnected)
            co_return result;
    }
}

const GenerationName &StreamRelay::generation() const
{
    return this->currentGeneration;
}

bool StreamRelay::accept(const GenerationEvent &event, std::vector<DeliveredToken> &batch)
{
    if (this->currentGeneration.isEmpty() && event.index == 0)
        this->currentGeneration = event.generation;
    if (event.generation != this->currentGeneration || event.index < this->nextIndex) {
        this->dropUnexpectedEvent(event);
        return false;
    }
    if (event.index > this->nextIndex) {
        this->hasGap = true;
        return false;
    }
    ++this->nextIndex;
    this->digest.append(event.token);
    StreamPosition position;
    position.generation = event.generation;
    position.server = this->grant.server.name;
    position.address = this->grant.server.address;
    position.index = event.index;
    position.digest = this->digest.toHex();
    batch.push_back({std::move(position), event.token});
    return true;
}

net::awaitable<bool> StreamRelay::reconnect(GenerationStream &stream, Error &reason)
{
    stream.close();
    this->hasGap = false;
    if (this->currentGeneration.isEmpty())
        co_return false;
    net::steady_timer timer(co_await net::this_coro::executor);
    while (this->reconnects < maximumReconnects) {
        ++this->reconnects;
        if (co_await stream.resume(this->engine, this->currentGeneration, this->nextIndex,
                                   resumeTimeouts, reason)) {
            this->entry.metrics.count("sassafrasyard_stream_reconnects_total");
            co_return true;
        }
        if (reason.code == ErrorCode::NotFound)
            co_return false;
        timer.expires_after(reconnectDelay);
        boost::system::error_code ignored;
        co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
    }
    co_return false;
}

bool StreamRelay::isSuspensionRequested() const
{
    return this->grant.control && this->grant.control->isSuspended
            && !this->currentGeneration.isEmpty();
}

net::awaitable<bool> StreamRelay::suspend(GenerationStream &stream, Error &reason)
{
    stream.close();
    const bool isTaken = co_await suspendGeneration(this->engine, this->currentGeneration,
                                                    resumeTimeouts, reason);
    if (!isTaken)
        logEvent(LogEvent::OrderRefused, "order", "suspend", "detail", reason.detail);
    co_await this->dispatch.awaitResumption(this->grant.assignment.request);
    const bool isResumed = co_await this->reconnect(stream, reason);
    co_return isResumed;
}

void StreamRelay::dropUnexpectedEvent(const GenerationEvent &event)
{
    this->entry.metrics.count("sassafrasyard_crossed_answers_dropped_total");
    logEvent(LogEvent::CrossedAnswerDropped, "backend_server", this->grant.server.name.toString(),
             "generation", event.generation.toString(), "index", std::to_string(event.index));
}

} // namespace sassafrasyard
