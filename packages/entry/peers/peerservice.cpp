#include "entry/peers/peerservice.h"

#include "entry/http/errorresponse.h"
#include "entry/peers/gossipconversion.h"
#include "entry/tasks/taskrunner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <charconv>
#include <limits>
#include <map>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

constexpr Milliseconds probeInterval{1000};
constexpr Milliseconds probeTimeout{500};
constexpr Milliseconds forwardTimeout{35000};
constexpr Milliseconds pullTimeout{5000};
constexpr Milliseconds connectionIdleTimeout{60000};
/** Hosts that all start during an outage must stay within the object API's write rate limit. */
constexpr Milliseconds registrationRetryInterval{5000};
constexpr std::size_t indirectProbeCount = 3;
constexpr std::size_t updatesPerMessage = 8;
/** Peers that a joining host asks for members; with all, traffic is quadratic in the hosts. */
constexpr std::size_t maximumJoinProbes = 4;
/** One round per probe interval; each multiplies the members known to hosts that start together. */
constexpr int maximumJoinRounds = 5;
constexpr int maximumPullPages = 256;
constexpr std::string_view hostObjectPrefix = "hosts/";
/** Limits the descriptors of idle connections for reads: one for each kind, and some to spare. */
constexpr std::size_t maximumReadConnections = 8;
/** Limits the descriptors of idle connections for permit requests. */
constexpr std::size_t maximumPermitConnections = 32;
/** Limits the descriptors of idle connections for software versions of streams. */
constexpr std::size_t maximumRunConnections = 32;
/** Limits the descriptors of idle connections for questions on the contact to services. */
constexpr std::size_t maximumContactConnections = 8;

MemberRecord selfRecord(const EntryState &entry, bool isServing)
{
    MemberRecord record;
    record.isServing = isServing;
    record.host = entry.settings.host;
    record.incarnation = entry.incarnation;
    record.failureDomain = entry.settings.failureDomain;
    record.region = entry.settings.region;
    record.peerAddress = entry.settings.peerAddress;
    record.callerAddress = entry.settings.callerAddress;
    return record;
}

MemberTableOptions tableOptions(const EntryState &entry)
{
    MemberTableOptions options;
    options.seed = std::hash<HostIncarnation>()(entry.incarnation);
    return options;
}

void logStateChange(const MemberRecord &record)
{
    LogEvent event = LogEvent::MemberAlive;
    if (record.state == MemberState::Suspect)
        event = LogEvent::MemberSuspect;
    else if (record.state == MemberState::Leaving)
        event = LogEvent::MemberLeaving;
    else if (record.state == MemberState::Dead)
        event = LogEvent::MemberDead;
    logEvent(event, "member", record.host.toString(), "incarnation", record.incarnation.toString());
}

/** Parses Retry-After in whole seconds, as errorResponse() writes it; 0 if it is malformed. */
std::uint64_t parseSeconds(std::string_view text)
{
    std::uint64_t seconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    return seconds;
}

HttpResponse unknownIncarnationResponse(std::string detail)
{
    return errorResponse(
            {ErrorCode::HostIncarnationUnknown, RunState::OutcomeUnknown, std::move(detail), {}});
}

} // namespace

HostRegistry objectRegistry(ObjectClient &platform, const EntryState &entry)
{
    const std::string name = std::string(hostObjectPrefix) + entry.incarnation.toString();
    HostRegistry registry;
    registry.readAddresses =
            [&platform]() -> net::awaitable<std::optional<std::vector<std::string>>> {
        Error ignored;
        const auto objects = co_await platform.list(std::string(hostObjectPrefix), ignored);
        if (!objects)
            co_return std::nullopt;
        std::vector<std::string> addresses;
        for (const StoredObject &object : *objects)
            addresses.push_back(object.value);
        co_return addresses;
    };
    registry.registerHost = [&platform, name](MemberRecord self) -> net::awaitable<bool> {
        Error ignored;
        const auto version = co_await platform.write(name, self.peerAddress, std::nullopt, ignored);
        co_return version.has_value();
    };
    registry.removeHost = [&platform, name]() -> net::awaitable<void> {
        Error ignored;
        co_await platform.remove(name, ignored);
    };
    return registry;
}

