#pragma once

#include "gatewayfixture.h"
#include "rawserver.h"

#include <functional>
#include <string>
#include <utility>

namespace sassafrasyard {

constexpr Milliseconds routeTimeout{5000};
/** How long an idempotent call waits for a server is twice this. */
constexpr Milliseconds targetLatency{1500};
/** Within this time a call that need not wait has ended; below any limit of the route. */
constexpr Milliseconds endedWithin{1000};

inline const std::string event1 = "id: 1\ndata: a\n\n";
inline const std::string event2 = "id: 2\ndata: b\n\n";

/** Returns a route to servers that may answer anything. */
inline Route makeRoute(CallKind kind, bool isResumable = false)
{
    Route route;
    route.name = "route";
    route.pathPrefix = "/route/";
    route.kind = kind;
    route.isResumable = isResumable;
    route.maximumAttempts = kind == CallKind::Idempotent || isResumable ? 2 : 1;
    route.timeout = routeTimeout;
    route.targetLatency = targetLatency;
    route.targetPause = Milliseconds(100);
    return route;
}

/** Returns a complete response of a server to a call. */
inline std::string makeAnswer(const std::string &id, const std::string &type,
                              const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nSignature: s\r\nId: " + id + "\r\nContent-Type: " + type
            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** Two servers whose answers to a call are given by the number of its attempt. */
class NumberedServers
{
public:
    /** Returns the bytes of an answer. */
    using Answer = std::function<std::string(int attempt, const std::string &id)>;

    /** @param isClosed whether a server closes the connection after its answer. */
    NumberedServers(const Route &route, Answer answer, bool isClosed)
        : answer(std::move(answer))
        , isClosed(isClosed)
    {
        this->fixture.addRoute(route);
        for (const std::string name : {"a", "b"})
            this->fixture.addRawServer(name, [this](boost::asio::ip::tcp::socket &socket) {
                return this->serve(socket);
            });
    }

    /** Sends a call. @return the response; its status is 0 if it is incomplete. */
    HttpResponse call(const HttpHeaders &headers = {})
    {
        const Milliseconds start = Clock::steady().now();
        HttpResponse response = this->fixture.call("/route/1", "1", headers);
        this->elapsed = Clock::steady().now() - start;
        return response;
    }

    /** Whether the connection of the first attempt is closed after its answer. */
    bool closesFirst = false;
    /** How often the call has run. */
    int runs = 0;
    Milliseconds elapsed{0};
    GatewayFixture fixture;

private:
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket &socket)
    {
        while (true) {
            const std::string head = co_await readHead(socket);
            if (head.empty())
                co_return;
            ++this->runs;
            const std::string text = this->answer(this->runs, fieldOf(head, "Id"));
            const bool isLast = this->isClosed || (this->closesFirst && this->runs == 1);
            co_await sendText(socket, text);
            if (isLast)
                co_return;
        }
    }

    Answer answer;
    bool isClosed;
};

/**
 * Lets a gateway know the software version of an earlier stream.
 *
 * @return the header fields of a call that takes that stream up after its first event.
 */
inline HttpHeaders takeUpFields(GatewayFixture &fixture)
{
    const std::string identifier = "former";
    fixture.runVersions().record(RunKey::of(ClientAccountName("account"), identifier), "service",
                                 SoftwareVersion("v1"));
    return {{"After", "1"}, {"Resumes", identifier}};
}

/** Returns whether connections were checked for a crash of the server. */
inline bool hasCheckedForCrash(const GatewayFixture &fixture)
{
    return fixture.metricsText().find("sassafrasyard_crash_checks_total{") != std::string::npos;
}

} // namespace sassafrasyard
