#pragma once

#include "gatewayhosts.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
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

/** A stand-in for a host that takes relayed calls. */
class PeerStandIn
{
public:
    /** Listens on a free port. */
    PeerStandIn(boost::asio::io_context &context, const GatewayFixture::Handler &handler)
        : server(
                context, HttpServerOptions(),
                [this, handler](const HttpRequest &request, HttpResponder &responder) {
                    this->received.push_back(request);
                    return handler(request, responder);
                },
                errorResponse)
    {
        Error reason;
        this->endpoint = *this->server.listen({"127.0.0.1", 0}, reason);
    }

    /** Returns where it takes calls, "IP:port". */
    std::string address() const { return this->endpoint.toString(); }

    std::vector<HttpRequest> received;

private:
    HttpServer server;
    Endpoint endpoint;
};

/** Forwards connections to a server until it is cut; its address stays the same. */
class ServerPath : public std::enable_shared_from_this<ServerPath>
{
public:
    /** Creates a path. @param target the address of the server. */
    ServerPath(boost::asio::io_context &context, const std::string &target)
        : context(context)
        , acceptor(context)
        , local(boost::asio::ip::make_address("127.0.0.1"), std::uint16_t{0})
    {
        Error reason;
        const auto endpoint = parseEndpoint(target, reason);
        this->server = {this->local.address(), endpoint->port};
        this->bind();
        this->open();
    }

    /** Returns the address at which connections are accepted while it is open, "IP:port". */
    std::string address() const { return "127.0.0.1:" + std::to_string(this->local.port()); }

    /** Accepts connections, at the same port each time. */
    void open() { this->acceptor.listen(); }

    /** Starts to forward. */
    void start()
    {
        boost::asio::co_spawn(
                this->context, [self = this->shared_from_this()] { return self->accept(); },
                boost::asio::detached);
    }

    /** Refuses connections and closes the open ones. */
    void cut()
    {
        boost::system::error_code ignored;
        this->acceptor.close(ignored);
        for (const auto &socket : this->sockets)
            socket->close(ignored);
        this->sockets.clear();
        // Bound without listening, the port refuses connections and no other process can take it.
        this->bind();
    }

private:
    using Socket = boost::asio::ip::tcp::socket;

    void bind()
    {
        this->acceptor.open(this->local.protocol());
        this->acceptor.set_option(boost::asio::socket_base::reuse_address(true));
        this->acceptor.bind(this->local);
        this->local = this->acceptor.local_endpoint();
    }

    boost::asio::awaitable<void> accept()
    {
        namespace net = boost::asio;
        boost::system::error_code failure;
        while (!failure) {
            auto near = std::make_shared<Socket>(this->context);
            co_await this->acceptor.async_accept(*near,
                                                 net::redirect_error(net::use_awaitable, failure));
            auto far = std::make_shared<Socket>(this->context);
            if (!failure)
                co_await far->async_connect(this->server,
                                            net::redirect_error(net::use_awaitable, failure));
            if (failure)
                co_return;
            this->sockets.push_back(near);
            this->sockets.push_back(far);
            this->forward(near, far);
            this->forward(far, near);
        }
    }

    void forward(const std::shared_ptr<Socket> &from, const std::shared_ptr<Socket> &to)
    {
        boost::asio::co_spawn(
                this->context, [from, to] { return copyBytes(from, to); }, boost::asio::detached);
    }

    static boost::asio::awaitable<void> copyBytes(std::shared_ptr<Socket> from,
                                                  std::shared_ptr<Socket> to)
    {
        namespace net = boost::asio;
        std::array<char, 4096> bytes{};
        boost::system::error_code failure;
        while (!failure) {
            const std::size_t count = co_await from->async_read_some(
                    net::buffer(bytes), net::redirect_error(net::use_awaitable, failure));
            if (!failure)
                co_await net::async_write(*to, net::buffer(bytes.data(), count),
                                          net::redirect_error(net::use_awaitable, failure));
        }
        boost::system::error_code ignored;
        from->close(ignored);
        to->close(ignored);
    }

    boost::asio::io_context &context;
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::ip::tcp::endpoint local;
    boost::asio::ip::tcp::endpoint server;
    std::vector<std::shared_ptr<Socket>> sockets;
};

/** Hosts of which the first one is cut off from the servers that the others reach. */
class StrandedHosts
{
public:
    /** What a connection of the first host to a server meets. */
    enum class Cut { Refused, Silent };

    /** Creates hosts and servers. */
    StrandedHosts(const Route &route, Cut cut, const GatewayFixture::Handler &handler,
                  std::size_t hostCount = 3, const std::optional<EngineProperties> &engine = {})
        : hosts(hostCount)
        , silence(*this->hosts.context)
        , cut(cut)
    {
        this->hosts.addRoute(route, engine);
        for (const std::string name : {"a", "b", "c"}) {
            this->hosts.hosts[1]->addServer(name, handler);
            this->addresses.push_back(this->hosts.hosts[1]->addressOf(name));
            for (std::size_t host = 2; host < hostCount; ++host)
                this->hosts.hosts[host]->registerServer(name, this->addresses.back());
        }
        this->strand();
    }