PeerService::PeerService(EntryState &state, DispatchService &dispatch, ActorRuntime &runtime,
                         net::io_context &context, PeerHooks hooks)
    : entry(state)
    , dispatch(dispatch)
    , context(context)
    , hooks(std::move(hooks))
    , members(runtime, selfRecord(state, this->hooks.isServingAtStart), tableOptions(state))
    , server(context, [this](FrameConnection &connection) { return this->serve(connection); })
    , loadExchange(
              state, context,
              [this](LoadExchange::Content content) { return this->encodeLoadUpdate(content); },
              this->hooks.selectPeers)
    , readConnections(state.steadyClock, maximumReadConnections)
    , permitConnections(state.steadyClock, maximumPermitConnections)
    , runConnections(state.steadyClock, maximumRunConnections)
    , contactConnections(state.steadyClock, maximumContactConnections)
{
    state.publishMembers({selfRecord(state, this->hooks.isServingAtStart)}, 0);
    if (this->hooks.announcesLoadChanges)
        dispatch.setLoadChangeHook(
                [this] { this->loadExchange.requestSend(LoadExchange::Content::Load); });
}

void PeerService::requestLoadUpdate()
{
    this->loadExchange.requestSend(LoadExchange::Content::All);
}

bool PeerService::start(Error &reason)
{
    const auto endpoint = parseEndpoint(this->entry.settings.peerAddress, reason);
    if (!endpoint || !this->server.listen(*endpoint, reason))
        return false;
    spawnWithRestart(net::make_strand(this->context), "membership",
                     [this] { return this->joinAndProbe(); });
    this->loadExchange.start();
    return true;
}

net::awaitable<void> PeerService::leave()
{
    this->members.post([](MemberTable &table) { table.leave(); });
    co_await this->publish();
    const auto known = this->entry.members();
    // One coroutine per peer, so that a peer that hangs does not delay the announcement to others.
    for (const MemberRecord &record : *known) {
        if (record.incarnation == this->entry.incarnation || record.state > MemberState::Suspect)
            continue;
        net::co_spawn(
                net::make_strand(this->context),
                [this, address = record.peerAddress]() -> net::awaitable<void> {
                    co_await this->probeAddress(address, false);
                },
                net::detached);
    }
    co_await this->hooks.registry.removeHost();
}

void PeerService::setServing(bool isServing)
{
    this->members.post([isServing](MemberTable &table) { table.setServing(isServing); });
    net::co_spawn(
            net::make_strand(this->context),
            [this]() -> net::awaitable<void> {
                co_await this->publish();
                co_await this->registerIfChanged();
            },
            net::detached);
}

void PeerService::recordRegisteredHosts(std::vector<MemberRecord> records)
{
    this->members.post([records = std::move(records), now = this->entry.steadyClock.now()](
                               MemberTable &table) { table.applyRegisteredRecords(records, now); });
    net::co_spawn(
            net::make_strand(this->context), [this] { return this->publish(); }, net::detached);
}

void PeerService::registerAgain()
{
    this->registeredVersion = -1;
    net::co_spawn(
            net::make_strand(this->context), [this] { return this->registerIfChanged(); },
            net::detached);
}

