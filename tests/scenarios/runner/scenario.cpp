#include "scenarios/runner/scenario.h"

#include "configuration/configuration.h"
#include "scenarios/runner/configurationobjects.h"
#include "scenarios/runner/scenarioerror.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <functional>
#include <thread>

namespace sassafrasyard {

using nlohmann::json;

namespace {

constexpr Milliseconds requestTimeout{5000};
constexpr std::chrono::milliseconds pollInterval{20};
constexpr std::size_t maximumConditionWords = 64;

json accountDocument(const std::string &name, const json &servers)
{
    json models = json::array();
    json services = json::array();
    for (const json &server : servers) {
        const json served = server["models"][0];
        if (server["kind"] == "service")
            services.push_back(served);
        else if (std::none_of(models.begin(), models.end(),
                              [&](const json &known) { return known["name"] == served; }))
            models.push_back({{"name", served}});
    }
    return {{"name", name},
            {"key_digests", json::array({sha256Hex("key-" + name)})},
            {"models", models},
            {"services", services}};
}

RelayFault::Kind relayFaultKind(const std::string &name)
{
    using Kind = RelayFault::Kind;
    static const std::map<std::string, Kind> kinds = {
            {"none", Kind::None},
            {"stall", Kind::Stall},
            {"cut", Kind::Cut},
            {"delay", Kind::Delay},
            {"cut-after", Kind::CutAfterBytes},
            {"drop-reply", Kind::DropReply},
            {"inject", Kind::InjectEvent},
            {"replace", Kind::ReplaceText},
    };
    const auto known = kinds.find(name);
    if (known == kinds.end())
        throw ScenarioError(ScenarioErrorCode::InvalidArgument, "unknown relay fault: " + name);
    return known->second;
}

} // namespace

struct Scenario::Command
{
    std::string_view name;
    std::size_t minimumWords;
    std::size_t maximumWords;
    /** The permitted options; "*" permits any. */
    std::vector<std::string_view> options;
    std::function<void(Scenario &, const Statement &)> run;
};

const std::vector<Scenario::Command> &Scenario::commands()
{
    using S = Scenario;
    using T = Statement;
    static const std::vector<Command> table = {
            {"platform",
             2,
             2,
             {"*"},
             [](S &s, const T &t) {
                 s.fleet.addPlatform(t);
             }},
            {"engine",
             2,
             2,
             {"*"},
             [](S &s, const T &t) {
                 s.fleet.addEngine(t);
             }},
            {"service",
             2,
             2,
             {"*"},
             [](S &s, const T &t) {
                 s.fleet.addService(t);
             }},
            {"host",
             2,
             2,
             {"join", "platform", "domain", "region", "placement"},
             [](S &s, const T &t) {
                 s.fleet.addHost(t);
             }},
            {"relay",
             2,
             2,
             {"to"},
             [](S &s, const T &t) {
                 s.fleet.addRelay(t);
             }},
            {"restart",
             2,
             2,
             {},
             [](S &s, const T &t) {
                 s.fleet.restart(t.word(1));
             }},
            {"kill",
             2,
             2,
             {},
             [](S &s, const T &t) {
                 s.runSignal(t);
             }},
            {"pause",
             2,
             2,
             {},
             [](S &s, const T &t) {
                 s.runSignal(t);
             }},
            {"continue",
             2,
             2,
             {},
             [](S &s, const T &t) {
                 s.runSignal(t);
             }},
            {"stop",
             2,
             2,
             {},
             [](S &s, const T &t) {
                 s.runSignal(t);
             }},
            {"relay-fault",
             3,
             4,
             {"data", "from", "to"},
             [](S &s, const T &t) {
                 s.runRelayFault(t);
             }},
            {"configure",
             2,
             2,
             {"without", "leaving"},
             [](S &s, const T &t) {
                 s.runConfigure(t);
             }},
            {"platform-fault",
             3,
             4,
             {},
             [](S &s, const T &t) {
                 s.runPlatformFault(t);
             }},
            {"service-mode",
             3,
             4,
             {},
             [](S &s, const T &t) {
                 s.runServiceMode(t);
             }},
            {"order",
             3,
             3,
             {},
             [](S &s, const T &t) {
                 s.runOrder(t);
             }},
            {"stream",
             2,
             2,
             {"via", "seed", "length", "model", "prompt", "account", "count"},
             [](S &s, const T &t) {
                 s.runStream(t);
             }},
            {"cut",
             2,
             2,
             {},
             [](S &s, const T &t) {
                 s.stream(t.word(1)).disconnect();
             }},
            {"resume",
             2,
             2,
             {"via", "as", "position", "account", "prompt"},
             [](S &s, const T &t) {
                 s.runResume(t);
             }},
            {"call",
             3,
             3,
             {"via", "bind", "key", "service", "path", "body", "account", "count"},
             [](S &s, const T &t) {
                 s.runCall(t);
             }},
            {"retry",
             2,
             2,
             {"via", "as", "body", "key", "patience-s"},
             [](S &s, const T &t) {
                 s.runRetry(t);
             }},
            {"await",
             4,
             maximumConditionWords,
             {},
             [](S &s, const T &t) {
                 s.runAwait(t);
             }},
            {"check",
             2,
             maximumConditionWords,
             {},
             [](S &s, const T &t) {
                 s.runCheck(t);
             }},
            {"throughout",
             3,
             maximumConditionWords,
             {},
             [](S &s, const T &t) {
                 s.runThroughout(t);
             }},
            {"hold",
             2,
             2,
             {},
             [](S &s, const T &t) {
                 s.runHold(t);
             }},
    };
    return table;
}

Scenario::Scenario(boost::asio::io_context &context, std::string programDirectory,
                   std::string logDirectory)
    : context(context)
    , fleet(context, std::move(programDirectory), std::move(logDirectory))
{
}

const Scenario::Command &Scenario::commandFor(const Statement &statement)
{
    for (const Command &command : commands()) {
        if (command.name == statement.word(0))
            return command;
    }
    throw ScenarioError(ScenarioErrorCode::UnknownStatement, statement.word(0));
}

void Scenario::validate(const Statement &statement)
{
    const Command &command = commandFor(statement);
    if (statement.size() < command.minimumWords) {
        throw ScenarioError(ScenarioErrorCode::MissingArgument,
                            statement.word(0) + " needs more arguments");
    }
    if (statement.size() > command.maximumWords) {
        throw ScenarioError(ScenarioErrorCode::InvalidArgument,
                            statement.word(0) + " takes fewer arguments");
    }
    const auto &allowed = command.options;
    for (const auto &[name, value] : statement.options()) {
        const bool isAllowed = std::find(allowed.begin(), allowed.end(), name) != allowed.end()
                || std::find(allowed.begin(), allowed.end(), "*") != allowed.end();
        if (!isAllowed) {
            throw ScenarioError(ScenarioErrorCode::InvalidArgument,
                                statement.word(0) + " has no option " + name);
        }
    }
    if (statement.word(0) == "await")
        parseDuration(statement.word(statement.size() - 1));
    if (statement.word(0) == "throughout" || statement.word(0) == "hold")
        parseDuration(statement.word(1));
}

void Scenario::run(const Statement &statement)
{
    commandFor(statement).run(*this, statement);
}

std::string Scenario::logTails() const
{
    return this->fleet.logTails();
}

void Scenario::runSignal(const Statement &statement)
{
    ChildProcess &process = *this->fleet.process(statement.word(1)).process;
    const std::string &name = statement.word(0);
    if (!process.isRunning()) {
        throw ScenarioError(ScenarioErrorCode::ProcessFailed,
                            statement.word(1) + " is not running");
    }
    if (name == "kill")
        process.kill();
    else
        process.sendSignal(name == "pause" ? SIGSTOP : name == "continue" ? SIGCONT : SIGTERM);
}

void Scenario::runRelayFault(const Statement &statement)
{
    RelayFault fault;
    fault.kind = relayFaultKind(statement.word(2));
    fault.amount = statement.size() > 3 ? statement.number(3) : 0;
    fault.text = statement.option(statement.hasOption("data") ? "data" : "from", "");
    fault.replacement = statement.option("to", "");
    this->fleet.relay(statement.word(1)).setFault(std::move(fault));
}

void Scenario::runConfigure(const Statement &statement)
{
    const json servers = this->fleet.backendServers(statement);
    const json accounts =
            json::array({accountDocument("first", servers), accountDocument("second", servers)});
    for (auto &[name, value] : configurationObjects(statement.number(1), servers, accounts)) {
        HttpRequest request;
        request.method = "PUT";
        request.target = "/objects/" + percentEncode(name);
        request.body = std::move(value);
        this->sendRequest(this->fleet.endpoint("platform"), request, "configure");
    }
}

void Scenario::runPlatformFault(const Statement &statement)
{
    const std::string &mode = statement.word(2);
    const bool isSlow = mode == "slow";
    if (mode != "none" && mode != "down" && mode != "lose-reply" && !isSlow)
        throw ScenarioError(ScenarioErrorCode::InvalidArgument, "unknown platform fault: " + mode);
    json body;
    body["mode"] = mode == "lose-reply" ? "lose_reply" : mode;
    body["delay_ms"] = isSlow ? statement.number(3) : 0;
    HttpRequest request;
    request.method = "POST";
    request.target = "/fault";
    request.body = body.dump();
    this->sendRequest(this->fleet.process(statement.word(1), ProcessKind::Platform).endpoint,
                      request, "platform-fault");
}

void Scenario::runServiceMode(const Statement &statement)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/mode";
    request.body = statement.word(2);
    if (statement.size() > 3)
        request.body += "=" + std::to_string(statement.number(3));
    this->sendRequest(this->fleet.process(statement.word(1), ProcessKind::Service).endpoint,
                      request, "service-mode");
}

