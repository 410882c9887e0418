#include "control/admin/adminserver.h"

#include "entry/http/errorresponse.h"

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

namespace sassafrasyard {

namespace net = boost::asio;
using nlohmann::json;

namespace {

bool hasToken(const HttpRequest &request, const std::string &token)
{
    const std::string expected = "Bearer " + token;
    const std::string given = findHeader(request.headers, "Authorization").value_or("");
    return given.size() == expected.size()
            && CRYPTO_memcmp(given.data(), expected.data(), expected.size()) == 0;
}

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

HttpResponse textResponse(std::string type, std::string body)
{
    HttpResponse response;
    response.headers.emplace_back("Content-Type", std::move(type));
    response.body = std::move(body);
    return response;
}

} // namespace

AdminServer::AdminServer(EntryState &state, BackendMonitor &monitor, ObjectClient &platform,
                         net::io_context &context)
    : entry(state)
    , monitor(monitor)
    , platform(platform)
    , server(
              context, HttpServerOptions(),
              [this](const HttpRequest &request, HttpResponder &responder) {
                  return this->handle(request, responder);
              },
              errorResponse)
{
}

bool AdminServer::listen(const Endpoint &endpoint, Error &reason)
{
    return this->server.listen(endpoint, reason).has_value();
}

net::awaitable<void> AdminServer::handle(const HttpRequest &request, HttpResponder &responder)
{
    Error reason{ErrorCode::NotFound, RunState::NotRun, "no such resource", {}};
    if (!hasToken(request, this->entry.settings.operatorToken)) {
        reason = {ErrorCode::UnknownKey, RunState::NotRun, "unknown operator token", {}};
    } else if (request.path() == "/metrics") {
        std::string text = this->entry.metrics.toText();
        co_await responder.send(textResponse("text/plain; version=0.0.4", std::move(text)));
        co_return;
    } else if (request.path() == "/v1/dump") {
        co_await responder.send(this->stateDump());
        co_return;
    }
    co_await responder.send(errorResponse(reason));
}

HttpResponse AdminServer::stateDump() const
{
    json dump;
    dump["host"] = this->entry.settings.host.toString();
    dump["incarnation"] = this->entry.incarnation.toString();
    dump["draining"] = this->entry.isDraining.load();
    dump["active_requests"] = this->entry.activeRequests.load();
    dump["revision"] = this->entry.configuration.current()->revision;
    dump["members"] = json::array();
    const auto members = this->entry.members();
    for (const MemberRecord &record : *members) {
        dump["members"].push_back({{"host", record.host.toString()},
                                   {"incarnation", record.incarnation.toString()},
                                   {"failure_domain", record.failureDomain.toString()},
                                   {"peer_address", record.peerAddress},
                                   {"caller_address", record.callerAddress},
                                   {"state", std::string(stateName(record.state))},
                                   {"version", record.version}});
    }
    dump["backend_servers"] = json::array();
    for (const auto &[name, status] : this->monitor.statuses()) {
        dump["backend_servers"].push_back({{"name", name.toString()},
                                           {"running", status.load.running},
                                           {"waiting", status.load.waiting},
                                           {"memory_used", status.load.memoryUsedTokens},
                                           {"leaving", status.load.isLeaving}});
    }
    return textResponse("application/json", dump.dump());
}

} // namespace sassafrasyard
