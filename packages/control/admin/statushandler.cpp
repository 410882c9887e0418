#include "control/admin/statushandler.h"

#include "control/admin/adminjson.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace sassafrasyard {

namespace net = boost::asio;
using nlohmann::json;

namespace {

std::string_view stateName(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Dead:
        return "dead";
    }
    return "dead";
}

json memberToJson(const MemberRecord &record)
{
    json item;
    item["host"] = record.host.toString();
    item["incarnation"] = record.incarnation.toString();
    item["failure_domain"] = record.failureDomain.toString();
    item["region"] = record.region;
    item["peer_address"] = record.peerAddress;
    item["caller_address"] = record.callerAddress;
    item["state"] = std::string(stateName(record.state));
    item["version"] = record.version;
    return item;
}

} // namespace

StatusHandler::StatusHandler(EntryState &state, BackendMonitor &monitor, PeerService &peers,
                             net::io_context &context)
    : entry(state)
    , monitor(monitor)
    , peers(peers)
    , context(context)
{
}

net::awaitable<std::optional<HttpResponse>> StatusHandler::handleRequest(const HttpRequest &request)
{
    if (request.method != "GET")
        co_return std::nullopt;
    if (request.path() == "/metrics") {
        HttpResponse response;
        response.headers.emplace_back("Content-Type", "text/plain; version=0.0.4");
        response.body = this->entry.metrics.toText();
        co_return response;
    }
    if (request.path() == "/v1/dump")
        co_return this->stateDump();
    if (request.path() == "/v1/addresses")
        co_return this->addresses();
    if (request.path() == "/v1/status")
        co_return co_await this->status();
    co_return std::nullopt;
}

net::awaitable<StatusHandler::Revisions> StatusHandler::collectRevisions()
{
    struct RevisionCollection
    {
        explicit RevisionCollection(const net::any_io_executor &executor)
            : allReplied(executor)
        {
            this->allReplied.expires_at(net::steady_timer::time_point::max());
        }
        Revisions revisions;
        std::size_t outstanding = 0;
        net::steady_timer allReplied;
    };
    // All coroutines run on this connection's strand, so no lock is needed.
    const auto executor = co_await net::this_coro::executor;
    const auto collection = std::make_shared<RevisionCollection>(executor);
    const auto members = this->entry.members();
    for (const MemberRecord &record : *members) {
        if (record.incarnation == this->entry.incarnation) {
            collection->revisions[record.incarnation] =
                    this->entry.configuration.current()->revision;
            continue;
        }
        if (record.state == MemberState::Dead)
            continue;
        ++collection->outstanding;
        const auto queryPeer = [this, collection, incarnation = record.incarnation,
                                address = record.peerAddress]() -> net::awaitable<void> {
            const auto revision = co_await this->peers.askRevision(address);
            collection->revisions[incarnation] = revision;
            if (--collection->outstanding == 0)
                collection->allReplied.cancel();
        };
        net::co_spawn(executor, queryPeer, net::detached);
    }
    boost::system::error_code ignored;
    if (collection->outstanding > 0)
        co_await collection->allReplied.async_wait(
                net::redirect_error(net::use_awaitable, ignored));
    co_return collection->revisions;
}

net::awaitable<HttpResponse> StatusHandler::status()
{
    const Revisions revisions = co_await this->collectRevisions();
    std::uint64_t highest = 0;
    for (const auto &[incarnation, revision] : revisions)
        highest = std::max(highest, revision.value_or(0));
    json hosts = json::array();
    const auto members = this->entry.members();
    for (const MemberRecord &record : *members) {
        json item = memberToJson(record);
        const auto known = revisions.find(record.incarnation);
        const bool isKnown = known != revisions.end() && known->second;
        item["revision"] = isKnown ? json(*known->second) : json();
        const bool isExpected = record.state != MemberState::Dead;
        item["lagging"] = isExpected && (!isKnown || *known->second < highest);
        hosts.push_back(std::move(item));
    }
    json body;
    body["revision"] = highest;
    body["hosts"] = std::move(hosts);
    co_return jsonResponse(200, body);
}

HttpResponse StatusHandler::addresses() const
{
    json list = json::array();
    const auto members = this->entry.members();
    for (const MemberRecord &record : *members) {
        if (record.state == MemberState::Alive)
            list.push_back({{"host", record.host.toString()},
                            {"address", record.callerAddress},
                            {"failure_domain", record.failureDomain.toString()}});
    }
    json body;
    body["addresses"] = std::move(list);
    return jsonResponse(200, body);
}

HttpResponse StatusHandler::stateDump() const
{
    json dump;
    dump["host"] = this->entry.settings.host.toString();
    dump["incarnation"] = this->entry.incarnation.toString();
    dump["draining"] = this->entry.isDraining.load();
    dump["active_requests"] = this->entry.activeRequests.load();
    dump["revision"] = this->entry.configuration.current()->revision;
    dump["members"] = json::array();
    const auto members = this->entry.members();
    for (const MemberRecord &record : *members)
        dump["members"].push_back(memberToJson(record));
    dump["backend_servers"] = json::array();
    for (const auto &[name, status] : this->monitor.statuses()) {
        dump["backend_servers"].push_back({{"name", name.toString()},
                                           {"running", status.load.running},
                                           {"waiting", status.load.waiting},
                                           {"memory_used", status.load.memoryUsedTokens},
                                           {"leaving", status.load.isLeaving}});
    }
    return jsonResponse(200, dump);
}

} // namespace sassafrasyard
