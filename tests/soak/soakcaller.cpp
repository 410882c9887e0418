#include "soakcaller.h"

#include "plannedstop/standinservers.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <string_view>
#include <utility>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

constexpr int maximumPause = 150;
constexpr int certain = 100;

net::awaitable<void> pause(Milliseconds time)
{
    net::steady_timer timer(co_await net::this_coro::executor, time);
    co_await timer.async_wait(net::use_awaitable);
}

std::size_t countEvents(std::string_view body)
{
    constexpr std::string_view start = "id: ";
    std::size_t count = 0;
    for (auto at = body.find(start); at != std::string_view::npos; at = body.find(start, at + 1))
        ++count;
    return count;
}

} // namespace

std::string SoakCall::requestId() const
{
    return findHeader(this->request.headers, "Request-Id").value_or("");
}

bool SoakCall::isAnswered() const
{
    return this->result.isAnswer(StandInServers::answerTo(this->request));
}

std::string SoakCall::eventFault() const
{
    constexpr int successStatus = 200;
    const bool isComplete =
            this->result.end == CallEnd::Response && this->result.response.status == successStatus;
    const bool isStream = findHeader(this->request.headers, "Events").has_value();
    if (!isStream || (!isComplete && this->result.end != CallEnd::Cut))
        return {};
    const std::string expected = StandInServers::answerTo(this->request);
    const std::string &body = this->result.response.body;
    const std::string count = std::to_string(countEvents(body)) + " of "
            + std::to_string(countEvents(expected)) + " events";
    if (!expected.starts_with(body))
        return "twice or out of order, " + count;
    if (isComplete && body != expected)
        return "ends as complete after " + count;
    return {};
}

std::string SoakCall::describe() const
{
    constexpr std::size_t maximumText = 300;
    const bool isChunked = findHeader(this->request.headers, "Transfer-Encoding").has_value();
    return this->request.target + (isChunked ? " in chunks" : "") + " ended after "
            + std::to_string(this->elapsed.count())
            + " ms: " + this->result.describe().substr(0, maximumText);
}

SoakCaller::SoakCaller(net::io_context &context, Endpoint host, std::string name,
                       std::uint64_t seed)
    : context(context)
    , host(std::move(host))
    , name(std::move(name))
    , random(seed)
{
}

void SoakCaller::start(Milliseconds end)
{
    net::co_spawn(this->context, this->run(end), net::detached);
}

bool SoakCaller::isDone() const
{
    return this->hasEnded;
}

const std::vector<std::unique_ptr<SoakCall>> &SoakCaller::calls() const
{
    return this->sentCalls;
}

net::awaitable<void> SoakCaller::run(Milliseconds end)
{
    while (Clock::steady().now() < end) {
        co_await pause(Milliseconds(this->draw(0, maximumPause)));
        SoakCall &call = *this->sentCalls.emplace_back(std::make_unique<SoakCall>());
        call.request = this->makeRequest();
        const Milliseconds startedAt = Clock::steady().now();
        call.result = co_await this->send(call.request);
        call.elapsed = Clock::steady().now() - startedAt;
        if (call.result.end != CallEnd::Response)
            this->connection.reset();
    }
    this->hasEnded = true;
}

/** Sends a request, in pieces or in one write, on the open connection or a new one. */
net::awaitable<CallResult> SoakCaller::send(const HttpRequest &request)
{
    constexpr int pieceChance = 30;
    CallResult result;
    if (!this->connection) {
        this->connection = std::make_unique<CallerConnection>(this->context, this->host);
        const bool isConnected = co_await this->connection->connect();
        if (!isConnected) {
            result.end = CallEnd::NotConnected;
            co_return result;
        }
    }
    std::string bytes = CallerConnection::toText(request);
    if (this->draw(1, certain) <= pieceChance)
        result.end = co_await this->sendPieces(std::move(bytes));
    else
        result.end = co_await this->connection->send(std::move(bytes));
    if (result.end == CallEnd::Pending)
        result = co_await this->connection->receive();
    co_return result;
}

/** Sends bytes in pieces with pauses of up to 2.4 s together. */
net::awaitable<CallEnd> SoakCaller::sendPieces(std::string bytes)
{
    constexpr int pieces = 4;
    constexpr int longestPause = 800;
    CallEnd end = CallEnd::Pending;
    for (int left = pieces; left > 1 && end == CallEnd::Pending; --left) {
        const int size = this->draw(1, static_cast<int>(bytes.size()) - left);
        end = co_await this->connection->send(bytes.substr(0, static_cast<std::size_t>(size)));
        bytes.erase(0, static_cast<std::size_t>(size));
        co_await pause(Milliseconds(this->draw(0, longestPause)));
    }
    if (end == CallEnd::Pending)
        end = co_await this->connection->send(std::move(bytes));
    co_return end;
}

/** Makes a stream that may not be resumed or, rarely, a plain call that may run once. */
HttpRequest SoakCaller::makeRequest()
{
    constexpr int plainChance = 15;
    constexpr int secretChance = 40;
    constexpr int chunkChance = 60;
    const std::string requestId = this->name + "-" + std::to_string(this->sentCalls.size());
    HttpRequest request;
    request.method = "POST";
    request.body = "body of " + requestId;
    request.headers = {{"Host", "h"}, {"Request-Id", requestId}};
    std::string path = "/order/";
    if (this->draw(1, certain) <= plainChance) {
        constexpr int longestWork = 600;
        request.headers.emplace_back("Work-Ms", std::to_string(this->draw(0, longestWork)));
    } else {
        const int events = this->draw(10, 200);
        path = this->draw(1, certain) <= secretChance ? "/secret/" : "/story/";
        request.headers.emplace_back("Events", std::to_string(events));
        request.headers.emplace_back("Event-Ms", std::to_string(this->draw(10, 40)));
        request.headers.emplace_back("Token-Counts", "100," + std::to_string(events));
        request.headers.emplace_back("Authorization", "Bearer k1");
    }
    request.target = path + requestId;
    if (this->draw(1, certain) <= chunkChance)
        request.headers.emplace_back("Transfer-Encoding", "chunked");
    return request;
}

int SoakCaller::draw(int minimum, int maximum)
{
    return std::uniform_int_distribution<int>(minimum, maximum)(this->random);
}

} // namespace sassafrasyard
