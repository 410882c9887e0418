#pragma once

#include "gatewayfixture.h"

#include <boost/asio/post.hpp>

#include <cstddef>
#include <memory>
#include <set>
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
        this->connect();
    }

    /** Adds a route on all hosts. */
    void addRoute(const Route &route, const std::optional<EngineProperties> &engine = {})
    {
        for (const auto &host : this->hosts)
            host->addRoute(route, engine);
    }

    /** Registers a server with all hosts. */
    void registerServer(const std::string &name, const std::string &address,
                        const std::string &softwareVersion = "v1")
    {
        for (const auto &host : this->hosts)
            host->registerServer(name, address, 8, softwareVersion);
    }

    /** Lets a host no longer answer the others. */
    void loseHost(std::size_t host) { this->lostHosts.insert(host); }

    /** Lets a lost host answer the others again. */
    void returnHost(std::size_t host) { this->lostHosts.erase(host); }

    /** Returns the number of hosts. */
    std::size_t size() const { return this->hosts.size(); }

    /** Sends a call through a host without waiting. */
    void send(std::size_t host, const std::string &path, std::function<void(HttpResponse)> handler,
              HttpHeaders headers = {})
    {
        const std::string id = "call-" + std::to_string(++this->callCount);
        headers.emplace_back(hostField, "host-" + std::to_string(host));
        this->hosts[host]->send(GatewayFixture::makeCall(path, id, headers), std::move(handler));
    }

    /** Lets the hosts send each other the requests that crashed servers, as load updates do. */
    void shareQuarantines()
    {
        boost::asio::co_spawn(
                *this->context, [this] { return this->sendQuarantines(); }, boost::asio::detached);
    }

    /** Lets requests for permits between hosts go unanswered. */
    void silenceGranters() { this->isAskAnswered = false; }

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
    /** Makes the hosts known to each other, with a connection of some milliseconds in between. */
    void connect()
    {
        std::vector<MemberRecord> members;
        for (std::size_t index = 0; index < this->hosts.size(); ++index) {
            MemberRecord record;
            record.host = HostName("host-" + std::to_string(index));
            record.incarnation = HostIncarnation(record.host.toString() + "-run");
            record.peerAddress = std::to_string(index);
            members.push_back(record);
        }
        for (const auto &host : this->hosts) {
            host->publishMembers(members);
            host->advance();
            LimiterHooks hooks;
            hooks.ask = [this](std::string address, CallPermitRequest request, Milliseconds timeout,
                               Error &) -> boost::asio::awaitable<std::optional<CallPermitReply>> {
                if (!this->isAskAnswered) {
                    co_await GatewayFixture::pause(timeout);
                    co_return std::nullopt;
                }
                co_await GatewayFixture::pause(Milliseconds(3));
                const auto index = static_cast<std::size_t>(std::stoul(address));
                const CallPermitReply reply = this->hosts[index]->serverLimiter().answer(request);
                co_await GatewayFixture::pause(Milliseconds(3));
                co_return reply;
            };
            hooks.askCold =
                    [this](std::string address, ColdPermitRequest request, Milliseconds timeout,
                           Error &) -> boost::asio::awaitable<std::optional<CallPermitReply>> {
                if (!this->isAskAnswered) {
                    co_await GatewayFixture::pause(timeout);
                    co_return std::nullopt;
                }
                co_await GatewayFixture::pause(Milliseconds(3));
                const auto index = static_cast<std::size_t>(std::stoul(address));
                const CallPermitReply reply = this->hosts[index]->serverLimiter().answer(request);
                co_await GatewayFixture::pause(Milliseconds(3));
                co_return reply;
            };
            hooks.announce = [this, from = host.get()] {
                boost::asio::post(*this->context, [this, from] { this->tellOthers(*from); });
            };
            host->serverLimiter().setHooks(std::move(hooks));
            this->connectBrittleServers(*host);
            this->connectRunVersions(*host);
            this->connectRelays(*host);
        }
    }

    /** Lets a host relay calls to the others. */
    void connectRelays(GatewayFixture &host)
    {
        host.listenForPeers();
        host.relayPeers().setAsk(
                [this](std::string address, ServiceContactRequest request, Milliseconds timeout,
                       Error &) -> boost::asio::awaitable<std::optional<ServiceContactReply>> {
                    const std::size_t index = std::stoul(address);
                    if (this->lostHosts.contains(index)) {
                        co_await GatewayFixture::pause(timeout);
                        co_return std::nullopt;
                    }
                    co_await GatewayFixture::pause(Milliseconds(3));
                    co_return co_await this->hosts[index]->contactMonitor().answer(
                            std::move(request));
                });
    }

    /** Lets a host ask the others for places at brittle servers. */
    void connectBrittleServers(GatewayFixture &host)
    {
        BrittleHooks hooks;
        hooks.ask = [this](std::string address, PlacePermitRequest request, Milliseconds,
                           Error &) -> boost::asio::awaitable<std::optional<CallPermitReply>> {
            co_await GatewayFixture::pause(Milliseconds(3));
            GatewayFixture &asked = *this->hosts[std::stoul(address)];
            const CallPermitReply reply = asked.serverLimiter().brittleServers().answer(request);
            co_await GatewayFixture::pause(Milliseconds(3));
            co_return reply;
        };
        hooks.tell = [this](const std::string &address, const PlacePermitRequest &request) {
            boost::asio::post(*this->context, [this, index = std::stoul(address), request] {
                this->hosts[index]->serverLimiter().brittleServers().answer(request);
            });
        };
        host.serverLimiter().brittleServers().setHooks(std::move(hooks));
    }

    /** Lets a host tell and ask the others the software versions of streams. */
    void connectRunVersions(GatewayFixture &host)
    {
        RunExchangeHooks exchange;
        exchange.tell = [this](std::string address, RunVersionUpdate update, Milliseconds,
                               Error &) -> boost::asio::awaitable<bool> {
            co_await GatewayFixture::pause(Milliseconds(3));
            const std::size_t index = std::stoul(address);
            if (this->lostHosts.contains(index))
                co_return false;
            co_return this->hosts[index]->runVersions().recordUpdate(update).has_value();
        };
        exchange.ask = [this](std::string address, RunVersionRequest request, Milliseconds,
                              Error &) -> boost::asio::awaitable<std::optional<RunVersionReply>> {
            co_await GatewayFixture::pause(Milliseconds(3));
            const std::size_t index = std::stoul(address);
            if (this->lostHosts.contains(index))
                co_return std::nullopt;
            co_return this->hosts[index]->runVersions().answer(request);
        };
        this->exchanges.push_back(std::make_unique<RunVersionExchange>(
                host.entryState(), *this->context, std::move(exchange)));
        RunVersionsHooks hooks;
        hooks.tell = [exchange = this->exchanges.back().get()](const RunKey &run,
                                                               const std::string &service,
                                                               const SoftwareVersion &version) {
            exchange->tell(run, service, version);
        };
        hooks.ask = [exchange = this->exchanges.back().get()](RunKey run, std::string service) {
            return exchange->ask(run, std::move(service));
        };
        host.runVersions().setHooks(std::move(hooks));
    }

    boost::asio::awaitable<void> sendQuarantines()
    {
        while (true) {
            for (const auto &from : this->hosts) {
                const auto records = co_await from->dispatchService().quarantineRecords();
                for (const auto &to : this->hosts) {
                    if (to != from)
                        to->dispatchService().post(
                                [records](Dispatcher &dispatcher, Milliseconds now) {
                                    dispatcher.recordPeerQuarantine(records, now);
                                });
                }
            }
            co_await GatewayFixture::pause(quarantineInterval);
        }
    }

    void tellOthers(GatewayFixture &from)
    {
        const std::vector<CallLimitMessage> messages = from.serverLimiter().messages();
        for (const auto &host : this->hosts) {
            if (host.get() != &from)
                host->serverLimiter().recordMessages(messages);
        }
    }

    /** The interval of load updates between hosts. */
    static constexpr Milliseconds quarantineInterval{250};

    std::uint64_t callCount = 0;
    bool isAskAnswered = true;
    std::set<std::size_t> lostHosts;
    std::vector<std::unique_ptr<RunVersionExchange>> exchanges;
};

} // namespace sassafrasyard
