#pragma once

#include "gatewayhosts.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sassafrasyard {

/** A stand-in that may state a call limit, and judges whether its callers keep it. */
class LimitedServer
{
public:
    /** The length of the window in which calls are counted. */
    static constexpr Milliseconds window{4000};
    /** How long after the first statement the calls are not judged yet. */
    static constexpr Milliseconds settlingTime{3000};
    /** A host counts from this time after it received a response with the limit. */
    static constexpr Milliseconds tellingTime{500};

    /** Starts a stand-in and registers it with all hosts. */
    LimitedServer(GatewayHosts &hosts, std::string name, std::optional<double> limit = {})
        : limit(limit)
        , server(
                  *hosts.context, HttpServerOptions(),
                  [this](const HttpRequest &request, HttpResponder &responder) {
                      return this->answer(request, responder);
                  },
                  errorResponse)
    {
        Error reason;
        const auto endpoint = this->server.listen({"127.0.0.1", 0}, reason);
        hosts.registerServer(name, endpoint->toString());
    }

    /** Returns the calls that the rule permits in a window at a limit. */
    static std::size_t permittedCalls(double callsPerSecond)
    {
        constexpr double factor = 1.5;
        constexpr double slack = 5.0;
        const double seconds = std::chrono::duration<double>(window).count();
        return static_cast<std::size_t>(factor * callsPerSecond * seconds + slack);
    }

    /** Returns the most calls in any window after settlingTime from hosts that were told. */
    std::size_t largestCount() const
    {
        std::size_t largest = 0;
        for (std::size_t first = 0; first < this->judged.size(); ++first) {
            const auto end = std::lower_bound(this->judged.begin(), this->judged.end(),
                                              this->judged[first] + window);
            const auto count = end - (this->judged.begin() + static_cast<std::ptrdiff_t>(first));
            largest = std::max(largest, static_cast<std::size_t>(count));
        }
        return largest;
    }

    /** Returns the number of calls after settlingTime, also from hosts that were not told. */
    std::size_t settledCount() const { return this->settled; }

    /** The limit that responses state. */
    std::optional<double> limit;
    /** The status of responses. */
    int status = 200;
    /** The number of all calls. */
    std::size_t callCount = 0;

private:
    boost::asio::awaitable<void> answer(const HttpRequest &request, HttpResponder &responder)
    {
        const Milliseconds now = Clock::steady().now();
        const std::string host = findHeader(request.headers, GatewayHosts::hostField).value_or("");
        ++this->callCount;
        const auto told = this->toldAt.find(host);
        const bool isSettled = this->statedAt && now - *this->statedAt >= settlingTime;
        const bool isTold = told != this->toldAt.end() && now - told->second >= tellingTime;
        this->settled += isSettled ? 1 : 0;
        if (isSettled && isTold)
            this->judged.push_back(now);
        co_await GatewayFixture::pause(Milliseconds(20));
        HttpResponse response = GatewayFixture::signedAnswer(request, this->status);
        if (this->limit) {
            const Milliseconds stated = Clock::steady().now();
            this->statedAt = this->statedAt.value_or(stated);
            this->toldAt.emplace(host, stated);
            response.headers.emplace_back("Limit", std::to_string(*this->limit));
        }
        co_await responder.send(std::move(response));
    }

    HttpServer server;
    std::optional<Milliseconds> statedAt;
    std::map<std::string, Milliseconds> toldAt;
    std::vector<Milliseconds> judged;
    std::size_t settled = 0;
};

} // namespace sassafrasyard
