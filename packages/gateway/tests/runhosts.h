#pragma once

#include "gateway/gateway.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sassafrasyard {

/** Returns the key of a numbered stream. */
inline RunKey keyOf(int run)
{
    return RunKey::of(ClientAccountName("account"), "call-" + std::to_string(run));
}

/** Several hosts that exchange messages in memory, with some milliseconds in between. */
class RunHosts
{
public:
    /** Starts hosts. @param replicates whether they tell streams to hosts that join. */
    explicit RunHosts(std::size_t count, std::size_t domains = 3, bool replicates = false)
        : replicates(replicates)
    {
        for (std::size_t index = 0; index < count; ++index)
            this->addHost(index, domains);
        this->publishMembers();
    }

    /** Starts a host in one of the failure domains; publishMembers() makes it known. */
    void addHost(std::size_t index, std::size_t domains)
    {
        Settings settings;
        settings.host = HostName("host-" + std::to_string(index));
        settings.failureDomain = FailureDomainName("d" + std::to_string(index % domains));
        auto host = std::make_unique<Host>();
        host->entry =
                std::make_unique<EntryState>(settings,
                                             HostIncarnation(settings.host.toString() + "-run-"
                                                             + std::to_string(++this->startCount)));
        host->runs = std::make_unique<RunVersions>(Clock::steady(), RunVersionsOptions{64});
        host->exchange = std::make_unique<RunVersionExchange>(*host->entry, this->context,
                                                              this->makeHooks(*host));
        RunVersionsHooks hooks;
        hooks.tell = [exchange = host->exchange.get()](const RunKey &run,
                                                       const std::string &service,
                                                       const SoftwareVersion &version) {
            exchange->tell(run, service, version);
        };
        hooks.ask = [exchange = host->exchange.get()](RunKey run, std::string service) {
            return exchange->ask(run, std::move(service));
        };
        hooks.soleVersion = [state = host.get()](std::string_view) {
            return state->soleVersion;
        };
        host->servers = std::make_unique<ListConfirmations>(this->context, Clock::steady());
        hooks.awaitServers = [this, state = host.get()](Milliseconds than, Milliseconds endAt) {
            if (!state->isCutOff)
                boost::asio::co_spawn(this->context, RunHosts::readServers(*state),
                                      boost::asio::detached);
            return state->servers->waitForNewer(than, endAt);
        };
        host->runs->setHooks(std::move(hooks));
        host->replicator = std::make_unique<RunReplicator>(
                *host->entry, this->context, *host->exchange,
                [runs = host->runs.get()] { return runs->statements(); });
        host->isReplicating = this->replicates;
        this->hosts.push_back(std::move(host));
    }

    /** Lets all hosts know the state of each. */
    void publishMembers()
    {
        std::vector<MemberRecord> members;
        for (std::size_t index = 0; index < this->hosts.size(); ++index) {
            MemberRecord record;
            record.host = this->hosts[index]->entry->settings.host;
            record.incarnation = this->hosts[index]->entry->incarnation;
            record.failureDomain = this->hosts[index]->entry->settings.failureDomain;
            record.peerAddress = std::to_string(index);
            record.state = this->hosts[index]->isGone ? MemberState::Dead : MemberState::Alive;
            members.push_back(record);
        }
        ++this->memberChanges;
        for (const auto &host : this->hosts)
            host->entry->publishMembers(members, this->memberChanges);
    }

    /** Starts a host again, with an empty memory, and lets all hosts know. */
    void restart(std::size_t index, std::size_t domains = 3)
    {
        this->stopped.push_back(std::move(this->hosts[index]));
        this->addHost(index, domains);
        std::swap(this->hosts[index], this->hosts.back());
        this->hosts.pop_back();
        this->publishMembers();
    }

    /** Stops a host as planned: it tells the others what it knows. */
    void stop(std::size_t index)
    {
        this->hosts[index]->replicator->handOver();
        this->runFor(Milliseconds(200));
        this->hosts[index]->isGone = true;
        this->publishMembers();
        this->runFor(Milliseconds(200));
    }

