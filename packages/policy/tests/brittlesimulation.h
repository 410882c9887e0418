#pragma once

#include "policy/policy.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sassafrasyard {

/** Settings of a BrittleSimulation. */
struct BrittleSimulationOptions
{
    /** The entry hosts. */
    std::size_t hostCount = 9;
    /** The servers of the service. */
    std::size_t serverCount = 12;
    /** The calls that each server processes at the same time. */
    std::size_t slots = 8;
    /** The rejections a second above which a server falls over. */
    double rejectionLimit = 3.0;
    /** The calls of all callers, as a fraction of what the servers can process. */
    double demand = 1.0;
    /** Whether servers fall over; if not, only their queues shrink. */
    bool canFall = true;
    /** The seed of all random choices. */
    std::uint64_t seed = 1;
    /** Whether hosts use SharedConcurrency at brittle servers. */
    bool sharesPlaces = false;
};

/**
 * Entry hosts in front of a service whose servers are brittle for a time, in virtual time.
 *
 * From windowTime after the servers first said that they are brittle, each lets only few calls
 * wait, and falls over when it rejects more than the limit within a second. The hosts choose
 * servers by their own calls and by what peers published, as ServerPool does.
 */
class BrittleSimulation
{
public:
    /** When the servers begin to say that they are brittle. */
    static constexpr Milliseconds statedFrom{5000};
    /** When that time ends. */
    static constexpr Milliseconds statedUntil{35000};
    /** How long after the first statement the servers behave as before. */
    static constexpr Milliseconds windowTime{3000};

    explicit BrittleSimulation(const BrittleSimulationOptions &options)
        : options(options)
        , random(options.seed)
        , servers(options.serverCount)
        , published(options.serverCount, 0)
    {
        std::vector<PermitHost> members;
        for (std::size_t index = 0; index < options.hostCount; ++index) {
            Host host(index);
            host.outstanding.resize(options.serverCount);
            host.published.resize(options.serverCount);
            host.avoidedUntil.resize(options.serverCount);
            host.noticeDelay = this->delay(50, 600);
            this->hosts.push_back(std::move(host));
            members.push_back({hostName(index), true});
        }
        for (std::size_t index = 0; index < options.serverCount; ++index)
            this->servers[index].run = runName(index, this->servers[index].process);
        for (Host &host : this->hosts)
            host.places.setHosts(members, Milliseconds(0));
    }

    /** Plays the whole time. */
    void run()
    {
        for (std::size_t index = 0; index < this->hosts.size(); ++index) {
            this->at(this->delay(0, 1000), [this, index] { this->publish(index); });
            this->at(this->delay(0, 1000), [this, index] { this->reportPlaces(index); });
        }
        this->scheduleArrival();
        while (!this->events.empty() && this->events.begin()->first <= statedUntil) {
            auto event = this->events.extract(this->events.begin());
            this->now = event.key();
            event.mapped()();
        }
    }

    /** Lets a server fall over for another reason, which falls() does not count. */
    void loseServer(std::size_t index, Milliseconds instant)
    {
        this->at(instant, [this, index] { this->fall(index); });
    }

    /** Returns how often servers fell over. */
    std::size_t falls() const { return this->fallCount; }
    /** Returns how many calls were served while the servers were brittle. */
    std::size_t served() const { return this->servedCount; }
    /** Returns how many calls servers rejected while they were brittle. */
    std::size_t rejected() const { return this->rejectedCount; }

private:
    static inline const std::string hostPrefix = "host-";
    static constexpr const char *service = "service";
    static constexpr int shortestWork = 200;
    static constexpr int longestWork = 600;
    static constexpr std::size_t brittleQueue = 3;
    static constexpr Milliseconds maximumWait{550};
    static constexpr int maximumAttempts = 3;
    /** How long a peer's published calls count, because they end soon. */
    static constexpr Milliseconds publishedLifetime{400};

    struct Call
    {
        std::size_t host = 0;
        Milliseconds arrivedAt{0};
        Milliseconds sentAt{0};
        int attempts = 0;
        std::set<std::size_t> tried;
        /** The server process that the call was sent to. */
        BackendServerName run;
    };
    using CallPointer = std::shared_ptr<Call>;

    struct Host
    {
        explicit Host(std::size_t index)
            : places(hostName(index), HostIncarnation(hostName(index).toString() + "-run"))
        {
        }