net::awaitable<HttpResponse> PeerService::forward(const HostIncarnation &incarnation,
                                                  const ServiceCall &call)
{
    const auto known = this->entry.members();
    const auto owner = std::find_if(known->begin(), known->end(), [&](const MemberRecord &record) {
        return record.incarnation == incarnation;
    });
    if (owner == known->end())
        co_return unknownIncarnationResponse("no entry host with this incarnation is known");
    ForwardCall message;
    message.sequence = ++this->sequence;
    message.incarnation = incarnation.toString();
    message.account = call.account.toString();
    message.service = call.service;
    message.path = call.path;
    message.key = call.key;
    message.body = call.body;
    Error reason;
    const PeerMessage request = message;
    const auto reply = co_await this->exchange(owner->peerAddress, request, forwardTimeout, reason);
    const auto *answer = reply ? std::get_if<ForwardReply>(&*reply) : nullptr;
    if (answer == nullptr || answer->sequence != message.sequence)
        co_return unknownIncarnationResponse("the entry host that owns the call does not answer: "
                                             + reason.detail);
    const int status = static_cast<int>(answer->status);
    if (!isFinalStatus(status))
        co_return unknownIncarnationResponse(
                "the entry host that owns the call answered with status "
                + std::to_string(answer->status));
    HttpResponse response;
    response.status = status;
    response.headers.emplace_back("Content-Type", "application/json");
    if (answer->retryAfterMilliseconds > 0)
        response.headers.emplace_back(
                "Retry-After", std::to_string((answer->retryAfterMilliseconds + 999) / 1000));
    response.body = answer->body;
    co_return response;
}

net::awaitable<void> PeerService::serve(FrameConnection &connection)
{
    Error reason;
    while (auto payload = co_await connection.receive(connectionIdleTimeout, reason)) {
        auto message = decodeMessage(*payload, reason);
        if (!message) {
            logEvent(LogEvent::PeerMessageInvalid, "detail", reason.detail);
            co_return;
        }
        if (const auto *update = std::get_if<LoadUpdate>(&*message)) {
            this->applyLoad(update->gossip);
            continue;
        }
        if (const auto *update = std::get_if<CallLimitUpdate>(&*message)) {
            if (this->hooks.recordCallLimits)
                this->hooks.recordCallLimits(update->limits);
            continue;
        }
        // Counted as active, so that a planned stop waits until the reply to the call is sent.
        std::optional<ActiveRequest> active;
        if (std::holds_alternative<ForwardCall>(*message))
            active.emplace(this->entry);
        const auto reply = co_await this->answer(std::move(*message));
        if (!reply)
            co_return;
        const std::string encoded = encodeMessage(*reply);
        const bool isSent = co_await connection.send(encoded, probeTimeout, reason);
        if (!isSent)
            co_return;
    }
}