void Scenario::runOrder(const Statement &statement)
{
    json body;
    body["order"] = statement.word(2);
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/orders";
    request.body = body.dump();
    this->sendRequest(this->fleet.process(statement.word(1), ProcessKind::Engine).endpoint, request,
                      "order");
}

void Scenario::runAwait(const Statement &statement)
{
    const std::size_t last = statement.size() - 1;
    if (statement.word(last - 1) != "within")
        throw ScenarioError(ScenarioErrorCode::InvalidArgument,
                            "expected: await CONDITION within T");
    const Statement condition = statement.subStatement(1, last - 2);
    const auto deadline = std::chrono::steady_clock::now() + parseDuration(statement.word(last));
    ConditionResult result = this->evaluate(condition);
    while (!result.holds && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(pollInterval);
        result = this->evaluate(condition);
    }
    if (!result.holds)
        throw ScenarioError(ScenarioErrorCode::ConditionTimeout, "seen: " + result.observed);
}

void Scenario::runCheck(const Statement &statement)
{
    const ConditionResult result = this->evaluate(statement.subStatement(1, statement.size() - 1));
    if (!result.holds)
        throw ScenarioError(ScenarioErrorCode::ConditionFailed, "seen: " + result.observed);
}

void Scenario::runThroughout(const Statement &statement)
{
    const auto deadline = std::chrono::steady_clock::now() + parseDuration(statement.word(1));
    const Statement condition = statement.subStatement(2, statement.size() - 2);
    do {
        const ConditionResult result = this->evaluate(condition);
        if (!result.holds)
            throw ScenarioError(ScenarioErrorCode::ConditionFailed, "seen: " + result.observed);
        std::this_thread::sleep_for(pollInterval);
    } while (std::chrono::steady_clock::now() < deadline);
}