        SharedConcurrency places;
        BrittleStatements statements;
        std::deque<CallPointer> waiting;
        std::vector<int> outstanding;
        std::vector<int> published;
        std::vector<Milliseconds> avoidedUntil;
        /** How long after a change of a server this host learns of it. */
        Milliseconds noticeDelay{0};
        bool isPollScheduled = false;
    };

    struct Server
    {
        std::size_t running = 0;
        std::deque<CallPointer> queue;
        std::deque<Milliseconds> rejections;
        std::uint32_t process = 1;
        BackendServerName run;
        bool isUp = true;
        Milliseconds changedAt{-10000};
    };

    enum class Result { Served, Rejected, Lost };

    static HostName hostName(std::size_t index)
    {
        return HostName(hostPrefix + std::to_string(index));
    }

    static BackendServerName runName(std::size_t server, std::uint32_t process)
    {
        return BackendServerName("server-" + std::to_string(server) + "/"
                                 + std::to_string(process));
    }

    const BackendServerName &runOf(std::size_t server) const { return this->servers[server].run; }

    void at(Milliseconds instant, std::function<void()> action)
    {
        this->events.emplace(instant, std::move(action));
    }

    void after(Milliseconds time, std::function<void()> action)
    {
        this->at(this->now + time, std::move(action));
    }

    Milliseconds delay(int shortest, int longest)
    {
        const auto range = static_cast<std::uint64_t>(longest - shortest) + 1;
        return Milliseconds(shortest + static_cast<int>(this->random.below(range)));
    }

    bool isStated() const { return this->now >= statedFrom && this->now < statedUntil; }
    bool isBrittle() const { return this->now >= statedFrom + windowTime; }

    void scheduleArrival()
    {
        constexpr double meanWorkSeconds = 0.001 * (shortestWork + longestWork) / 2.0;
        constexpr double resolution = 1e6;
        const double capacity = static_cast<double>(this->options.serverCount * this->options.slots)
                / meanWorkSeconds;
        const double uniform =
                (static_cast<double>(this->random.below(static_cast<std::uint64_t>(resolution)))
                 + 1.0)
                / resolution;
        this->nextArrival += -std::log(uniform) / (capacity * this->options.demand);
        this->at(Milliseconds(std::llround(this->nextArrival * 1000.0)), [this] {
            auto call = std::make_shared<Call>();
            call->host = this->random.below(this->hosts.size());
            call->arrivedAt = this->now;
            this->enqueue(call);
            this->scheduleArrival();
        });
    }

    void enqueue(const CallPointer &call)
    {
        this->hosts[call->host].waiting.push_back(call);
        this->placeWaiting(call->host);
    }

    void placeWaiting(std::size_t index)
    {
        Host &host = this->hosts[index];
        while (!host.waiting.empty()) {
            const CallPointer call = host.waiting.front();
            if (this->now - call->arrivedAt < maximumWait && !this->areAllPaused(index, *call)) {
                const std::size_t server = this->chooseServer(index, *call);
                if (server == this->servers.size())
                    break;
                host.waiting.pop_front();
                this->start(call, server);
                continue;
            }
            host.waiting.pop_front();
        }
        if (host.waiting.empty() || host.isPollScheduled)
            return;
        host.isPollScheduled = true;
        this->after(Milliseconds(20), [this, index] {
            this->hosts[index].isPollScheduled = false;
            this->placeWaiting(index);
        });
    }

    /** Returns the server with the lowest estimated load, or servers.size() if all are full. */
    std::size_t chooseServer(std::size_t index, const Call &call)
    {
        const Host &host = this->hosts[index];
        std::size_t best = this->servers.size();
        int lowest = static_cast<int>(this->options.slots);
        const std::size_t first = this->random.below(this->servers.size());
        for (std::size_t offset = 0; offset < this->servers.size(); ++offset) {
            const std::size_t server = (first + offset) % this->servers.size();
            const int peers = this->published[server] - host.published[server];
            const int load = host.outstanding[server] + peers;
            const bool isTried = call.tried.contains(server);
            if (load < lowest && this->seemsUsable(host, server) && !isTried
                && !host.places.pauseLeft(this->runOf(server), this->now)) {
                lowest = load;
                best = server;
            }
        }
        return best;
    }

