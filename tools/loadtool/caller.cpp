#include "caller.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace sassafrasyard {

namespace net = boost::asio;
using nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

namespace {

constexpr HttpTimeouts streamTimeouts{Milliseconds(1000), Milliseconds(40000)};
constexpr HttpTimeouts callTimeouts{Milliseconds(1000), Milliseconds(40000)};
constexpr Milliseconds readTimeout{30000};
constexpr int maximumAttempts = 2;
constexpr int maximumHostsPerAttempt = 3;
constexpr int maximumResumes = 5;
constexpr Milliseconds resumeDelay{200};

float milliseconds(SteadyClock::duration duration)
{
    return std::chrono::duration<float, std::milli>(duration).count();
}

float millisecondsSince(std::int64_t steadyMicroseconds, SteadyClock::time_point now)
{
    const std::chrono::microseconds stamp(steadyMicroseconds);
    return milliseconds(now.time_since_epoch() - stamp);
}

} // namespace

Caller::Caller(const CallerContext &context, EntryAddressCache &addresses, const PlannedCall &call,
               std::string apiKey, CallRecord &record)
    : context(context)
    , addresses(addresses)
    , call(call)
    , apiKey(std::move(apiKey))
    , record(record)
    , arrivedAt(SteadyClock::now())
{
    this->record.kind = call.kind;
    this->record.isAtPeak = call.isAtPeak;
    this->record.arrivedAt = std::chrono::duration_cast<RunTime>(this->arrivedAt - context.start);
}

net::awaitable<void> Caller::runStream()
{
    HttpStream stream;
    if (!co_await this->openStream(stream))
        co_return;
    int resumes = 0;
    while (true) {
        const StreamEnd end = co_await this->readStream(stream);
        stream.close();
        if (end != StreamEnd::Disconnected) {
            this->record.outcome =
                    end == StreamEnd::Done ? CallOutcome::Completed : CallOutcome::Lost;
            co_return;
        }
        bool isResumed = false;
        while (!isResumed && !this->lastEventIdentifier.empty() && resumes < maximumResumes) {
            ++resumes;
            isResumed = co_await this->resumeStream(stream);
        }
        if (!isResumed) {
            this->record.outcome = CallOutcome::Failed;
            co_return;
        }
        ++this->record.resumes;
    }
}

net::awaitable<bool> Caller::openStream(HttpStream &stream)
{
    const HttpRequest request = this->streamRequest();
    int triedHosts = 0;
    int refusals = 0;
    while (true) {
        const auto host = co_await this->chooseHost();
        if (!host)
            break;
        Error reason;
        this->openedAt = SteadyClock::now();
        const auto response = co_await stream.open(*host, request, streamTimeouts, reason);
        if (response && response->status == 200)
            co_return true;
        if (!response) {
            this->addresses.invalidate();
            if (reason.runState != RunState::NotRun || ++triedHosts >= maximumHostsPerAttempt)
                break;
            continue;
        }
        const auto delay = this->recordRefusal(*response, this->openedAt);
        if (!delay)
            break;
        if (++refusals >= maximumAttempts) {
            this->record.outcome = CallOutcome::Refused;
            co_return false;
        }
        co_await this->sleepFor(*delay);
    }
    this->record.outcome = CallOutcome::Failed;
    co_return false;
}

net::awaitable<Caller::StreamEnd> Caller::readStream(HttpStream &stream)
{
    ServerEventParser parser;
    StreamEnd end = StreamEnd::Disconnected;
    Error reason;
    while (true) {
        const auto bytes = co_await stream.read(readTimeout, reason);
        if (!bytes || bytes->empty())
            co_return end;
        parser.append(*bytes);
        while (const auto event = parser.next())
            this->recordEvent(*event, end);
        if (end != StreamEnd::Disconnected)
            co_return end;
        const std::uint32_t disconnectAfter = this->call.disconnectAfterTokens;
        if (disconnectAfter > 0 && this->record.resumes == 0
            && this->record.tokens >= disconnectAfter)
            co_return end;
    }
}

net::awaitable<bool> Caller::resumeStream(HttpStream &stream)
{
    this->addresses.invalidate();
    const auto host = co_await this->chooseHost();
    if (!host)
        co_return false;
    HttpRequest request = this->streamRequest();
    request.headers.emplace_back("Last-Event-ID", this->lastEventIdentifier);
    Error reason;
    const auto response = co_await stream.open(*host, request, streamTimeouts, reason);
    if (response && response->status == 200)
        co_return true;
    co_await this->sleepFor(resumeDelay);
    co_return false;
}

net::awaitable<void> Caller::runPlainCall()
{
    const HttpRequest base = this->plainRequest();
    // Every attempt of an order goes to the host whose incarnation it was first sent with.
    std::optional<EntryAddress> host = co_await this->addresses.choose();
    this->record.outcome = CallOutcome::Failed;
    for (int attempt = 0; host && attempt < maximumAttempts; ++attempt) {
        HttpRequest request = base;
        if (this->call.kind == CallKind::Order)
            request.headers.emplace_back("Sassafrasyard-Incarnation", host->incarnation);
        Error reason;
        const auto begin = SteadyClock::now();
        const auto response =
                co_await sendHttpRequest(host->endpoint, request, callTimeouts, reason);
        if (response && response->status == 200) {
            this->recordAnswer(*response);
            co_return;
        }
        if (!response) {
            this->addresses.invalidate();
            if (this->call.kind == CallKind::Lookup)
                host = co_await this->addresses.choose();
            continue;
        }
        const auto delay = this->recordRefusal(*response, begin);
        if (!delay)
            co_return;
        this->record.outcome = CallOutcome::Refused;
        if (attempt + 1 < maximumAttempts)
            co_await this->sleepFor(*delay);
    }
}

