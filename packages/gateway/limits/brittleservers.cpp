#include "gateway/limits/brittleservers.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

/** A round trip between hosts takes some milliseconds; a call does not wait longer for a place. */
constexpr Milliseconds askTimeout{150};
/** The longest pause that is taken from a peer, in milliseconds. */
constexpr std::uint64_t longestPause = 60000;

bool isValid(const PlacePermitRequest &request)
{
    return !request.run.empty() && !request.host.empty() && std::isfinite(request.rejectionLimit)
            && request.rejectionLimit >= 0.0;
}

PlacePermitRequest toMessage(const PlaceRequest &request)
{
    PlacePermitRequest message;
    message.host = request.host.toString();
    message.placeSequence = request.sequence;
    message.run = request.run.toString();
    message.isAsk = request.isAsk;
    message.slots = request.slots;
    message.outstanding = request.outstanding;
    message.firstPending = request.firstPending;
    message.rejectionLimit = request.rejectionLimit;
    message.rejections = request.rejections;
    return message;
}

PlaceRequest fromMessage(const PlacePermitRequest &message)
{
    return {HostIncarnation(message.host),
            message.placeSequence,
            BackendServerName(message.run),
            message.isAsk,
            message.slots,
            message.outstanding,
            message.firstPending,
            message.rejectionLimit,
            message.rejections};
}

} // namespace

BrittleServers::BrittleServers(EntryState &entry, Clock clock)
    : entry(entry)
    , clock(std::move(clock))
    , places(entry.settings.host, entry.incarnation)
{
}

void BrittleServers::setHooks(BrittleHooks newHooks)
{
    this->hooks = std::move(newHooks);
}

void BrittleServers::recordResponse(const std::string &service, const BackendServerName &run,
                                    std::optional<double> rejectionsPerSecond, bool isRejection,
                                    Milliseconds sentAt)
{
    const bool hasChanged = this->statements.recordResponse(service, run, rejectionsPerSecond,
                                                            sentAt, this->clock.now());
    if (hasChanged) {
        this->logService(service, "response");
        if (rejectionsPerSecond)
            this->announce(service, run, *rejectionsPerSecond);
    }
    if (!isRejection || !this->statements.rejectionLimit(service))
        return;
    this->places.recordRejection(run);
    this->sendReport(service, run);
}

net::awaitable<CallPermit> BrittleServers::acquire(std::string service, BackendServerName run,
                                                   std::uint32_t slots, bool isContinuation)
{
    CallPermit permit{true, Milliseconds(0)};
    const auto limit = this->statements.rejectionLimit(service);
    if (limit) {
        const auto pause = this->pauseLeft(run);
        if (pause && !isContinuation) {
            permit = {false, *pause};
            co_return permit;
        }
        const PlaceRequest ask = this->places.makeAsk(run, slots, *limit);
        const auto decided = co_await this->askGranter(ask);
        this->places.recordPermit(ask, decided, this->clock.now());
        permit = decided.value_or(CallPermit{false, SharedCallLimits::silentGranterPause});
        permit.isGranted = permit.isGranted || isContinuation;
        if (!permit.isGranted)
            co_return permit;
    }
    this->places.recordSent(run);
    this->services.insert_or_assign(run, service);
    co_return permit;
}

void BrittleServers::release(const std::string &service, const BackendServerName &run)
{
    this->places.recordEnded(run);
    this->sendReport(service, run);
}

std::optional<Milliseconds> BrittleServers::pauseLeft(const BackendServerName &run) const
{
    return this->places.pauseLeft(run, this->clock.now());
}

bool BrittleServers::hasBrittleServices() const
{
    return !this->statements.isEmpty();
}

CallPermitReply BrittleServers::answer(const PlacePermitRequest &request)
{
    CallPermitReply reply;
    reply.sequence = request.sequence;
    if (!isValid(request)) {
        logEvent(LogEvent::PeerMessageInvalid, "detail",
                 "malformed request for a place of " + request.run);
        return reply;
    }
    const Milliseconds now = this->clock.now();
    if (request.isAnnouncement) {
        const BackendServerName run(request.run);
        if (this->statements.recordResponse(request.service, run, request.rejectionLimit, now, now))
            this->logService(request.service, "peer");
        return reply;
    }
    const CallPermit permit = this->places.decide(fromMessage(request), now);
    reply.isGranted = permit.isGranted;
    reply.pauseMilliseconds = static_cast<std::uint64_t>(permit.pause.count());
    return reply;
}