net::awaitable<std::optional<PeerMessage>> PeerService::answer(PeerMessage message)
{
    if (auto *probe = std::get_if<Probe>(&message)) {
        co_await this->applyGossip(probe->sender, std::move(probe->gossip));
        ProbeReply reply;
        reply.sequence = probe->sequence;
        reply.gossip = co_await this->collectGossip(probe->wantsAllMembers);
        const std::function<MemberRecord(MemberTable &)> readSelf = [](MemberTable &table) {
            return table.self();
        };
        reply.sender = co_await this->members.ask<MemberRecord>(readSelf);
        co_return reply;
    }
    if (const auto *indirect = std::get_if<IndirectProbe>(&message)) {
        IndirectProbeReply reply;
        reply.sequence = indirect->sequence;
        reply.isAlive = co_await this->probeAddress(indirect->target, false);
        co_return reply;
    }
    if (const auto *pull = std::get_if<ConfigurationPull>(&message)) {
        ConfigurationReply reply;
        reply.sequence = pull->sequence;
        const auto configuration = this->entry.configuration.current();
        reply.revision = configuration->revision;
        if (configuration->revision > pull->knownRevision)
            reply.document = formatTransferPage(*configurationSource(*configuration),
                                                pull->knownRevision, pull->after);
        co_return reply;
    }
    if (auto *read = std::get_if<ObjectRead>(&message)) {
        if (!this->hooks.answerObjectRead)
            co_return std::nullopt;
        co_return co_await this->hooks.answerObjectRead(std::move(*read));
    }
    if (const auto *request = std::get_if<CallPermitRequest>(&message)) {
        if (!this->hooks.answerPermitRequest)
            co_return std::nullopt;
        co_return this->hooks.answerPermitRequest(*request);
    }
    if (const auto *request = std::get_if<PlacePermitRequest>(&message)) {
        if (!this->hooks.answerPlaceRequest)
            co_return std::nullopt;
        co_return this->hooks.answerPlaceRequest(*request);
    }
    if (const auto *update = std::get_if<SpeedUpdate>(&message)) {
        if (!this->hooks.recordSpeeds)
            co_return std::nullopt;
        co_return this->hooks.recordSpeeds(*update);
    }
    if (const auto *request = std::get_if<ColdPermitRequest>(&message)) {
        if (!this->hooks.answerColdRequest)
            co_return std::nullopt;
        co_return this->hooks.answerColdRequest(*request);
    }
    if (const auto *update = std::get_if<RunVersionUpdate>(&message)) {
        std::optional<RunVersionUpdateReply> reply;
        if (this->hooks.recordRunVersions)
            reply = this->hooks.recordRunVersions(*update);
        if (!reply)
            co_return std::nullopt;
        co_return *reply;
    }
    if (const auto *request = std::get_if<RunVersionRequest>(&message)) {
        if (!this->hooks.answerRunVersions)
            co_return std::nullopt;
        co_return this->hooks.answerRunVersions(*request);
    }
    if (auto *request = std::get_if<ServiceContactRequest>(&message)) {
        if (!this->hooks.answerContactRequest)
            co_return std::nullopt;
        co_return co_await this->hooks.answerContactRequest(std::move(*request));
    }
    if (const auto *call = std::get_if<ForwardCall>(&message)) {
        ForwardReply reply;
        reply.sequence = call->sequence;
        HttpResponse response =
                unknownIncarnationResponse("the call is bound to another incarnation");
        if (call->incarnation == this->entry.incarnation.toString() && this->hooks.runCall) {
            ServiceCall bound{ClientAccountName(call->account), call->service, call->path,
                              call->key, call->body};
            response = co_await this->hooks.runCall(std::move(bound));
        }
        reply.status = static_cast<std::uint32_t>(response.status);
        reply.body = response.body;
        const auto retryAfter = findHeader(response.headers, "Retry-After");
        if (retryAfter)
            reply.retryAfterMilliseconds = parseSeconds(*retryAfter) * 1000;
        co_return reply;
    }
    co_return std::nullopt;
}

net::awaitable<std::optional<PeerMessage>> PeerService::exchange(std::string address,
                                                                 PeerMessage message,
                                                                 Milliseconds timeout,
                                                                 Error &reason)
{
    const auto endpoint = parseEndpoint(address, reason);
    if (!endpoint)
        co_return std::nullopt;
    const auto connection = co_await FrameConnection::connect(*endpoint, probeTimeout, reason);
    if (!connection)
        co_return std::nullopt;
    const std::string payload = encodeMessage(message);
    if (!co_await connection->send(payload, probeTimeout, reason))
        co_return std::nullopt;
    const auto answered = co_await connection->receive(timeout, reason);
    if (!answered)
        co_return std::nullopt;
    co_return decodeMessage(*answered, reason);
}

net::awaitable<void> PeerService::joinAndProbe()
{
    co_await this->registerSelf();
    int joinRounds = co_await this->join() ? 1 : 0;
    net::steady_timer timer(co_await net::this_coro::executor);
    boost::system::error_code code;
    while (!code) {
        const std::function<std::optional<MemberRecord>(MemberTable &)> pickTarget =
                [now = this->entry.steadyClock.now()](MemberTable &table) {
                    table.advance(now);
                    return table.nextProbe();
                };
        const auto target = co_await this->members.ask<std::optional<MemberRecord>>(pickTarget);
        const auto known = this->entry.members();
        const bool isIncomplete =
                joinRounds < maximumJoinRounds && known->size() < this->registeredCount;
        if (known->size() <= 1 || joinRounds == 0 || isIncomplete)
            joinRounds += co_await this->join() ? 1 : 0;
        if (target) {
            net::co_spawn(
                    net::make_strand(this->context),
                    [this, record = *target] { return this->probe(record); }, net::detached);
        }
        co_await this->publish();
        net::co_spawn(
                net::make_strand(this->context), [this] { return this->registerIfChanged(); },
                net::detached);
        timer.expires_after(probeInterval);
        co_await timer.async_wait(net::redirect_error(net::use_awaitable, code));
    }
}

