#pragma once

#include "policy/policy.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sassafrasyard {

/** Settings of a CallSimulation. */
struct CallSimulationOptions
{
    /** The hosts that run from the start. */
    std::size_t hostCount = 9;
    /** Further hosts that startHost() can start. */
    std::size_t spareCount = 0;
    /** The calls that callers send to all hosts together, a second. */
    double callsPerSecond = 60.0;
    /** The limit that the server states from 2 s on, in calls a second. */
    double limit = 3.0;
    /** The seed of all random choices. */
    std::uint64_t seed = 1;
};

/** Entry hosts in front of one backend server that states a call limit, in virtual time. */
class CallSimulation
{
public:
    /** How long a host or the server settles after a disturbance before its calls are judged. */
    static constexpr Milliseconds settlingTime{3000};
    /** The window in which calls are counted. */
    static constexpr Milliseconds window{4000};

    explicit CallSimulation(const CallSimulationOptions &options)
        : options(options)
        , random(options.seed)
    {
        for (std::size_t index = 0; index < options.hostCount + options.spareCount; ++index) {
            this->hosts.push_back(std::make_unique<Host>());
            this->hosts.back()->isUp = index < options.hostCount;
            this->createLimits(index);
        }
        this->at(Milliseconds(2000), [this] { this->setLimit(this->options.limit); });
    }

    /** Runs an action at an instant. */
    void at(Milliseconds instant, std::function<void()> action)
    {
        this->events.emplace(instant, std::move(action));
    }

    /** Changes what the server states. */
    void setLimit(std::optional<double> limit)
    {
        this->limit = limit;
        this->limits.emplace_back(this->now, limit);
        if (limit && !this->statedAt)
            this->statedAt = this->now;
    }

    /** Replaces the server's process by one without a limit. */
    void restartServer()
    {
        ++this->serverRun;
        this->statedAt.reset();
        this->setLimit({});
        for (const auto &host : this->hosts)
            host->toldAt.reset();
    }

    void startHost(std::size_t index)
    {
        this->hosts[index]->isUp = true;
        this->hosts[index]->hasLeft = false;
        this->disturb(index);
        this->createLimits(index);
        this->changeViews();
    }

    /** Stops a host as planned: the others learn at once that it leaves. */
    void stopHost(std::size_t index)
    {
        this->hosts[index]->isUp = false;
        this->hosts[index]->hasLeft = true;
        this->changeViews();
    }

    /** Ends a host without notice. */
    void killHost(std::size_t index)
    {
        this->hosts[index]->isUp = false;
        this->changeViews();
    }

    void restartHost(std::size_t index)
    {
        this->killHost(index);
        this->at(this->now + Milliseconds(400), [this, index] { this->startHost(index); });
    }

    void freezeHost(std::size_t index, Milliseconds time)
    {
        Host &host = *this->hosts[index];
        host.frozenUntil = this->now + time;
        this->disturb(index, time);
        this->changeViews();
        this->at(host.frozenUntil, [this] { this->changeViews(); });
    }

    /** Divides the hosts into groups that can't see each other; 1 unites them. */
    void split(std::size_t groups)
    {
        for (std::size_t index = 0; index < this->hosts.size(); ++index)
            this->hosts[index]->group = index % groups;
        this->changeViews();
    }

    /** Returns the host that the first host takes for the granter. */
    std::size_t granter() const
    {
        const HostName name = this->hosts[0]->limits->granter(this->run());
        for (std::size_t index = 0; index < this->hosts.size(); ++index) {
            if (name == hostName(index))
                return index;
        }
        return 0;
    }

    /** Plays until an instant. */
    void run(Milliseconds end)
    {
        for (std::size_t index = 0; index < this->hosts.size(); ++index) {
            this->updateView(index);
            this->scheduleCall(index);
        }
        while (!this->events.empty() && this->events.begin()->first <= end) {
            auto event = this->events.extract(this->events.begin());
            this->now = event.key();
            event.mapped()();
        }
    }

    /** Returns how many calls of any window exceed what the rule permits; at most 0 if kept. */
    double largestExcess() const
    {
        double largest = -1.0;
        for (std::size_t first = 0; first < this->judged.size(); ++first) {
            std::size_t count = 0;
            const Milliseconds start = this->judged[first];
            while (first + count < this->judged.size()
                   && this->judged[first + count] < start + window) {
                ++count;
            }
            if (const auto permitted = this->permittedCalls(start))
                largest = std::max(largest, static_cast<double>(count) - *permitted);
        }
        return largest;
    }

