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
constexpr std::size_t anyCount = 64;

std::string keyOf(const std::string &account)
{
    return "key-" + account;
}

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
            {"key_digests", json::array({sha256Hex(keyOf(name))})},
            {"models", models},
            {"services", services}};
}

/** Returns a position that was changed in the named way. */
std::string changedPosition(std::string position, const std::string &change)
{
    if (change == "own")
        return position;
    if (change == "changed-mac") {
        position.back() = position.back() == '0' ? '1' : '0';
        return position;
    }
    if (change != "changed-index")
        throw ScenarioError(ScenarioErrorCode::InvalidArgument, "unknown position: " + change);
    const std::size_t server = position.find('/');
    const std::size_t generation = position.find('/', server + 1);
    const std::size_t index = position.find('/', generation + 1);
    const std::uint64_t number =
            parseNumber(std::string_view(position).substr(generation + 1, index - generation - 1));
    return position.substr(0, generation + 1) + std::to_string(number + 1) + position.substr(index);
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

std::string numbered(const std::string &name, std::uint64_t index, std::uint64_t count)
{
    return count == 1 ? name : name + "." + std::to_string(index);
}

} // namespace

struct Scenario::Command
{
    std::string_view name;
    std::size_t minimumWords;
    std::size_t maximumWords;
    /** Allowed options; "*" allows any. */
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
                 s.stream(t.word(1)).cut();
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
             {"via", "as", "body", "key"},
             [](S &s, const T &t) {
                 s.runRetry(t);
             }},
            {"await",
             4,
             anyCount,
             {},
             [](S &s, const T &t) {
                 s.runAwait(t);
             }},
            {"check",
             2,
             anyCount,
             {},
             [](S &s, const T &t) {
                 s.runCheck(t);
             }},
            {"throughout",
             3,
             anyCount,
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

Scenario::Scenario(boost::asio::io_context &context, std::string programs, std::string logs)
    : context(context)
    , fleet(context, std::move(programs), std::move(logs))
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
        process.send(name == "pause" ? SIGSTOP : name == "continue" ? SIGCONT : SIGTERM);
}

void Scenario::runRelayFault(const Statement &statement)
{
    RelayFault fault;
    fault.kind = relayFaultKind(statement.word(2));
    fault.amount = statement.size() > 3 ? statement.number(3) : 0;
    fault.text = statement.option(statement.has("data") ? "data" : "from", "");
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
        this->ask(this->fleet.endpoint("platform"), request, "configure");
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
    this->ask(this->fleet.process(statement.word(1), ProcessKind::Platform).endpoint, request,
              "platform-fault");
}

void Scenario::runServiceMode(const Statement &statement)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/mode";
    request.body = statement.word(2);
    if (statement.size() > 3)
        request.body += "=" + std::to_string(statement.number(3));
    this->ask(this->fleet.process(statement.word(1), ProcessKind::Service).endpoint, request,
              "service-mode");
}

void Scenario::runOrder(const Statement &statement)
{
    json body;
    body["order"] = statement.word(2);
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/orders";
    request.body = body.dump();
    this->ask(this->fleet.process(statement.word(1), ProcessKind::Engine).endpoint, request,
              "order");
}

void Scenario::runStream(const Statement &statement)
{
    const std::uint64_t count = statement.numberOption("count", 1);
    const Endpoint endpoint = this->fleet.endpoint(statement.option("via", ""));
    for (std::uint64_t index = 1; index <= count; ++index) {
        const std::string name = numbered(statement.word(1), index, count);
        this->requireFreeName(name);
        json body;
        body["model"] = statement.option("model", "plan");
        body["prompt"] = statement.option("prompt", "Scenario");
        body["max_tokens"] = statement.numberOption("length", 20);
        body["seed"] = statement.numberOption("seed", 1) + index - 1;
        body["stream"] = true;
        HttpRequest request;
        request.method = "POST";
        request.target = "/v1/completions";
        request.headers.emplace_back("Authorization",
                                     "Bearer " + keyOf(statement.option("account", "first")));
        request.body = body.dump();
        auto caller = std::make_shared<StreamCaller>(this->context, std::move(request));
        this->streams[name] = caller;
        caller->open(endpoint, "");
    }
}

void Scenario::runResume(const Statement &statement)
{
    StreamCaller &known = this->stream(statement.word(1));
    const std::string position = known.lastPosition();
    if (position.empty()) {
        throw ScenarioError(ScenarioErrorCode::InvalidArgument,
                            statement.word(1) + " has received no token");
    }
    const std::string sent = changedPosition(position, statement.option("position", "own"));
    const Endpoint endpoint = this->fleet.endpoint(statement.option("via", ""));
    if (!statement.has("as")) {
        known.open(endpoint, sent);
        return;
    }
    const std::string name = statement.option("as", "");
    this->requireFreeName(name);
    HttpRequest request = known.request();
    if (statement.has("account"))
        request.headers[0].second = "Bearer " + keyOf(statement.option("account", ""));
    if (statement.has("prompt")) {
        json body = json::parse(request.body);
        body["prompt"] = statement.option("prompt", "");
        request.body = body.dump();
    }
    auto caller = std::make_shared<StreamCaller>(this->context, std::move(request));
    this->streams[name] = caller;
    caller->open(endpoint, sent);
}