/** Asks some hosts for their members. @return whether any host address is known. */
net::awaitable<bool> PeerService::join()
{
    std::vector<std::string> registered;
    if (this->hooks.registry.readAddresses) {
        if (auto addresses = co_await this->hooks.registry.readAddresses())
            registered = std::move(*addresses);
        this->registeredCount = registered.size();
    } else {
        const auto known = this->entry.members();
        for (const MemberRecord &record : *known) {
            if (record.state == MemberState::Alive)
                registered.push_back(record.peerAddress);
        }
    }
    // In parallel: hosts that are gone stay registered, and each costs a time-out.
    const std::vector<std::string> addresses = this->joinAddresses(registered);
    for (const std::string &address : addresses) {
        net::co_spawn(
                net::make_strand(this->context),
                [this, address]() -> net::awaitable<void> {
                    co_await this->probeAddress(address, true);
                },
                net::detached);
    }
    co_return !addresses.empty();
}

/** Returns the addresses to ask for members: some registered ones and those of the settings. */
std::vector<std::string> PeerService::joinAddresses(const std::vector<std::string> &registered)
{
    std::vector<std::string> others;
    for (const std::string &address : registered) {
        if (address != this->entry.settings.peerAddress)
            others.push_back(address);
    }
    RandomSource random = RandomSource::fromSystem();
    const std::size_t count = std::min(maximumJoinProbes, others.size());
    for (std::size_t index = 0; index < count; ++index)
        std::swap(others[index], others[index + random.below(others.size() - index)]);
    others.resize(count);
    const std::vector<std::string> &configuredAddresses = this->entry.settings.joinAddresses;
    others.insert(others.end(), configuredAddresses.begin(), configuredAddresses.end());
    return others;
}

net::awaitable<void> PeerService::registerIfChanged()
{
    const std::function<std::int64_t(MemberTable &)> readVersion = [](MemberTable &table) {
        return static_cast<std::int64_t>(table.self().version);
    };
    const std::int64_t version = co_await this->members.ask<std::int64_t>(readVersion);
    const std::int64_t registered = this->registeredVersion;
    const bool isDue = registered < 0
            || (this->hooks.registry.isReregisteredOnChange && registered != version);
    const bool mayTry = this->entry.steadyClock.now().count() >= this->nextRegistrationAt;
    if (isDue && mayTry && !this->entry.isDraining)
        co_await this->registerSelf();
}

net::awaitable<void> PeerService::registerSelf()
{
    if (this->isRegistering.exchange(true))
        co_return;
    const std::function<MemberRecord(MemberTable &)> readSelf = [](MemberTable &table) {
        return table.self();
    };
    const MemberRecord self = co_await this->members.ask<MemberRecord>(readSelf);
    const bool isRegistered = co_await this->hooks.registry.registerHost(self);
    if (isRegistered)
        this->registeredVersion = self.version;
    else
        this->nextRegistrationAt =
                (this->entry.steadyClock.now() + registrationRetryInterval).count();
    this->isRegistering = false;
}

net::awaitable<void> PeerService::probe(MemberRecord target)
{
    if (co_await this->probeAddress(target.peerAddress, false))
        co_return;
    if (target.state != MemberState::Dead) {
        const bool isAlive = co_await this->probeIndirectly(target);
        if (isAlive)
            co_return;
    }
    this->members.post([target, now = this->entry.steadyClock.now()](MemberTable &table) {
        table.recordProbeFailure(target.incarnation, now);
    });
    co_await this->publish();
}

