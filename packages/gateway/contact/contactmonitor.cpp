#include "gateway/contact/contactmonitor.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace sassafrasyard {

namespace net = boost::asio;

namespace {

/** How long a server may take to accept the connection of a check. */
constexpr Milliseconds checkTimeout{150};
/** A check that fails takes twice checkTimeout; if it took longer, this host was late itself. */
constexpr Milliseconds maximumCheckTime{500};
/** The number of servers that a check tries first; single ones crash or stand still. */
constexpr std::size_t firstServers = 2;
/** The number of servers that a check tries at most, which bounds its cost in large services. */
constexpr std::size_t maximumServers = 8;

/** Waits for the first success of several tries, or for the failure of all of them. */
struct ConnectionTries
{
    explicit ConnectionTries(net::io_context &context)
        : end(context, net::steady_timer::time_point::max())
    {
    }

    void record(bool isAccepted)
    {
        this->hasAccepted |= isAccepted;
        --this->pending;
        if (isAccepted || this->pending == 0)
            this->end.expires_at(net::steady_timer::time_point::min());
    }

    net::steady_timer end;
    std::size_t pending = 0;
    bool hasAccepted = false;
};

net::awaitable<void> tryConnection(std::shared_ptr<ConnectionTries> tries, std::string address)
{
    Error reason;
    bool isAccepted = false;
    if (const auto endpoint = parseEndpoint(address, reason)) {
        HttpConnection connection(tries->end.get_executor(), *endpoint);
        isAccepted = co_await connection.connect(checkTimeout, reason);
    }
    tries->record(isAccepted);
}

} // namespace

/** A check in progress; the timer is cancelled at its end. */
struct ContactMonitor::Check
{
    explicit Check(net::io_context &context)
        : end(context, net::steady_timer::time_point::max())
    {
    }

    net::steady_timer end;
};

ContactMonitor::ContactMonitor(EntryState &entry, net::io_context &context,
                               const ServerCatalogue &servers, Clock clock)
    : entry(entry)
    , context(context)
    , servers(servers)
    , clock(std::move(clock))
    , random(RandomSource::fromSystem())
{
}

void ContactMonitor::setHooks(ContactHooks newHooks)
{
    this->hooks = std::move(newHooks);
}

void ContactMonitor::recordAccepted(const std::string &service)
{
    this->contact.recordAccepted(service, this->clock.now());
}

void ContactMonitor::recordFailedConnection(const std::string &service)
{
    this->contact.recordFailedConnection(service, this->clock.now());
    this->advance();
}

void ContactMonitor::recordSent(const std::string &service)
{
    this->contact.recordSent(service, this->clock.now());
}

void ContactMonitor::recordReceived(const std::string &service)
{
    this->contact.recordReceived(service, this->clock.now());
}

bool ContactMonitor::isUnreached(std::string_view service) const
{
    return this->contact.isUnreached(service);
}

ContactState ContactMonitor::state(std::string_view service) const
{
    return this->contact.state(service, this->clock.now());
}

std::optional<Milliseconds> ContactMonitor::unreachedSince(std::string_view service) const
{
    return this->contact.unreachedSince(service);
}

std::vector<std::string> ContactMonitor::services() const
{
    return this->contact.services();
}

net::awaitable<bool> ContactMonitor::isReachedAfterCheck(std::string service)
{
    const bool isUnknown = this->contact.isDoubtful(service) && !this->contact.isUnreached(service);
    if (isUnknown && this->checks.contains(service))
        co_await this->waitForCheck(service);
    co_return !this->contact.isUnreached(service);
}

net::awaitable<ServiceContactReply> ContactMonitor::answer(ServiceContactRequest request)
{
    if (this->state(request.service) == ContactState::Assumed) {
        this->startCheck(request.service);
        co_await this->waitForCheck(request.service);
    }
    ServiceContactReply reply;
    reply.sequence = request.sequence;
    reply.isReached = this->state(request.service) == ContactState::Reached;
    // A host that takes no calls still tells what it reaches.
    const auto offer = this->hooks.relayOffer ? this->hooks.relayOffer() : std::nullopt;
    if (!offer)
        co_return reply;
    reply.relayAddress = offer->address;
    reply.configurationVersion = offer->configurationVersion;
    co_return reply;
}

void ContactMonitor::advance()
{
    for (const std::string &service : this->contact.dueChecks(this->clock.now()))
        this->startCheck(service);
}