net::awaitable<std::optional<Endpoint>> Caller::chooseHost()
{
    if (this->context.directEngine)
        co_return this->context.directEngine;
    const auto address = co_await this->addresses.choose();
    if (!address)
        co_return std::nullopt;
    co_return address->endpoint;
}

net::awaitable<void> Caller::sleepFor(Milliseconds delay)
{
    net::steady_timer timer(co_await net::this_coro::executor);
    timer.expires_after(delay);
    co_await timer.async_wait(net::use_awaitable);
}

std::optional<Milliseconds> Caller::recordRefusal(const HttpResponse &response,
                                                  SteadyClock::time_point begin)
{
    const json body = json::parse(response.body, nullptr, false);
    if (!body.is_object() || body.value("run_state", "") != "not_run")
        return std::nullopt;
    this->record.refusalMilliseconds.push_back(milliseconds(SteadyClock::now() - begin));
    return Milliseconds(body.value("retry_after_ms", 1000));
}

void Caller::recordEvent(const ServerEvent &event, StreamEnd &end)
{
    if (event.type == "generation_lost") {
        end = StreamEnd::Lost;
        return;
    }
    if (event.type == "done" || event.data.find("\"finish\":") != std::string::npos) {
        const json data = json::parse(event.data, nullptr, false);
        const std::uint64_t tokens =
                data.is_object() ? data.value("tokens", data.value("index", std::uint64_t{0})) : 0;
        if (tokens > this->record.tokens)
            this->record.missingTokens += tokens - this->record.tokens;
        end = StreamEnd::Done;
        return;
    }
    const auto token = parseTokenEvent(event.data);
    if (!token)
        return;
    if (!event.identifier.empty())
        this->lastEventIdentifier = event.identifier;
    this->recordToken(*token);
}

void Caller::recordToken(const TokenEvent &token)
{
    const auto now = SteadyClock::now();
    if (token.index < this->record.tokens) {
        ++this->record.duplicates;
        return;
    }
    this->record.missingTokens += token.index - this->record.tokens;
    if (token.text != expectedToken(this->call.seed, token.index))
        ++this->record.mismatchedTokens;
    if (this->record.firstResponseMilliseconds) {
        const auto at = std::chrono::duration_cast<RunTime>(now - this->context.start);
        this->record.gaps.push_back({at, milliseconds(now - this->lastTokenAt)});
    } else {
        this->record.firstResponseMilliseconds = this->millisecondsSinceArrival(now);
    }
    this->recordTransportTimes(token, now);
    this->lastTokenAt = now;
    this->record.tokens = token.index + 1;
}

void Caller::recordTransportTimes(const TokenEvent &token, SteadyClock::time_point now)
{
    if (!token.producedAt)
        return;
    const auto at = std::chrono::duration_cast<RunTime>(now - this->context.start);
    const float fromEngine = millisecondsSince(*token.producedAt, now);
    if (!token.receivedAt) {
        this->record.transportTimes.push_back({at, fromEngine});
        return;
    }
    const float toEngine = -millisecondsSince(*token.receivedAt, this->openedAt);
    this->record.firstTokenTransportTime = LatencySample{at, toEngine + fromEngine};
}

void Caller::recordAnswer(const HttpResponse &response)
{
    this->record.outcome = CallOutcome::Completed;
    this->record.firstResponseMilliseconds = this->millisecondsSinceArrival(SteadyClock::now());
    const json body = json::parse(response.body, nullptr, false);
    if (this->call.kind == CallKind::Order && body.is_object() && body.value("run", 1) > 1)
        ++this->record.duplicates;
}

HttpRequest Caller::streamRequest() const
{
    json body;
    body["model"] = this->call.kind == CallKind::ShortOnShortModel ? this->context.mix.shortModel
                                                                   : this->context.mix.longModel;
    body["prompt"] = this->call.prompt;
    body["max_tokens"] = this->call.maximumTokens;
    body["seed"] = this->call.seed;
    body["stream"] = true;
    if (!this->context.directEngine)
        body["priority"] = this->call.kind == CallKind::Long ? "normal" : "high";
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/completions";
    request.headers.emplace_back("Authorization", "Bearer " + this->apiKey);
    request.body = body.dump();
    return request;
}

HttpRequest Caller::plainRequest() const
{
    HttpRequest request;
    request.headers.emplace_back("Authorization", "Bearer " + this->apiKey);
    request.target = "/v1/services/" + this->context.mix.service;
    const std::string name = std::to_string(this->call.seed);
    if (this->call.kind == CallKind::Lookup) {
        request.target += "/lookup?item=" + name;
        return request;
    }
    request.method = "POST";
    request.target += "/orders";
    request.headers.emplace_back("Idempotency-Key", "order-" + name);
    request.body = "{\"order\":\"" + name + "\"}";
    return request;
}

float Caller::millisecondsSinceArrival(SteadyClock::time_point now) const
{
    return milliseconds(now - this->arrivedAt);
}

} // namespace sassafrasyard
