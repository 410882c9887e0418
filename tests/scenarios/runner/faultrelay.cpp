#include "scenarios/runner/faultrelay.h"

#include "scenarios/runner/scenarioerror.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <atomic>
#include <cstdio>
#include <future>
#include <mutex>
#include <set>
#include <vector>

namespace sassafrasyard {

namespace net = boost::asio;
using tcp = net::ip::tcp;
using boost::system::error_code;
using Kind = RelayFault::Kind;

namespace {

constexpr std::size_t requestPrefixBytes = 64;
constexpr std::string_view headerEnd = "\r\n\r\n";
/** The end of a chunk that holds whole server-sent events. */
constexpr std::string_view eventChunkEnd = "\n\n\r\n";
constexpr std::string_view generationField = "\"generation\":\"";
constexpr std::string_view generationPlaceholder = "$GENERATION";

auto redirectError(error_code &code)
{
    return net::redirect_error(net::use_awaitable, code);
}

std::string eventChunk(const std::string &data)
{
    const std::string event = "data: " + data + "\n\n";
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
    return size.data() + event + "\r\n";
}

void replaceAll(std::string &text, std::string_view from, std::string_view to)
{
    std::size_t position = 0;
    while (!from.empty() && (position = text.find(from, position)) != std::string::npos) {
        text.replace(position, from.size(), to);
        position += to.size();
    }
}

} // namespace

namespace {

/** A pair of connections between which the relay forwards bytes. */
struct RelayedConnection
{
    explicit RelayedConnection(const net::any_io_executor &executor)
        : caller(executor)
        , server(executor)
    {
    }

    void close()
    {
        error_code ignored;
        this->caller.close(ignored);
        this->server.close(ignored);
    }

    tcp::socket caller;
    tcp::socket server;
    std::size_t replyBytes = 0;
    std::size_t events = 0;
    /** The reply bytes after the last complete event or the end of the headers. */
    std::string bytesSinceBoundary;
    std::string generation;
    bool dropsReply = false;
};

} // namespace

struct FaultRelay::Implementation : std::enable_shared_from_this<FaultRelay::Implementation>
{
    Implementation(net::io_context &context, const Endpoint &target)
        : context(context)
        , acceptor(context)
        , target(net::ip::make_address(target.address), target.port)
        , faultChanged(context)
    {
        this->faultChanged.expires_at(net::steady_timer::time_point::max());
    }

    void listen(const Endpoint &endpoint);
    void setFault(RelayFault next);
    net::awaitable<void> accept();
    net::awaitable<void> serve(std::shared_ptr<RelayedConnection> connection);
    net::awaitable<void> forwardRequest(std::shared_ptr<RelayedConnection> connection);
    net::awaitable<void> forwardReply(std::shared_ptr<RelayedConnection> connection);
    net::awaitable<void> waitWhileStalled();
    net::awaitable<void> wait(std::uint64_t milliseconds);
    bool applyFault(RelayedConnection &connection, std::string &bytes);
    void injectEvent(RelayedConnection &connection, std::string &bytes);
    void completeFault();