void Scenario::runHold(const Statement &statement)
{
    std::this_thread::sleep_for(parseDuration(statement.word(1)));
}

HttpResponse Scenario::sendRequest(const Endpoint &endpoint, const HttpRequest &request,
                                   const std::string &purpose)
{
    Error reason;
    const auto response = requestAndWait(this->context, endpoint, request, requestTimeout, reason);
    if (!response)
        throw ScenarioError(ScenarioErrorCode::RequestFailed, purpose + ": " + reason.detail);
    if (response->status != 200) {
        throw ScenarioError(ScenarioErrorCode::RequestFailed,
                            purpose + ": status " + std::to_string(response->status) + " "
                                    + response->body);
    }
    return *response;
}

StreamCaller &Scenario::stream(const std::string &name)
{
    const auto known = this->streams.find(name);
    if (known == this->streams.end())
        throw ScenarioError(ScenarioErrorCode::UnknownName, "no stream is called " + name);
    return *known->second;
}

ServiceCaller &Scenario::call(const std::string &name)
{
    const auto known = this->calls.find(name);
    if (known == this->calls.end())
        throw ScenarioError(ScenarioErrorCode::UnknownName, "no call is called " + name);
    return *known->second;
}

void Scenario::requireUnusedName(const std::string &name) const
{
    if (name.empty())
        throw ScenarioError(ScenarioErrorCode::MissingArgument, "a name is missing");
    if (this->streams.contains(name) || this->calls.contains(name))
        throw ScenarioError(ScenarioErrorCode::NameInUse, name + " is already in use");
}

} // namespace sassafrasyard
