#include "enginefleet.h"

#include <nlohmann/json.hpp>

namespace sassafrasyard {

namespace net = boost::asio;
using nlohmann::json;

namespace {

constexpr HttpTimeouts controlTimeouts{Milliseconds(1000), Milliseconds(2000)};

} // namespace

EngineFleet::EngineFleet(std::vector<Endpoint> engines)
    : engines(std::move(engines))
{
}

net::awaitable<void> EngineFleet::setSlowdown(std::size_t first, std::size_t count, double factor)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/control";
    request.body = "{\"slowdown\":" + std::to_string(factor) + "}";
    for (std::size_t index = first; index < first + count && index < this->engines.size();
         ++index) {
        Error ignored;
        co_await sendHttpRequest(this->engines[index], request, controlTimeouts, ignored);
    }
}

net::awaitable<void> EngineFleet::readTotals()
{
    HttpRequest request;
    request.target = "/v1/load";
    this->preemptionTotal = 0;
    this->stallTotal = 0;
    for (const Endpoint &engine : this->engines) {
        Error ignored;
        const auto response = co_await sendHttpRequest(engine, request, controlTimeouts, ignored);
        if (!response)
            continue;
        const json load = json::parse(response->body, nullptr, false);
        if (!load.is_object())
            continue;
        this->preemptionTotal += load.value("preemptions", std::uint64_t{0});
        this->stallTotal += load.value("stall_ms", std::uint64_t{0});
    }
}

std::uint64_t EngineFleet::preemptions() const
{
    return this->preemptionTotal;
}

std::uint64_t EngineFleet::stallMilliseconds() const
{
    return this->stallTotal;
}

} // namespace sassafrasyard