    net::io_context &context;
    tcp::acceptor acceptor;
    tcp::endpoint target;
    net::steady_timer faultChanged;
    RelayFault fault;
    std::set<std::shared_ptr<RelayedConnection>> connections;
    std::atomic<std::size_t> appliedFaults = 0;
    mutable std::mutex mutex;
    std::vector<std::string> requestPrefixes;
};

void FaultRelay::Implementation::listen(const Endpoint &endpoint)
{
    error_code code;
    const tcp::endpoint address(net::ip::make_address(endpoint.address), endpoint.port);
    this->acceptor.open(address.protocol(), code);
    if (!code)
        this->acceptor.set_option(net::socket_base::reuse_address(true), code);
    if (!code)
        this->acceptor.bind(address, code);
    if (!code)
        this->acceptor.listen(net::socket_base::max_listen_connections, code);
    if (code)
        throw ScenarioError(ScenarioErrorCode::ProcessFailed, "relay: " + code.message());
}

void FaultRelay::Implementation::setFault(RelayFault next)
{
    this->fault = std::move(next);
    if (this->fault.kind == Kind::Cut) {
        for (const auto &connection : this->connections)
            connection->close();
    }
    this->faultChanged.cancel();
}

net::awaitable<void> FaultRelay::Implementation::accept()
{
    const auto self = this->shared_from_this();
    error_code code;
    while (!code) {
        auto connection = std::make_shared<RelayedConnection>(this->context.get_executor());
        co_await this->acceptor.async_accept(connection->caller, redirectError(code));
        if (code)
            break;
        if (this->fault.kind == Kind::Cut) {
            connection->close();
            continue;
        }
        net::co_spawn(
                this->context, [self, connection] { return self->serve(connection); },
                net::detached);
    }
}

net::awaitable<void> FaultRelay::Implementation::serve(
        std::shared_ptr<RelayedConnection> connection)
{
    const auto self = this->shared_from_this();
    this->connections.insert(connection);
    co_await this->waitWhileStalled();
    error_code code;
    co_await connection->server.async_connect(this->target, redirectError(code));
    if (code) {
        connection->close();
        this->connections.erase(connection);
        co_return;
    }
    error_code ignored;
    connection->caller.set_option(tcp::no_delay(true), ignored);
    connection->server.set_option(tcp::no_delay(true), ignored);
    net::co_spawn(
            this->context, [self, connection] { return self->forwardRequest(connection); },
            net::detached);
    co_await this->forwardReply(connection);
    connection->close();
    this->connections.erase(connection);
}

net::awaitable<void> FaultRelay::Implementation::forwardRequest(
        std::shared_ptr<RelayedConnection> connection)
{
    const auto self = this->shared_from_this();
    std::array<char, 16384> buffer{};
    error_code code;
    bool isFirst = true;
    while (true) {
        const std::size_t count = co_await connection->caller.async_read_some(net::buffer(buffer),
                                                                              redirectError(code));
        if (code)
            break;
        co_await this->waitWhileStalled();
        if (isFirst) {
            isFirst = false;
            const std::lock_guard lock(this->mutex);
            this->requestPrefixes.emplace_back(buffer.data(), std::min(count, requestPrefixBytes));
        }
        co_await net::async_write(connection->server, net::buffer(buffer.data(), count),
                                  redirectError(code));
        if (code)
            break;
    }
    connection->close();
}

net::awaitable<void> FaultRelay::Implementation::forwardReply(
        std::shared_ptr<RelayedConnection> connection)
{
    std::array<char, 16384> buffer{};
    error_code code;
    while (true) {
        const std::size_t count = co_await connection->server.async_read_some(net::buffer(buffer),
                                                                              redirectError(code));
        if (code)
            co_return;
        co_await this->waitWhileStalled();
        if (this->fault.kind == Kind::Delay)
            co_await this->wait(this->fault.amount);
        std::string bytes(buffer.data(), count);
        const bool staysOpen = this->applyFault(*connection, bytes);
        co_await net::async_write(connection->caller, net::buffer(bytes), redirectError(code));
        if (code || !staysOpen)
            co_return;
    }
}

net::awaitable<void> FaultRelay::Implementation::waitWhileStalled()
{
    error_code ignored;
    while (this->fault.kind == Kind::Stall) {
        co_await this->faultChanged.async_wait(redirectError(ignored));
    }
}

net::awaitable<void> FaultRelay::Implementation::wait(std::uint64_t milliseconds)
{
    net::steady_timer timer(this->context);
    timer.expires_after(Milliseconds(static_cast<std::int64_t>(milliseconds)));
    error_code ignored;
    co_await timer.async_wait(redirectError(ignored));
}

bool FaultRelay::Implementation::applyFault(RelayedConnection &connection, std::string &bytes)
{
    switch (this->fault.kind) {
    case Kind::DropReply:
        bytes.clear();
        this->completeFault();
        return false;
    case Kind::CutAfterBytes:
        if (connection.replyBytes + bytes.size() < this->fault.amount)
            break;
        bytes.resize(this->fault.amount - std::min(this->fault.amount, connection.replyBytes));
        this->completeFault();
        return false;
    case Kind::ReplaceText:
        replaceAll(bytes, this->fault.text, this->fault.replacement);
        break;
    default:
        break;
    }
    connection.replyBytes += bytes.size();
    this->injectEvent(connection, bytes);
    return true;
}

void FaultRelay::Implementation::injectEvent(RelayedConnection &connection, std::string &bytes)
{
    std::string passed;
    for (const char character : bytes) {
        passed.push_back(character);
        connection.bytesSinceBoundary.push_back(character);
        const bool isHeaderEnd = connection.events == 0 && connection.generation.empty()
                && connection.bytesSinceBoundary.ends_with(headerEnd);
        const bool isEventEnd = connection.bytesSinceBoundary.ends_with(eventChunkEnd);
        if (!isHeaderEnd && !isEventEnd)
            continue;
        if (isEventEnd) {
            ++connection.events;
            const std::size_t field = connection.bytesSinceBoundary.find(generationField);
            if (field != std::string::npos) {
                const std::size_t begin = field + generationField.size();
                connection.generation = connection.bytesSinceBoundary.substr(
                        begin, connection.bytesSinceBoundary.find('"', begin) - begin);
            }
        }
        connection.bytesSinceBoundary.clear();
        if (this->fault.kind != Kind::InjectEvent || connection.events != this->fault.amount)
            continue;
        std::string data = this->fault.text;
        replaceAll(data, generationPlaceholder, connection.generation);
        passed += eventChunk(data);
        this->completeFault();
    }
    bytes = std::move(passed);
}

void FaultRelay::Implementation::completeFault()
{
    this->fault = {};
    ++this->appliedFaults;
}

FaultRelay::FaultRelay(net::io_context &context, const Endpoint &listen, const Endpoint &target)
    : implementation(std::make_shared<Implementation>(context, target))
{
    this->implementation->listen(listen);
    net::co_spawn(
            context, [state = this->implementation] { return state->accept(); }, net::detached);
}

FaultRelay::~FaultRelay()
{
    error_code ignored;
    this->implementation->acceptor.close(ignored);
    for (const auto &connection : this->implementation->connections)
        connection->close();
}

void FaultRelay::setFault(RelayFault fault)
{
    std::promise<void> applied;
    net::post(this->implementation->context, [&] {
        this->implementation->setFault(std::move(fault));
        applied.set_value();
    });
    applied.get_future().wait();
}

std::size_t FaultRelay::countRequests(std::string_view start) const
{
    const std::lock_guard lock(this->implementation->mutex);
    std::size_t count = 0;
    for (const std::string &request : this->implementation->requestPrefixes)
        count += request.starts_with(start) ? 1 : 0;
    return count;
}

std::size_t FaultRelay::appliedFaultCount() const
{
    return this->implementation->appliedFaults;
}

} // namespace sassafrasyard