net::awaitable<bool> PeerService::probeAddress(std::string address, bool wantsAllMembers)
{
    Probe probe;
    probe.sequence = ++this->sequence;
    probe.wantsAllMembers = wantsAllMembers;
    probe.gossip = co_await this->collectGossip(false);
    const std::function<MemberRecord(MemberTable &)> readSelf = [](MemberTable &table) {
        return table.self();
    };
    probe.sender = co_await this->members.ask<MemberRecord>(readSelf);
    Error reason;
    const PeerMessage message = probe;
    const auto reply = co_await this->exchange(address, message, probeTimeout, reason);
    const auto *answer = reply ? std::get_if<ProbeReply>(&*reply) : nullptr;
    if (answer == nullptr || answer->sequence != probe.sequence)
        co_return false;
    co_await this->applyGossip(answer->sender, answer->gossip);
    co_return true;
}

net::awaitable<bool> PeerService::probeIndirectly(MemberRecord target)
{
    const std::function<std::vector<MemberRecord>(MemberTable &)> pick =
            [target](MemberTable &table) {
                return table.indirectProbers(target.incarnation, indirectProbeCount);
            };
    const auto probers = co_await this->members.ask<std::vector<MemberRecord>>(pick);
    for (const MemberRecord &prober : probers) {
        IndirectProbe request;
        request.sequence = ++this->sequence;
        request.target = target.peerAddress;
        Error reason;
        const PeerMessage message = request;
        const auto reply =
                co_await this->exchange(prober.peerAddress, message, 3 * probeTimeout, reason);
        const auto *answer = reply ? std::get_if<IndirectProbeReply>(&*reply) : nullptr;
        if (answer != nullptr && answer->sequence == request.sequence && answer->isAlive)
            co_return true;
    }
    co_return false;
}

net::awaitable<Gossip> PeerService::collectGossip(bool includesAllMembers)
{
    Gossip gossip;
    const std::function<std::vector<MemberRecord>(MemberTable &)> take =
            [includesAllMembers](MemberTable &table) {
                return includesAllMembers ? table.members() : table.takeUpdates(updatesPerMessage);
            };
    gossip.members = co_await this->members.ask<std::vector<MemberRecord>>(take);
    co_await this->addLoad(gossip);
    if (this->hooks.sharesConfiguration)
        gossip.revision = this->entry.configuration.current()->revision;
    co_return gossip;
}

net::awaitable<void> PeerService::addLoad(Gossip &gossip)
{
    const PeerLoadDigest digest = co_await this->dispatch.loadDigest();
    addLoadDigest(gossip, digest);
    const std::vector<QuarantineRecord> quarantine = co_await this->dispatch.quarantineRecords();
    addQuarantineRecords(gossip, quarantine);
    for (const BackendServerName &server : this->hooks.leavingServers())
        gossip.leavingServers.push_back(server.toString());
}

net::awaitable<LoadExchange::Update> PeerService::encodeLoadUpdate(LoadExchange::Content content)
{
    LoadUpdate message;
    LoadExchange::Update update;
    if (content == LoadExchange::Content::All) {
        co_await this->addLoad(message.gossip);
        CallLimitUpdate limits;
        if (this->hooks.callLimits)
            limits.limits = this->hooks.callLimits();
        if (!limits.limits.empty())
            update.limits = encodeMessage(limits);
    } else {
        const PeerLoadDigest digest = co_await this->dispatch.loadDigest();
        addLoadDigest(message.gossip, digest);
        update.changedServers = this->replaceSentLoad(digest);
    }
    const PeerMessage encoded = std::move(message);
    update.bytes = encodeMessage(encoded);
    co_return update;
}

/** Replaces the last sent load. @return the backend servers whose load differs from it. */
std::vector<BackendServerName> PeerService::replaceSentLoad(const PeerLoadDigest &digest)
{
    std::map<BackendServerName, PeerLoadEntry> load;
    for (const PeerLoadEntry &entry : digest.entries)
        load.emplace(entry.server, entry);
    std::vector<BackendServerName> changed;
    for (const auto &[server, entry] : load) {
        const auto previous = this->lastSentLoad.find(server);
        if (previous == this->lastSentLoad.end() || !(previous->second == entry))
            changed.push_back(server);
    }
    for (const auto &[server, entry] : this->lastSentLoad) {
        if (!load.contains(server))
            changed.push_back(server);
    }
    this->lastSentLoad = std::move(load);
    return changed;
}