    /** Returns whether the host must refuse a call because no server gives it a place now. */
    bool areAllPaused(std::size_t index, const Call &call) const
    {
        const Host &host = this->hosts[index];
        if (host.statements.isEmpty())
            return false;
        for (std::size_t server = 0; server < this->servers.size(); ++server) {
            if (this->seemsUsable(host, server) && !call.tried.contains(server)
                && !host.places.pauseLeft(this->runOf(server), this->now))
                return false;
        }
        return true;
    }

    bool seemsUsable(const Host &host, std::size_t server) const
    {
        const Server &state = this->servers[server];
        const bool isKnown = this->now - state.changedAt >= host.noticeDelay;
        return this->now >= host.avoidedUntil[server] && state.isUp == isKnown;
    }

    void start(const CallPointer &call, std::size_t server)
    {
        ++this->hosts[call->host].outstanding[server];
        call->tried.insert(server);
        if (this->options.sharesPlaces && !this->hosts[call->host].statements.isEmpty())
            this->ask(call, server);
        else
            this->send(call, server);
    }

    void ask(const CallPointer &call, std::size_t server)
    {
        Host &host = this->hosts[call->host];
        const PlaceRequest request = host.places.makeAsk(
                this->runOf(server), static_cast<std::uint32_t>(this->options.slots),
                *host.statements.rejectionLimit(service));
        this->request(call->host, request, [this, call, server, request](const CallPermit &permit) {
            Host &host = this->hosts[call->host];
            host.places.recordPermit(request, permit, this->now);
            if (permit.isGranted) {
                this->send(call, server);
                return;
            }
            --host.outstanding[server];
            this->enqueue(call);
        });
    }

    /** Sends a request to its granter, and the reply back. */
    void request(std::size_t index, const PlaceRequest &request,
                 const std::function<void(const CallPermit &)> &receive)
    {
        const HostName granter = this->hosts[index].places.granter(request.run);
        const std::size_t other = std::stoul(granter.toString().substr(hostPrefix.size()));
        if (other == index) {
            receive(this->hosts[index].places.decide(request, this->now));
            return;
        }
        this->after(this->delay(1, 12), [this, other, request, receive] {
            const CallPermit permit = this->hosts[other].places.decide(request, this->now);
            this->after(this->delay(1, 12), [receive, permit] { receive(permit); });
        });
    }

    void report(std::size_t index, const BackendServerName &run)
    {
        Host &host = this->hosts[index];
        const auto limit = host.statements.rejectionLimit(service);
        if (this->options.sharesPlaces && limit)
            this->request(index, host.places.makeReport(run, *limit), [](const CallPermit &) {});
    }

    /** Tells all hosts that the service is brittle. */
    void announce(const BackendServerName &run, double limit)
    {
        for (std::size_t index = 0; index < this->hosts.size(); ++index) {
            this->after(this->delay(1, 500), [this, index, run, limit] {
                this->hosts[index].statements.recordResponse(service, run, limit, this->now,
                                                             this->now);
            });
        }
    }

    void reportPlaces(std::size_t index)
    {
        Host &host = this->hosts[index];
        for (const BackendServerName &run : host.places.usedRuns())
            this->report(index, run);
        host.places.removeExpired(this->now);
        host.statements.removeExpired(this->now);
        this->after(SharedConcurrency::reportInterval,
                    [this, index] { this->reportPlaces(index); });
    }

    void send(const CallPointer &call, std::size_t server)
    {
        ++call->attempts;
        call->sentAt = this->now;
        call->run = this->runOf(server);
        this->hosts[call->host].places.recordSent(call->run);
        this->after(this->delay(1, 4), [this, call, server] { this->arrive(call, server); });
    }

    void arrive(const CallPointer &call, std::size_t index)
    {
        Server &server = this->servers[index];
        if (!server.isUp) {
            this->answer(call, index, Result::Lost);
            return;
        }
        const std::size_t places = this->isBrittle() ? brittleQueue : this->options.slots;
        if (server.running < this->options.slots) {
            this->process(call, index);
        } else if (server.queue.size() < places) {
            server.queue.push_back(call);
        } else {
            this->answer(call, index, Result::Rejected);
            this->recordRejection(index);
        }
    }