    /** Runs the hosts and their periodic work for a time. */
    void runFor(Milliseconds time)
    {
        const Milliseconds end = Clock::steady().now() + time;
        while (Clock::steady().now() < end) {
            this->context.restart();
            this->context.run_for(std::min(time, Milliseconds(20)));
            for (const auto &host : this->hosts) {
                if (!host->isGone && host->isReplicating)
                    host->replicator->advance();
            }
        }
    }

    /** Runs a search at a host until it has ended. */
    std::optional<SoftwareVersion> find(std::size_t host, int run,
                                        const std::string &service = "service")
    {
        std::optional<SoftwareVersion> found;
        bool hasEnded = false;
        boost::asio::co_spawn(
                this->context,
                [&]() -> boost::asio::awaitable<void> {
                    found = co_await this->hosts[host]->runs->find(
                            keyOf(run), service, Clock::steady().now() + findTimeout);
                    hasEnded = true;
                },
                boost::asio::detached);
        this->context.restart();
        while (!hasEnded)
            this->context.run_one();
        return found;
    }

    /** Returns what a host knows of the streams. */
    RunVersions &runs(std::size_t host) { return *this->hosts[host]->runs; }

    /** How long a search may take, in milliseconds. */
    static constexpr Milliseconds findTimeout{400};

    /** A host; the exchanges of stopped ones may still be in progress. */
    struct Host
    {
        std::unique_ptr<EntryState> entry;
        std::unique_ptr<RunVersions> runs;
        std::unique_ptr<RunVersionExchange> exchange;
        std::unique_ptr<RunReplicator> replicator;
        std::unique_ptr<ListConfirmations> servers;
        /** The sole version by the list of servers that this host knows. */
        std::optional<SoftwareVersion> soleVersion;
        /** What becomes of soleVersion by the next list. */
        std::function<void()> onServersRead;
        /** Whether it reaches neither the store nor other hosts. */
        bool isCutOff = false;
        bool isReplicating = false;
        bool isGone = false;
        bool isSilent = false;
        std::size_t updates = 0;
        std::size_t requests = 0;
    };

    boost::asio::io_context context;
    std::vector<std::unique_ptr<Host>> hosts;

private:
    static boost::asio::awaitable<void> pause(Milliseconds time)
    {
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, time);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }

    /** Reads the list of servers once, as of an instant later than the present one. */
    static boost::asio::awaitable<void> readServers(Host &host)
    {
        co_await RunHosts::pause(Milliseconds(3));
        const Milliseconds requestedAt = Clock::steady().now();
        co_await RunHosts::pause(Milliseconds(3));
        if (host.onServersRead)
            host.onServersRead();
        host.servers->confirm(requestedAt);
    }

    /** Returns the functions by which a host reaches the others. */
    RunExchangeHooks makeHooks(const Host &from)
    {
        RunExchangeHooks hooks;
        hooks.tell = [this, &from](std::string address, RunVersionUpdate update,
                                   Milliseconds timeout, Error &) -> boost::asio::awaitable<bool> {
            Host &host = *this->hosts[std::stoul(address)];
            ++host.updates;
            const bool isUnreachable = host.isSilent || host.isCutOff || from.isCutOff;
            co_await RunHosts::pause(isUnreachable ? timeout : Milliseconds(3));
            if (host.isGone || isUnreachable)
                co_return false;
            co_return host.runs->recordUpdate(update).has_value();
        };
        hooks.ask = [this,
                     &from](std::string address, RunVersionRequest request, Milliseconds timeout,
                            Error &) -> boost::asio::awaitable<std::optional<RunVersionReply>> {
            Host &host = *this->hosts[std::stoul(address)];
            ++host.requests;
            const bool isUnreachable = host.isSilent || host.isCutOff || from.isCutOff;
            co_await RunHosts::pause(isUnreachable ? timeout : Milliseconds(3));
            if (host.isGone || isUnreachable)
                co_return std::nullopt;
            co_return host.runs->answer(request);
        };
        return hooks;
    }

    std::uint64_t memberChanges = 0;
    std::uint64_t startCount = 0;
    bool replicates;
    std::vector<std::unique_ptr<Host>> stopped;
};

} // namespace sassafrasyard
