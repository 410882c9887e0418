#pragma once

#include "gatewayhosts.h"

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <vector>

namespace sassafrasyard {

/** An address on loopback at which connections are neither accepted nor refused. */
class SilentAddress
{
public:
    /** Opens a listener whose queue is full. */
    explicit SilentAddress(boost::asio::io_context &context)
        : acceptor(context)
    {
        namespace net = boost::asio;
        const net::ip::tcp::endpoint any(net::ip::make_address("127.0.0.1"), std::uint16_t{0});
        this->acceptor.open(any.protocol());
        this->acceptor.bind(any);
        this->acceptor.listen(0);
        this->fillers.reserve(queueLength);
        for (int index = 0; index < queueLength; ++index) {
            this->fillers.emplace_back(context);
            this->fillers.back().async_connect(this->acceptor.local_endpoint(),
                                               [](boost::system::error_code) {});
        }
    }

    /** Returns the address, "IP:port". */
    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
    }

private:
    static constexpr int queueLength = 4;

    boost::asio::ip::tcp::acceptor acceptor;
    std::vector<boost::asio::ip::tcp::socket> fillers;
};

/** Hosts of which the first one is cut off from the servers that the others reach. */
class StrandedHosts
{
public:
    /** What a connection of the first host to a server meets. */
    enum class Cut { Refused, Silent };

    /** Creates hosts and servers. */
    StrandedHosts(const Route &route, Cut cut, const GatewayFixture::Handler &handler,
                  std::size_t hostCount = 3)
        : hosts(hostCount)
        , silence(*this->hosts.context)
        , cut(cut)
    {
        this->hosts.addRoute(route);
        for (const std::string name : {"a", "b", "c"}) {
            this->hosts.hosts[1]->addServer(name, handler);
            this->addresses.push_back(this->hosts.hosts[1]->addressOf(name));
            for (std::size_t host = 2; host < hostCount; ++host)
                this->hosts.hosts[host]->registerServer(name, this->addresses.back());
        }
        this->strand();
    }

    /** Cuts the first host off. */
    void strand()
    {
        this->enterAddresses([this](std::size_t) {
            return this->cut == Cut::Refused ? std::string("127.0.0.1:1") : this->silence.address();
        });
    }

    /** Lets the first host reach the servers again. */
    void rejoin()
    {
        this->enterAddresses([this](std::size_t server) { return this->addresses[server]; });
    }

    /** Sends calls through the first host at intervals; returns their statuses. */
    std::vector<int> sendCalls(const std::string &path, int count, Milliseconds interval)
    {
        std::vector<int> statuses;
        for (int index = 0; index < count; ++index) {
            this->hosts.send(0, path, [&statuses](const HttpResponse &response) {
                statuses.push_back(response.status);
            });
            this->hosts.runFor(interval);
        }
        while (statuses.size() < static_cast<std::size_t>(count))
            this->hosts.runFor(Milliseconds(20));
        return statuses;
    }

    /** Returns how often servers got each call, at most. */
    std::size_t mostArrivals() const
    {
        std::map<std::string, std::size_t> arrivals;
        std::size_t most = 0;
        for (const auto &host : this->hosts.hosts) {
            for (const ReceivedCall &call : host->received)
                most = std::max(most,
                                ++arrivals[findHeader(call.request.headers, "Id").value_or("")]);
        }
        return most;
    }

    GatewayHosts hosts;

private:
    template <typename AddressOf>
    void enterAddresses(const AddressOf &addressOf)
    {
        this->revision += 1;
        const std::array<std::string, 3> names = {"a", "b", "c"};
        for (std::size_t server = 0; server < names.size(); ++server) {
            ServerEntry entry;
            entry.name = BackendServerName(names[server]);
            entry.service = "service";
            entry.address = addressOf(server);
            entry.slots = 8;
            entry.softwareVersion = SoftwareVersion("v1");
            entry.revision = this->revision;
            this->hosts.hosts[0]->applyEntry(entry);
        }
    }

    SilentAddress silence;
    Cut cut;
    std::vector<std::string> addresses;
    std::uint64_t revision = 1;
};

} // namespace sassafrasyard
