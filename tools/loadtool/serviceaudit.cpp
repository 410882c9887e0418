#include "serviceaudit.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace sassafrasyard {

namespace net = boost::asio;
using nlohmann::json;

namespace {

constexpr HttpTimeouts auditTimeouts{Milliseconds(1000), Milliseconds(2000)};

} // namespace

ServiceAudit::ServiceAudit(std::vector<Endpoint> services)
    : services(std::move(services))
{
}

net::awaitable<void> ServiceAudit::readRuns()
{
    HttpRequest request;
    request.target = "/runs";
    std::map<std::string, std::uint64_t> runs;
    for (const Endpoint &service : this->services) {
        Error ignored;
        const auto response = co_await sendHttpRequest(service, request, auditTimeouts, ignored);
        if (!response)
            continue;
        const json document = json::parse(response->body, nullptr, false);
        for (const auto &[key, count] : document.items()) {
            if (!key.empty())
                runs[key] += count.get<std::uint64_t>();
        }
    }
    this->orders = runs.size();
    this->repeated = 0;
    for (const auto &[key, count] : runs)
        this->repeated += count - 1;
}

std::uint64_t ServiceAudit::ordersRun() const
{
    return this->orders;
}

std::uint64_t ServiceAudit::repeatedRuns() const
{
    return this->repeated;
}

} // namespace sassafrasyard