    /** Cuts a host off; the servers are down if all hosts are cut off. */
    void strand(std::size_t host = 0)
    {
        this->enterAddresses(host, [this](std::size_t) {
            return this->cut == Cut::Refused ? std::string("127.0.0.1:1") : this->silence.address();
        });
    }

    /** Lets a host reach the servers again. */
    void rejoin(std::size_t host = 0)
    {
        this->enterAddresses(host, [this](std::size_t server) { return this->addresses[server]; });
    }

    /** Lets the first host reach the servers on paths that can be cut without new entries. */
    void usePaths()
    {
        for (const std::string &address : this->addresses) {
            this->paths.push_back(std::make_shared<ServerPath>(*this->hosts.context, address));
            this->paths.back()->start();
        }
        this->enterAddresses(0,
                             [this](std::size_t server) { return this->paths[server]->address(); });
    }

    /** Cuts the paths of the first host. */
    void cutPaths()
    {
        for (const auto &path : this->paths)
            path->cut();
    }

    /** Restores the paths of the first host. */
    void restorePaths()
    {
        for (const auto &path : this->paths) {
            path->open();
            path->start();
        }
    }

    /** Lets a host find out that it is cut off. */
    void notice(std::size_t host = 0)
    {
        ContactMonitor &contacts = this->hosts.hosts[host]->contactMonitor();
        const Milliseconds end = Clock::steady().now() + Milliseconds(2000);
        while (!contacts.isUnreached(service) && Clock::steady().now() < end) {
            contacts.recordFailedConnection(service);
            this->hosts.runFor(Milliseconds(20));
        }
    }

    /** Returns where a host takes relayed calls, "IP:port". */
    std::string relayAddressOf(std::size_t host)
    {
        std::string address;
        boost::asio::co_spawn(
                *this->hosts.context,
                [this, host, &address]() -> boost::asio::awaitable<void> {
                    ServiceContactRequest request;
                    request.service = service;
                    ContactMonitor &contacts = this->hosts.hosts[host]->contactMonitor();
                    const auto reply = co_await contacts.answer(request);
                    address = reply.relayAddress;
                },
                boost::asio::detached);
        while (address.empty())
            this->hosts.runFor(Milliseconds(20));
        return address;
    }

    /**
     * Lets the first host find only these peers, by their peer address, at these relay addresses.
     *
     * @param answerTime how long they take to answer.
     */
    void setPeers(std::map<std::string, std::string> relayAddresses,
                  Milliseconds answerTime = Milliseconds(3))
    {
        this->hosts.hosts[0]->relayPeers().setAsk(
                [relayAddresses = std::move(relayAddresses), answerTime](
                        std::string address, ServiceContactRequest request, Milliseconds,
                        Error &) -> boost::asio::awaitable<std::optional<ServiceContactReply>> {
                    co_await GatewayFixture::pause(answerTime);
                    const auto found = relayAddresses.find(address);
                    if (found == relayAddresses.end())
                        co_return std::nullopt;
                    ServiceContactReply reply;
                    reply.sequence = request.sequence;
                    reply.isReached = true;
                    reply.relayAddress = found->second;
                    reply.configurationVersion = std::numeric_limits<std::uint64_t>::max();
                    co_return reply;
                });
    }

    /** Sends a call through the first host and waits for its response. */
    HttpResponse call(const std::string &path, const HttpHeaders &headers = {})
    {
        std::optional<HttpResponse> answer;
        this->hosts.send(
                0, path, [&answer](const HttpResponse &response) { answer = response; }, headers);
        while (!answer)
            this->hosts.runFor(Milliseconds(20));
        return *answer;
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

    /** Returns how many calls servers got, and how many of them peers have relayed. */
    std::size_t arrivals() const { return this->countArrivals({}); }
    std::size_t relayedArrivals() const { return this->countArrivals("Patience"); }

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
    static constexpr const char *service = "service";

    /** Counts the calls with a header field; relaying adds Patience to calls that had none. */
    std::size_t countArrivals(const std::string &field) const
    {
        std::size_t count = 0;
        for (const auto &host : this->hosts.hosts) {
            for (const ReceivedCall &call : host->received)
                count += field.empty() || findHeader(call.request.headers, field) ? 1 : 0;
        }
        return count;
    }

    template <typename AddressOf>
    void enterAddresses(std::size_t host, const AddressOf &addressOf)
    {
        this->revision += 1;
        const std::array<std::string, 3> names = {"a", "b", "c"};
        for (std::size_t server = 0; server < names.size(); ++server) {
            ServerEntry entry;
            entry.name = BackendServerName(names[server]);
            entry.service = service;
            entry.address = addressOf(server);
            entry.slots = 8;
            entry.softwareVersion = SoftwareVersion("v1");
            entry.revision = this->revision;
            this->hosts.hosts[host]->applyEntry(entry);
        }
    }

    SilentAddress silence;
    Cut cut;
    std::vector<std::string> addresses;
    std::vector<std::shared_ptr<ServerPath>> paths;
    std::uint64_t revision = 1;
};

} // namespace sassafrasyard