    void process(const CallPointer &call, std::size_t index)
    {
        Server &server = this->servers[index];
        ++server.running;
        const std::uint32_t process = server.process;
        this->after(this->delay(shortestWork, longestWork), [this, call, index, process] {
            Server &server = this->servers[index];
            if (server.process != process) {
                this->answer(call, index, Result::Lost);
                return;
            }
            --server.running;
            this->answer(call, index, Result::Served);
            if (!server.queue.empty()) {
                const CallPointer next = server.queue.front();
                server.queue.pop_front();
                this->process(next, index);
            }
        });
    }

    void recordRejection(std::size_t index)
    {
        constexpr Milliseconds second{1000};
        Server &server = this->servers[index];
        if (!this->isBrittle())
            return;
        ++this->rejectedCount;
        server.rejections.push_back(this->now);
        while (this->now - server.rejections.front() >= second)
            server.rejections.pop_front();
        const auto count = static_cast<double>(server.rejections.size());
        if (!this->options.canFall || count <= this->options.rejectionLimit)
            return;
        ++this->fallCount;
        this->fall(index);
    }

    /** Ends a server's process with all its calls; another one starts later. */
    void fall(std::size_t index)
    {
        constexpr Milliseconds restartTime{4000};
        Server &server = this->servers[index];
        for (const CallPointer &call : server.queue)
            this->answer(call, index, Result::Lost);
        const std::uint32_t process = server.process;
        server = Server();
        server.process = process + 1;
        server.run = runName(index, server.process);
        server.isUp = false;
        server.changedAt = this->now;
        this->after(restartTime, [this, index] {
            this->servers[index].isUp = true;
            this->servers[index].changedAt = this->now;
        });
    }

    void answer(const CallPointer &call, std::size_t server, Result result)
    {
        const auto stated = this->isStated() && this->options.sharesPlaces
                ? std::optional(this->options.rejectionLimit)
                : std::nullopt;
        this->after(this->delay(1, 4), [this, call, server, result, stated] {
            this->receive(call, server, result, stated);
        });
    }

    void receive(const CallPointer &call, std::size_t server, Result result,
                 std::optional<double> stated)
    {
        constexpr Milliseconds avoidanceTime{1000};
        Host &host = this->hosts[call->host];
        --host.outstanding[server];
        host.places.recordEnded(call->run);
        if (result != Result::Lost) {
            const bool hasChanged = host.statements.recordResponse(service, call->run, stated,
                                                                   call->sentAt, this->now);
            if (hasChanged && stated)
                this->announce(call->run, *stated);
            if (result == Result::Rejected && !host.statements.isEmpty())
                host.places.recordRejection(call->run);
            this->report(call->host, call->run);
        }
        if (result == Result::Lost)
            host.avoidedUntil[server] = this->now + avoidanceTime;
        if (result == Result::Served && this->isStated())
            ++this->servedCount;
        if (result != Result::Served && call->attempts < maximumAttempts)
            this->enqueue(call);
        else
            this->placeWaiting(call->host);
    }

    void publish(std::size_t index)
    {
        Host &host = this->hosts[index];
        for (std::size_t server = 0; server < this->servers.size(); ++server) {
            this->published[server] += host.outstanding[server] - host.published[server];
            host.published[server] = host.outstanding[server];
        }
        const Milliseconds interval = this->publishInterval();
        if (interval > publishedLifetime)
            this->after(publishedLifetime, [this, index] { this->withdrawPublished(index); });
        this->after(interval, [this, index] { this->publish(index); });
    }

    /** Returns how often a host publishes its calls; large fleets do so less often. */
    Milliseconds publishInterval() const
    {
        constexpr Milliseconds shortestInterval{250};
        constexpr Milliseconds intervalPerHost{15};
        return std::max(shortestInterval, intervalPerHost * static_cast<int>(this->hosts.size()));
    }

    void withdrawPublished(std::size_t index)
    {
        Host &host = this->hosts[index];
        for (std::size_t server = 0; server < this->servers.size(); ++server) {
            this->published[server] -= host.published[server];
            host.published[server] = 0;
        }
    }

    BrittleSimulationOptions options;
    RandomSource random;
    Milliseconds now{0};
    double nextArrival = 0.0;
    std::multimap<Milliseconds, std::function<void()>> events;
    std::vector<Host> hosts;
    std::vector<Server> servers;
    /** The calls at each server that the hosts last published, of all hosts. */
    std::vector<int> published;
    std::size_t fallCount = 0;
    std::size_t servedCount = 0;
    std::size_t rejectedCount = 0;
};

} // namespace sassafrasyard