net::awaitable<void> PeerService::applyGossip(MemberRecord sender, Gossip gossip)
{
    this->members.post([sender, updates = gossip.members,
                        now = this->entry.steadyClock.now()](MemberTable &table) {
        table.applyUpdates(std::span(&sender, 1), now);
        table.applyUpdates(updates, now);
    });
    this->applyLoad(gossip);
    const std::uint64_t known = this->entry.configuration.current()->revision;
    if (this->hooks.sharesConfiguration && gossip.revision > known
        && !this->isPulling.exchange(true)) {
        net::co_spawn(
                net::make_strand(this->context),
                [this, address = sender.peerAddress] { return this->pullConfiguration(address); },
                net::detached);
    }
    co_await this->publish();
}

void PeerService::applyLoad(const Gossip &gossip)
{
    this->dispatch.post([digest = toLoadDigest(gossip), quarantine = toQuarantineRecords(gossip)](
                                Dispatcher &dispatcher, Milliseconds now) {
        dispatcher.recordPeerLoad(digest, now);
        dispatcher.recordPeerQuarantine(quarantine, now);
    });
    std::vector<BackendServerName> leaving;
    for (const std::string &server : gossip.leavingServers)
        leaving.emplace_back(server);
    this->hooks.recordLeaving(leaving);
}

net::awaitable<void> PeerService::pullConfiguration(std::string address)
{
    const auto source = co_await this->pullSource(address);
    this->isPulling = false;
    if (!source)
        co_return;
    std::vector<ConfigurationFault> faults;
    auto configuration = resolveSource(source, faults);
    if (!configuration) {
        logEvent(LogEvent::ConfigurationRejected, "detail", toError(faults).detail);
        co_return;
    }
    if (this->entry.configuration.offer(std::move(*configuration)))
        logEvent(LogEvent::ConfigurationApplied, "revision", std::to_string(source->revision),
                 "from", address);
}

net::awaitable<std::shared_ptr<const ConfigurationSource>> PeerService::pullSource(
        std::string address)
{
    const auto known = configurationSource(*this->entry.configuration.current());
    TransferReader reader(known);
    for (int page = 0; page < maximumPullPages && !reader.result(); ++page) {
        ConfigurationPull pull;
        pull.sequence = ++this->sequence;
        pull.knownRevision = known->revision;
        pull.after = reader.nextAfter();
        Error reason;
        const PeerMessage message = pull;
        const auto reply = co_await this->exchange(address, message, pullTimeout, reason);
        const auto *answer = reply ? std::get_if<ConfigurationReply>(&*reply) : nullptr;
        if (answer == nullptr || answer->sequence != pull.sequence || answer->document.empty())
            co_return nullptr;
        if (!reader.addPage(answer->document, reason)) {
            logEvent(LogEvent::ConfigurationRejected, "detail", reason.detail);
            co_return nullptr;
        }
    }
    co_return reader.result();
}

net::awaitable<std::optional<ObjectReadReply>> PeerService::readObjects(std::string address,
                                                                        ObjectRead read,
                                                                        Milliseconds timeout,
                                                                        Error &reason)
{
    read.sequence = ++this->sequence;
    return this->readConnections.exchange<ObjectReadReply>(std::move(address), std::move(read),
                                                           timeout, reason);
}

net::awaitable<std::optional<CallPermitReply>> PeerService::askPermit(std::string address,
                                                                      CallPermitRequest request,
                                                                      Milliseconds timeout,
                                                                      Error &reason)
{
    request.sequence = ++this->sequence;
    return this->permitConnections.exchange<CallPermitReply>(std::move(address), std::move(request),
                                                             timeout, reason);
}