void Scenario::runCall(const Statement &statement)
{
    const std::string &method = statement.word(2);
    const bool isPost = method == "post";
    if (!isPost && method != "get")
        throw ScenarioError(ScenarioErrorCode::InvalidArgument, "a call is get or post");
    const std::string via = statement.option("via", "");
    const std::string binding =
            isPost ? this->bindingOf(statement.option("bind", via), via) : std::string();
    const std::uint64_t count = statement.numberOption("count", 1);
    for (std::uint64_t index = 1; index <= count; ++index) {
        const std::string name = numbered(statement.word(1), index, count);
        this->requireFreeName(name);
        HttpRequest request;
        request.method = isPost ? "POST" : "GET";
        request.target = "/v1/services/" + statement.option("service", "stock")
                + statement.option("path", "/orders");
        request.headers.emplace_back("Authorization",
                                     "Bearer " + keyOf(statement.option("account", "first")));
        if (isPost) {
            request.headers.emplace_back("Sassafrasyard-Incarnation", binding);
            request.headers.emplace_back(
                    "Idempotency-Key",
                    numbered(statement.option("key", statement.word(1)), index, count));
            request.body = statement.option("body", "{}");
        }
        auto caller = std::make_shared<PlainCaller>(this->context, std::move(request));
        this->calls[name] = caller;
        caller->send(this->fleet.endpoint(via));
    }
}

void Scenario::runRetry(const Statement &statement)
{
    HttpRequest request = this->call(statement.word(1)).request();
    const std::string name = statement.option("as", "");
    this->requireFreeName(name);
    request.body = statement.option("body", request.body);
    if (statement.has("key")) {
        std::erase_if(request.headers,
                      [](const auto &header) { return header.first == "Idempotency-Key"; });
        request.headers.emplace_back("Idempotency-Key", statement.option("key", ""));
    }
    auto caller = std::make_shared<PlainCaller>(this->context, std::move(request));
    this->calls[name] = caller;
    caller->send(this->fleet.endpoint(statement.option("via", "")));
}

void Scenario::runAwait(const Statement &statement)
{
    const std::size_t last = statement.size() - 1;
    if (statement.word(last - 1) != "within")
        throw ScenarioError(ScenarioErrorCode::InvalidArgument, "await CONDITION within T");
    const Statement condition = statement.part(1, last - 2);
    const auto deadline = std::chrono::steady_clock::now() + parseDuration(statement.word(last));
    Verdict verdict = this->evaluate(condition);
    while (!verdict.holds && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(pollInterval);
        verdict = this->evaluate(condition);
    }
    if (!verdict.holds)
        throw ScenarioError(ScenarioErrorCode::ConditionTimeout, "seen: " + verdict.seen);
}

void Scenario::runCheck(const Statement &statement)
{
    const Verdict verdict = this->evaluate(statement.part(1, statement.size() - 1));
    if (!verdict.holds)
        throw ScenarioError(ScenarioErrorCode::ConditionFailed, "seen: " + verdict.seen);
}

void Scenario::runThroughout(const Statement &statement)
{
    const auto deadline = std::chrono::steady_clock::now() + parseDuration(statement.word(1));
    const Statement condition = statement.part(2, statement.size() - 2);
    do {
        const Verdict verdict = this->evaluate(condition);
        if (!verdict.holds)
            throw ScenarioError(ScenarioErrorCode::ConditionFailed, "seen: " + verdict.seen);
        std::this_thread::sleep_for(pollInterval);
    } while (std::chrono::steady_clock::now() < deadline);
}

void Scenario::runHold(const Statement &statement)
{
    std::this_thread::sleep_for(parseDuration(statement.word(1)));
}

HttpResponse Scenario::ask(const Endpoint &endpoint, const HttpRequest &request,
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

std::string Scenario::bindingOf(const std::string &host, const std::string &via)
{
    HttpRequest request;
    request.target = "/v1/addresses";
    request.headers.emplace_back("Authorization", "Bearer " + keyOf("first"));
    const HttpResponse response = this->ask(this->fleet.endpoint(via), request, "addresses");
    const json body = json::parse(response.body);
    for (const json &entry : body["addresses"]) {
        if (entry["host"] == host)
            return entry["incarnation"];
    }
    throw ScenarioError(ScenarioErrorCode::RequestFailed, host + " is not in the address answer");
}

StreamCaller &Scenario::stream(const std::string &name)
{
    const auto known = this->streams.find(name);
    if (known == this->streams.end())
        throw ScenarioError(ScenarioErrorCode::UnknownName, "no stream is called " + name);
    return *known->second;
}

PlainCaller &Scenario::call(const std::string &name)
{
    const auto known = this->calls.find(name);
    if (known == this->calls.end())
        throw ScenarioError(ScenarioErrorCode::UnknownName, "no call is called " + name);
    return *known->second;
}

void Scenario::requireFreeName(const std::string &name) const
{
    if (name.empty())
        throw ScenarioError(ScenarioErrorCode::MissingArgument, "a name is missing");
    if (this->streams.contains(name) || this->calls.contains(name))
        throw ScenarioError(ScenarioErrorCode::NameInUse, name + " is already in use");
}

} // namespace sassafrasyard