std::shared_ptr<ContactMonitor::Check> ContactMonitor::startCheck(const std::string &service)
{
    const auto known = this->checks.find(service);
    if (known != this->checks.end())
        return known->second;
    auto check = std::make_shared<Check>(this->context);
    this->checks.emplace(service, check);
    net::co_spawn(
            this->context, [this, service] { return this->check(service); }, net::detached);
    return check;
}

net::awaitable<void> ContactMonitor::check(std::string service)
{
    const std::vector<std::string> addresses = this->sampleAddresses(service);
    const auto all = std::span(addresses);
    const std::size_t first = std::min(firstServers, all.size());
    std::size_t triedServers = first;
    const Milliseconds startedAt = this->clock.now();
    bool isAccepted = co_await this->tryServers(all.first(first));
    // While the service is unreached, the first servers are enough to notice its return. Otherwise
    // few servers are tried twice, since a lost packet is sent again only after a second.
    if (!isAccepted && !this->contact.isUnreached(service)) {
        triedServers = all.size();
        isAccepted = co_await this->tryServers(all.size() > first ? all.subspan(first) : all);
    }
    // A host that stood still finds the time-out of a connection before its acceptance.
    const bool isLate = this->clock.now() - startedAt > maximumCheckTime;
    if (addresses.empty())
        this->forget(service);
    else if (isAccepted || !isLate)
        this->recordResult(service, isAccepted, triedServers);
    const auto ended = this->checks.extract(service);
    ended.mapped()->end.expires_at(net::steady_timer::time_point::min());
}

net::awaitable<void> ContactMonitor::waitForCheck(std::string service)
{
    const auto known = this->checks.find(service);
    if (known == this->checks.end())
        co_return;
    const std::shared_ptr<Check> check = known->second;
    boost::system::error_code ignored;
    co_await check->end.async_wait(net::redirect_error(net::use_awaitable, ignored));
}

net::awaitable<bool> ContactMonitor::tryServers(std::span<const std::string> addresses)
{
    if (addresses.empty())
        co_return false;
    const auto tries = std::make_shared<ConnectionTries>(this->context);
    tries->pending = addresses.size();
    for (const std::string &address : addresses) {
        net::co_spawn(
                this->context, [tries, address] { return tryConnection(tries, address); },
                net::detached);
    }
    boost::system::error_code ignored;
    co_await tries->end.async_wait(net::redirect_error(net::use_awaitable, ignored));
    co_return tries->hasAccepted;
}

/** Returns the addresses of randomly chosen servers of a service. */
std::vector<std::string> ContactMonitor::sampleAddresses(const std::string &service)
{
    std::vector<std::string> addresses;
    for (const BackendServerName &server : this->servers.usableServers(service)) {
        if (const ServerEntry *known = this->servers.find(server))
            addresses.push_back(known->address);
    }
    const std::size_t count = std::min(maximumServers, addresses.size());
    for (std::size_t index = 0; index < count; ++index)
        std::swap(addresses[index],
                  addresses[index + this->random.below(addresses.size() - index)]);
    addresses.resize(count);
    return addresses;
}

void ContactMonitor::recordResult(const std::string &service, bool isAccepted,
                                  std::size_t triedServers)
{
    const auto since = this->contact.unreachedSince(service);
    const Milliseconds now = this->clock.now();
    const bool hasChanged = this->contact.recordCheck(service, isAccepted, now);
    this->entry.metrics.count("sassafrasyard_contact_checks_total",
                              {{"result", isAccepted ? "accepted" : "failed"}});
    if (!hasChanged)
        return;
    this->entry.metrics.set("sassafrasyard_service_unreached", {{"service", service}},
                            isAccepted ? 0.0 : 1.0);
    if (isAccepted)
        logEvent(LogEvent::ServiceReached, "service", service, "unreached_ms",
                 std::to_string((now - since.value_or(now)).count()));
    else
        logEvent(LogEvent::ServiceUnreached, "service", service, "tried_servers",
                 std::to_string(triedServers));
    if (this->hooks.onChange)
        this->hooks.onChange(service, !isAccepted, since.value_or(now));
}

/** Forgets a service that has no usable servers. */
void ContactMonitor::forget(const std::string &service)
{
    if (this->contact.isUnreached(service))
        this->entry.metrics.set("sassafrasyard_service_unreached", {{"service", service}}, 0.0);
    this->contact.forget(service);
}

} // namespace sassafrasyard