net::awaitable<std::optional<CallPermitReply>> PeerService::askPlace(std::string address,
                                                                     PlacePermitRequest request,
                                                                     Milliseconds timeout,
                                                                     Error &reason)
{
    request.sequence = ++this->sequence;
    return this->permitConnections.exchange<CallPermitReply>(std::move(address), std::move(request),
                                                             timeout, reason);
}

net::awaitable<std::optional<CallPermitReply>> PeerService::askColdPermit(std::string address,
                                                                          ColdPermitRequest request,
                                                                          Milliseconds timeout,
                                                                          Error &reason)
{
    request.sequence = ++this->sequence;
    return this->permitConnections.exchange<CallPermitReply>(std::move(address), std::move(request),
                                                             timeout, reason);
}

net::awaitable<bool> PeerService::tellSpeeds(std::string address, SpeedUpdate update,
                                             Milliseconds timeout, Error &reason)
{
    update.sequence = ++this->sequence;
    const auto reply = co_await this->runConnections.exchange<SpeedUpdateReply>(
            std::move(address), std::move(update), timeout, reason);
    co_return reply.has_value();
}

net::awaitable<bool> PeerService::tellRunVersions(std::string address, RunVersionUpdate update,
                                                  Milliseconds timeout, Error &reason)
{
    update.sequence = ++this->sequence;
    const auto reply = co_await this->runConnections.exchange<RunVersionUpdateReply>(
            std::move(address), std::move(update), timeout, reason);
    co_return reply.has_value();
}

net::awaitable<std::optional<RunVersionReply>> PeerService::askRunVersions(
        std::string address, RunVersionRequest request, Milliseconds timeout, Error &reason)
{
    request.sequence = ++this->sequence;
    return this->runConnections.exchange<RunVersionReply>(std::move(address), std::move(request),
                                                          timeout, reason);
}

net::awaitable<std::optional<ServiceContactReply>> PeerService::askContact(
        std::string address, ServiceContactRequest request, Milliseconds timeout, Error &reason)
{
    request.sequence = ++this->sequence;
    return this->contactConnections.exchange<ServiceContactReply>(
            std::move(address), std::move(request), timeout, reason);
}

net::awaitable<std::optional<std::uint64_t>> PeerService::askRevision(std::string peerAddress)
{
    ConfigurationPull pull;
    pull.sequence = ++this->sequence;
    // No revision is newer than this, so the reply contains no documents.
    pull.knownRevision = std::numeric_limits<std::uint64_t>::max();
    Error reason;
    const PeerMessage message = pull;
    const auto reply = co_await this->exchange(peerAddress, message, probeTimeout, reason);
    const auto *answer = reply ? std::get_if<ConfigurationReply>(&*reply) : nullptr;
    if (answer == nullptr || answer->sequence != pull.sequence)
        co_return std::nullopt;
    co_return answer->revision;
}

net::awaitable<void> PeerService::publish()
{
    struct Change
    {
        std::uint64_t number = 0;
        std::vector<MemberRecord> records;
    };
    const std::function<Change(MemberTable &)> read = [this](MemberTable &table) {
        Change change{table.changeCount(), {}};
        if (change.number > this->entry.publishedChangeCount())
            change.records = table.members();
        return change;
    };
    auto [number, records] = co_await this->members.ask<Change>(read);
    if (records.empty())
        co_return;
    const auto before = this->entry.members();
    std::map<HostIncarnation, MemberState> states;
    std::size_t liveCount = 0;
    for (const MemberRecord &record : *before)
        states.emplace(record.incarnation, record.state);
    for (const MemberRecord &record : records) {
        liveCount += record.state <= MemberState::Suspect ? 1 : 0;
        const auto known = states.find(record.incarnation);
        if (known == states.end() || known->second != record.state)
            logStateChange(record);
    }
    this->entry.publishMembers(std::move(records), number);
    this->dispatch.post([liveCount](Dispatcher &dispatcher, Milliseconds) {
        dispatcher.setLiveHostCount(liveCount);
    });
}

} // namespace sassafrasyard
