#pragma once

#include "gatewayfixture.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace sassafrasyard {

/** Several gateways on loopback that share one thread and their backend servers. */
class GatewayHosts
{
public:
    /** The request header field that names the host to which a caller sent the call. */
    static constexpr const char *hostField = "Entry-Host";

    /** Creates hosts without servers. */
    explicit GatewayHosts(std::size_t count)
        : context(std::make_shared<boost::asio::io_context>())
    {
        for (std::size_t index = 0; index < count; ++index) {
            const std::string name = "host-" + std::to_string(index);
            this->hosts.push_back(std::make_unique<GatewayFixture>(this->context, name));
        }
    }

    /** Adds a route on all hosts. */
    void addRoute(const Route &route)
    {
        for (const auto &host : this->hosts)
            host->addRoute(route);
    }

    /** Registers a server with all hosts. */
    void registerServer(const std::string &name, const std::string &address)
    {
        for (const auto &host : this->hosts)
            host->registerServer(name, address);
    }

    /** Returns the number of hosts. */
    std::size_t size() const { return this->hosts.size(); }

    /** Sends a call through a host without waiting. */
    void send(std::size_t host, const std::string &path, std::function<void(HttpResponse)> handler)
    {
        const std::string id = "call-" + std::to_string(++this->callCount);
        const HttpHeaders headers{{hostField, "host-" + std::to_string(host)}};
        this->hosts[host]->send(GatewayFixture::makeCall(path, id, headers), std::move(handler));
    }

    /** Runs the hosts and their periodic work for a time. */
    void runFor(Milliseconds time)
    {
        const Milliseconds end = Clock::steady().now() + time;
        while (Clock::steady().now() < end) {
            const Milliseconds left = end - Clock::steady().now();
            this->context->run_for(std::min(left, Milliseconds(20)));
            for (const auto &host : this->hosts)
                host->advance();
        }
    }

    std::shared_ptr<boost::asio::io_context> context;
    std::vector<std::unique_ptr<GatewayFixture>> hosts;

private:
    std::uint64_t callCount = 0;
};

} // namespace sassafrasyard
