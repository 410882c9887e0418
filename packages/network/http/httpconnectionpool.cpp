#include "network/http/httpconnectionpool.h"

#include <utility>

namespace sassafrasyard {

namespace net = boost::asio;

HttpConnectionPool::HttpConnectionPool(net::io_context &context, Clock clock,
                                       HttpConnectionPoolOptions options)
    : context(context)
    , clock(std::move(clock))
    , options(options)
{
}

net::awaitable<std::unique_ptr<HttpConnection>> HttpConnectionPool::acquire(
        Endpoint endpoint, Milliseconds maximumIdle, Milliseconds connectTimeout, Error &reason)
{
    const auto known = this->idleConnections.find(endpoint.toString());
    const Milliseconds now = this->clock.now();
    while (known != this->idleConnections.end() && !known->second.empty()) {
        // The most recently used connection is the one that the peer closes last.
        IdleConnection kept = std::move(known->second.back());
        if (now - kept.idleSince > maximumIdle || now >= kept.expiresAt) {
            known->second.back() = std::move(kept);
            break;
        }
        known->second.pop_back();
        if (kept.connection->isIdle())
            co_return std::move(kept.connection);
    }
    const net::any_io_executor executor = this->context.get_executor();
    auto opened = std::make_unique<HttpConnection>(executor, std::move(endpoint));
    const bool isOpen = co_await opened->connect(connectTimeout, reason);
    if (!isOpen)
        co_return nullptr;
    co_return opened;
}

void HttpConnectionPool::release(std::unique_ptr<HttpConnection> connection)
{
    if (!connection || !connection->isReusable())
        return;
    const Milliseconds now = this->clock.now();
    const auto keepAlive = connection->keepAlive();
    const Milliseconds lifetime =
            keepAlive ? *keepAlive - this->options.keepAliveMargin : this->options.idleTimeout;
    if (lifetime <= Milliseconds(0))
        return;
    auto &kept = this->idleConnections[connection->endpoint().toString()];
    if (kept.size() >= this->options.idlePerPeer)
        kept.pop_front();
    kept.push_back({std::move(connection), now, now + lifetime});
}

net::awaitable<std::optional<HttpResponse>> HttpConnectionPool::call(Endpoint endpoint,
                                                                     HttpRequest request,
                                                                     HttpCallLimits limits,
                                                                     Error &reason)
{
    request.headers.insert(request.headers.begin(), {"Host", endpoint.toString()});
    auto connection =
            co_await this->acquire(std::move(endpoint), limits.maximumIdle, limits.connect, reason);
    if (!connection)
        co_return std::nullopt;
    auto response = co_await connection->exchange(request, limits.responseTimeout, reason);
    if (!response)
        co_return std::nullopt;
    auto body = co_await connection->readAll(limits.maximumResponseBytes, limits.responseTimeout,
                                             reason);
    if (!body)
        co_return std::nullopt;
    this->release(std::move(connection));
    response->body = std::move(*body);
    co_return response;
}

void HttpConnectionPool::closeExpired()
{
    const Milliseconds now = this->clock.now();
    for (auto &[peer, kept] : this->idleConnections)
        std::erase_if(kept, [&](const IdleConnection &entry) { return now >= entry.expiresAt; });
    std::erase_if(this->idleConnections, [](const auto &entry) { return entry.second.empty(); });
}

std::size_t HttpConnectionPool::idleCount() const
{
    std::size_t count = 0;
    for (const auto &[peer, kept] : this->idleConnections)
        count += kept.size();
    return count;
}

} // namespace sassafrasyard