void BrittleServers::advance()
{
    const Milliseconds now = this->clock.now();
    this->updateHosts(now);
    if (now - this->reportedAt < SharedConcurrency::reportInterval)
        return;
    this->reportedAt = now;
    std::map<BackendServerName, std::string> used;
    for (const BackendServerName &run : this->places.usedRuns()) {
        const auto service = this->services.find(run);
        if (service == this->services.end())
            continue;
        used.insert(*service);
        this->sendReport(service->second, run);
    }
    this->services = std::move(used);
    this->places.removeExpired(now);
    this->statements.removeExpired(now);
}

void BrittleServers::updateHosts(Milliseconds now)
{
    auto current = this->entry.members();
    if (current == this->members)
        return;
    this->members = std::move(current);
    std::map<HostName, bool> states;
    for (const MemberRecord &record : *this->members) {
        if (record.state == MemberState::Leaving)
            continue;
        bool &isAnyRunLive = states[record.host];
        isAnyRunLive = isAnyRunLive || record.state <= MemberState::Suspect;
    }
    std::vector<PermitHost> hosts;
    for (const auto &[name, isLive] : states)
        hosts.push_back({name, isLive});
    // The peers leave a stopping host out, so it must not go on giving out places itself.
    if (this->entry.isDraining)
        this->places.leave();
    this->places.setHosts(hosts, now);
}

/** Returns the peer address of a host; empty if no run of it is alive. */
std::string BrittleServers::addressOf(const HostName &host) const
{
    const auto known = this->entry.members();
    for (const MemberRecord &record : *known) {
        if (record.host == host && record.state <= MemberState::Suspect)
            return record.peerAddress;
    }
    return {};
}

net::awaitable<std::optional<CallPermit>> BrittleServers::askGranter(PlaceRequest request)
{
    const HostName granter = this->places.granter(request.run);
    std::optional<CallPermit> permit;
    if (granter == this->entry.settings.host) {
        permit = this->places.decide(request, this->clock.now());
        co_return permit;
    }
    Error reason;
    std::optional<CallPermitReply> reply;
    const std::string address = this->addressOf(granter);
    if (this->hooks.ask && !address.empty())
        reply = co_await this->hooks.ask(address, toMessage(request), askTimeout, reason);
    if (!reply) {
        logEvent(LogEvent::PermitUnavailable, "backend_server", request.run.toString(), "granter",
                 granter.toString(), "detail", reason.detail);
        co_return permit;
    }
    const auto pause = std::min(reply->pauseMilliseconds, longestPause);
    permit = CallPermit{reply->isGranted, Milliseconds(static_cast<std::int64_t>(pause))};
    co_return permit;
}

/** Tells the granter of a brittle server process how many calls this host has there. */
void BrittleServers::sendReport(const std::string &service, const BackendServerName &run)
{
    const auto limit = this->statements.rejectionLimit(service);
    if (!limit)
        return;
    const PlaceRequest report = this->places.makeReport(run, *limit);
    const HostName granter = this->places.granter(run);
    if (granter == this->entry.settings.host) {
        this->places.decide(report, this->clock.now());
        return;
    }
    const std::string address = this->addressOf(granter);
    if (this->hooks.tell && !address.empty())
        this->hooks.tell(address, toMessage(report));
}

/** Tells all live hosts of a brittle service, also those that have had no response from it. */
void BrittleServers::announce(const std::string &service, const BackendServerName &run,
                              double limit)
{
    if (!this->hooks.tell)
        return;
    PlacePermitRequest message;
    message.host = this->entry.incarnation.toString();
    message.run = run.toString();
    message.service = service;
    message.isAnnouncement = true;
    message.rejectionLimit = limit;
    const auto known = this->entry.members();
    for (const MemberRecord &record : *known) {
        if (record.host != this->entry.settings.host && record.state <= MemberState::Suspect)
            this->hooks.tell(record.peerAddress, message);
    }
}

void BrittleServers::logService(const std::string &service, std::string_view source) const
{
    const auto limit = this->statements.rejectionLimit(service);
    logEvent(LogEvent::BrittleServiceStated, "service", service, "rejection_limit",
             limit ? std::to_string(*limit) : std::string("none"), "from", source);
}

} // namespace sassafrasyard