    /** Returns the calls that the server got in a time, a second. */
    double callRate(Milliseconds start, Milliseconds end) const
    {
        const auto count = std::count_if(this->arrivals.begin(), this->arrivals.end(),
                                         [&](Milliseconds at) { return at >= start && at < end; });
        return static_cast<double>(count) / std::chrono::duration<double>(end - start).count();
    }

private:
    struct Host
    {
        std::unique_ptr<SharedCallLimits> limits;
        bool isUp = true;
        bool hasLeft = false;
        std::size_t group = 0;
        Milliseconds frozenUntil{0};
        /** Until when the host is excused by the rule. */
        Milliseconds disturbedUntil{0};
        std::optional<Milliseconds> toldAt;
        std::uint32_t runNumber = 0;
    };

    static HostName hostName(std::size_t index)
    {
        return HostName("host-" + std::to_string(index));
    }

    BackendServerName run() const
    {
        return BackendServerName("server/" + std::to_string(this->serverRun));
    }

    Milliseconds delay(int shortest, int longest)
    {
        const auto range = static_cast<std::uint64_t>(longest - shortest) + 1;
        return Milliseconds(shortest + static_cast<int>(this->random.below(range)));
    }

    void createLimits(std::size_t index)
    {
        Host &host = *this->hosts[index];
        ++host.runNumber;
        host.toldAt.reset();
        host.limits = std::make_unique<SharedCallLimits>(hostName(index), this->random.next());
    }

    void disturb(std::size_t index, Milliseconds time = Milliseconds(0))
    {
        this->hosts[index]->disturbedUntil = this->now + time + settlingTime;
    }

    bool isRunning(std::size_t index) const
    {
        return this->hosts[index]->isUp && this->now >= this->hosts[index]->frozenUntil;
    }

    bool canSee(std::size_t from, std::size_t to) const
    {
        return this->isRunning(to) && this->hosts[from]->group == this->hosts[to]->group;
    }

    /** Lets each host learn of a change at a time of its own, as members do. */
    void changeViews()
    {
        for (std::size_t index = 0; index < this->hosts.size(); ++index) {
            this->at(this->now + this->delay(100, 1800),
                     [this, index] { this->updateView(index); });
            this->at(this->now + this->delay(2500, 5000),
                     [this, index] { this->updateView(index, true); });
        }
    }

    /** Updates what a host knows of the others; a lost host is noticed only by a later update. */
    void updateView(std::size_t index, bool noticesLosses = false)
    {
        Host &host = *this->hosts[index];
        if (!this->isRunning(index))
            return;
        std::vector<PermitHost> view;
        for (std::size_t other = 0; other < this->hosts.size(); ++other) {
            const Host &peer = *this->hosts[other];
            if (peer.hasLeft || (!peer.isUp && peer.runNumber == 1 && other >= options.hostCount))
                continue;
            const bool isSeen = other == index || this->canSee(index, other);
            bool &wasSeen = this->views[{index, other}];
            wasSeen = isSeen || (wasSeen && !noticesLosses);
            view.push_back({hostName(other), wasSeen});
        }
        host.limits->setHosts(view, this->now);
    }

    void scheduleCall(std::size_t index)
    {
        const double perHost =
                this->options.callsPerSecond / static_cast<double>(this->options.hostCount);
        const double mean = 1000.0 / perHost;
        const auto wait = static_cast<int>(mean * (0.5 + this->random.unit()));
        this->at(this->now + Milliseconds(std::max(1, wait)), [this, index] {
            if (this->isRunning(index))
                this->startCall(index);
            this->scheduleCall(index);
        });
    }

    void startCall(std::size_t index)
    {
        Host &host = *this->hosts[index];
        const BackendServerName name = this->run();
        if (!host.limits->statements().limit(name)) {
            this->sendCall(index);
            return;
        }
        if (host.limits->pauseLeft(name, this->now))
            return;
        const HostName granterName = host.limits->granter(name);
        if (granterName == hostName(index)) {
            this->finishAsk(index, host.runNumber, name,
                            host.limits->grant(name, false, this->now));
            return;
        }
        this->askGranter(index, granterName);
    }

    void askGranter(std::size_t index, const HostName &granterName)
    {
        const BackendServerName name = this->run();
        const std::uint32_t runNumber = this->hosts[index]->runNumber;
        std::size_t other = 0;
        while (hostName(other) != granterName)
            ++other;
        const CallLimitStatement stated = *this->hosts[index]->limits->statements().find(name);
        if (!this->canSee(index, other)) {
            this->at(this->now + Milliseconds(150), [this, index, runNumber, granterName] {
                if (this->hosts[index]->runNumber == runNumber)
                    this->hosts[index]->limits->recordSilence(granterName, this->now);
            });
            return;
        }
        this->at(this->now + this->delay(1, 12), [this, index, other, runNumber, name, stated] {
            if (!this->isRunning(other))
                return;
            SharedCallLimits &limits = *this->hosts[other]->limits;
            limits.recordPeerStatement(stated, this->now);
            const CallPermit permit = limits.grant(name, false, this->now);
            const CallLimitStatement *statement = limits.statements().find(name);
            const auto reply = statement ? std::optional(*statement) : std::nullopt;
            this->at(this->now + this->delay(1, 12), [this, index, runNumber, name, permit, reply] {
                if (reply && this->hosts[index]->runNumber == runNumber)
                    this->hosts[index]->limits->recordPeerStatement(*reply, this->now);
                this->finishAsk(index, runNumber, name, permit);
            });
        });
    }

    void finishAsk(std::size_t index, std::uint32_t runNumber, const BackendServerName &name,
                   const CallPermit &permit)
    {
        if (!this->isRunning(index) || this->hosts[index]->runNumber != runNumber)
            return;
        this->hosts[index]->limits->recordPermit(name, permit, this->now);
        if (permit.isGranted && name == this->run())
            this->sendCall(index);
    }

    void sendCall(std::size_t index)
    {
        const std::uint32_t runNumber = this->hosts[index]->runNumber;
        const Milliseconds sentAt = this->now;
        this->at(this->now + this->delay(1, 4), [this, index, runNumber, sentAt] {
            this->recordArrival(index);
            const BackendServerName name = this->run();
            this->at(this->now + this->delay(20, 60), [this, index, runNumber, sentAt, name] {
                if (name == this->run())
                    this->respond(index, runNumber, sentAt, this->limit);
            });
        });
    }

    void respond(std::size_t index, std::uint32_t runNumber, Milliseconds sentAt,
                 std::optional<double> stated)
    {
        const BackendServerName name = this->run();
        this->at(this->now + this->delay(1, 4), [this, index, runNumber, sentAt, stated, name] {
            Host &host = *this->hosts[index];
            if (!this->isRunning(index) || host.runNumber != runNumber)
                return;
            if (stated && !host.toldAt)
                host.toldAt = this->now;
            if (host.limits->recordResponse(name, stated, sentAt, this->now))
                this->announce(index, *host.limits->statements().find(name));
        });
    }

    /** Tells the other hosts, one after the other. */
    void announce(std::size_t index, const CallLimitStatement &statement)
    {
        for (std::size_t other = 0; other < this->hosts.size(); ++other) {
            if (!this->canSee(index, other))
                continue;
            this->at(this->now + this->delay(5, 600), [this, other, statement] {
                if (this->isRunning(other))
                    this->hosts[other]->limits->recordPeerStatement(statement, this->now);
            });
        }
    }

    void recordArrival(std::size_t index)
    {
        constexpr Milliseconds tellingTime{500};
        const Host &host = *this->hosts[index];
        this->arrivals.push_back(this->now);
        const bool isSettled = this->statedAt && this->now - *this->statedAt >= settlingTime;
        const bool isTold = host.toldAt && this->now - *host.toldAt >= tellingTime;
        if (isSettled && isTold && this->now >= host.disturbedUntil)
            this->judged.push_back(this->now);
    }

    /**
     * Returns the calls that the rule permits in a window, or nothing if the server stated no limit
     * for a part of it. A lower limit applies once its first response can have reached a host.
     */
    std::optional<double> permittedCalls(Milliseconds start) const
    {
        constexpr double factor = 1.5;
        constexpr double slack = 5.0;
        constexpr Milliseconds step{50};
        double calls = 0.0;
        for (Milliseconds at = start; at < start + window; at += step) {
            const auto stated = this->highestLimit(at);
            if (!stated)
                return std::nullopt;
            calls += *stated * std::chrono::duration<double>(step).count();
        }
        return factor * calls + slack;
    }

    /** Returns the highest limit of the time before an instant; nothing if there was none. */
    std::optional<double> highestLimit(Milliseconds at) const
    {
        constexpr Milliseconds changeTime{1000};
        std::optional<double> highest;
        for (std::size_t index = 0; index < this->limits.size(); ++index) {
            const auto &[since, value] = this->limits[index];
            const Milliseconds until = index + 1 < this->limits.size()
                    ? this->limits[index + 1].first
                    : Milliseconds::max();
            if (since > at || until <= at - changeTime)
                continue;
            if (!value)
                return std::nullopt;
            highest = std::max(highest.value_or(0.0), *value);
        }
        return highest;
    }

    CallSimulationOptions options;
    RandomSource random;
    Milliseconds now{0};
    std::multimap<Milliseconds, std::function<void()>> events;
    std::vector<std::unique_ptr<Host>> hosts;
    std::map<std::pair<std::size_t, std::size_t>, bool> views;
    std::optional<double> limit;
    std::vector<std::pair<Milliseconds, std::optional<double>>> limits;
    std::optional<Milliseconds> statedAt;
    std::uint32_t serverRun = 1;
    std::vector<Milliseconds> arrivals;
    std::vector<Milliseconds> judged;
};

} // namespace sassafrasyard
