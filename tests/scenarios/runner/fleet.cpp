#include "scenarios/runner/fleet.h"

#include "scenarios/runner/scenarioerror.h"
#include "scenarios/runner/servicecaller.h"

#include <algorithm>
#include <chrono>
#include <sstream>
#include <thread>

namespace sassafrasyard {

namespace {

constexpr std::string_view operatorToken = "scenario-operator-token";
constexpr std::string_view positionSecret = "scenario-position-secret";
constexpr Milliseconds startTimeout{15000};
constexpr Milliseconds probeTimeout{1000};
constexpr std::chrono::milliseconds pollInterval{20};
/** Limits the load of a scenario on the machine, which runs other tests too. */
constexpr std::size_t maximumProcesses = 12;

std::string flag(std::string_view name, const std::string &value)
{
    return "--" + std::string(name) + "=" + value;
}

HttpRequest operatorRequest(const std::string &target)
{
    HttpRequest request;
    request.target = target;
    request.headers.emplace_back("Authorization", "Bearer " + std::string(operatorToken));
    return request;
}

} // namespace

Fleet::Fleet(boost::asio::io_context &context, std::string programDirectory,
             std::string logDirectory)
    : context(context)
    , programDirectory(std::move(programDirectory))
    , logDirectory(std::move(logDirectory))
{
}

void Fleet::addPlatform(const Statement &statement)
{
    this->platformName = statement.word(1);
    this->addStandin(statement, ProcessKind::Platform, "standin-platform", {});
}

void Fleet::addEngine(const Statement &statement)
{
    this->addStandin(statement, ProcessKind::Engine, "standin-engine", {});
    this->process(statement.word(1)).servedName = statement.option("model", "plan");
}

void Fleet::addService(const Statement &statement)
{
    this->addStandin(statement, ProcessKind::Service, "standin-service", {"for"});
    this->process(statement.word(1)).servedName = statement.option("for", "stock");
}

void Fleet::addHost(const Statement &statement)
{
    const std::string &name = statement.word(1);
    std::string join;
    for (const std::string &peer : splitList(statement.option("join", ""))) {
        join += join.empty() ? "" : ",";
        join += this->process(peer, ProcessKind::Host).peerEndpoint.toString();
    }
    const Endpoint platform = this->endpoint(statement.option("platform", this->platformName));
    FleetProcess &host = this->add(name, ProcessKind::Host);
    host.peerEndpoint = this->reserveEndpoint();
    host.adminEndpoint = this->reserveEndpoint();
    std::vector<std::string> arguments{
            this->programDirectory + "/sassafrasyardd",
            flag("host", name),
            flag("failure-domain", statement.option("domain", "domain-" + name)),
            flag("region", statement.option("region", "local")),
            flag("caller-address", host.endpoint.toString()),
            flag("peer-address", host.peerEndpoint.toString()),
            flag("admin-address", host.adminEndpoint.toString()),
            flag("platform-address", platform.toString()),
            flag("position-secret", std::string(positionSecret)),
            flag("operator-token", std::string(operatorToken))};
    if (!join.empty())
        arguments.push_back(flag("join", join));
    if (statement.hasOption("placement"))
        arguments.push_back(flag("placement", statement.option("placement", "")));
    this->launch(name, std::move(arguments));
}

void Fleet::addRelay(const Statement &statement)
{
    const std::string &name = statement.word(1);
    this->requireUnusedName(name);
    const std::string target = statement.option("to", "");
    const Endpoint targetEndpoint = this->endpoint(target);
    const Endpoint listenEndpoint = this->reserveEndpoint();
    this->relays[name] =
            std::make_unique<FaultRelay>(this->context, listenEndpoint, targetEndpoint);
    this->relayEndpoints[name] = listenEndpoint;
    this->relayByTarget.emplace(target, name);
}

void Fleet::restart(const std::string &name)
{
    this->process(name).process->start();
    this->waitUntilResponding(name);
}

FleetProcess &Fleet::process(const std::string &name)
{
    const auto known = this->processes.find(name);
    if (known == this->processes.end())
        throw ScenarioError(ScenarioErrorCode::UnknownName, "no process is called " + name);
    return known->second;
}

FleetProcess &Fleet::process(const std::string &name, ProcessKind kind)
{
    FleetProcess &found = this->process(name);
    if (found.kind != kind) {
        throw ScenarioError(ScenarioErrorCode::InvalidArgument,
                            name + " is a process of another kind");
    }
    return found;
}

FaultRelay &Fleet::relay(const std::string &name)
{
    const auto known = this->relays.find(name);
    if (known == this->relays.end())
        throw ScenarioError(ScenarioErrorCode::UnknownName, "no relay is called " + name);
    return *known->second;
}

Endpoint Fleet::endpoint(const std::string &name) const
{
    const auto relay = this->relayEndpoints.find(name);
    if (relay != this->relayEndpoints.end())
        return relay->second;
    const auto known = this->processes.find(name);
    if (known == this->processes.end())
        throw ScenarioError(ScenarioErrorCode::UnknownName, "nothing is called \"" + name + "\"");
    return known->second.endpoint;
}

std::vector<std::string> Fleet::runningHosts()
{
    std::vector<std::string> names;
    for (auto &[name, process] : this->processes) {
        if (process.kind == ProcessKind::Host && process.process->isRunning())
            names.push_back(name);
    }
    return names;
}

nlohmann::json Fleet::backendServers(const Statement &statement) const
{
    const std::vector<std::string> excluded = splitList(statement.option("without", ""));
    const std::vector<std::string> leaving = splitList(statement.option("leaving", ""));
    const auto contains = [](const std::vector<std::string> &names, const std::string &name) {
        return std::find(names.begin(), names.end(), name) != names.end();
    };
    nlohmann::json servers = nlohmann::json::array();
    for (const auto &[name, process] : this->processes) {
        const bool isBackend =
                process.kind == ProcessKind::Engine || process.kind == ProcessKind::Service;
        if (!isBackend || contains(excluded, name))
            continue;
        const auto relay = this->relayByTarget.find(name);
        const Endpoint address =
                this->endpoint(relay == this->relayByTarget.end() ? name : relay->second);
        nlohmann::json server;
        server["name"] = name;
        server["kind"] = process.kind == ProcessKind::Engine ? "engine" : "service";
        server["address"] = address.toString();
        server["models"] = nlohmann::json::array({process.servedName});
        server["leaving"] = contains(leaving, name);
        servers.push_back(std::move(server));
    }
    return servers;
}

nlohmann::json Fleet::dump(const std::string &host)
{
    const FleetProcess &process = this->process(host, ProcessKind::Host);
    Error reason;
    const auto response = requestAndWait(this->context, process.adminEndpoint,
                                         operatorRequest("/v1/dump"), probeTimeout, reason);
    if (!response || response->status != 200)
        return {};
    return nlohmann::json::parse(response->body, nullptr, false);
}

double Fleet::metric(const std::string &host, const std::string &name)
{
    const FleetProcess &process = this->process(host, ProcessKind::Host);
    Error reason;
    const auto response = requestAndWait(this->context, process.adminEndpoint,
                                         operatorRequest("/metrics"), probeTimeout, reason);
    std::istringstream lines(response ? response->body : "");
    std::string line;
    double sum = 0;
    while (std::getline(lines, line)) {
        const std::size_t space = line.rfind(' ');
        if (space != std::string::npos && line.substr(0, line.find_first_of("{ ")) == name)
            sum += std::stod(line.substr(space + 1));
    }
    return sum;
}

std::string Fleet::logTails() const
{
    std::string text;
    for (const auto &[name, process] : this->processes) {
        if (process.process)
            text += "--- " + name + "\n" + process.process->logTail();
    }
    return text;
}

FleetProcess &Fleet::add(const std::string &name, ProcessKind kind)
{
    this->requireUnusedName(name);
    if (this->processes.size() >= maximumProcesses)
        throw ScenarioError(ScenarioErrorCode::InvalidArgument, "too many processes");
    FleetProcess &process = this->processes[name];
    process.kind = kind;
    process.endpoint = this->reserveEndpoint();
    return process;
}

Endpoint Fleet::reserveEndpoint()
{
    this->portReservations.push_back(std::make_unique<PortReservation>());
    return {"127.0.0.1", this->portReservations.back()->port()};
}

void Fleet::launch(const std::string &name, std::vector<std::string> arguments)
{
    FleetProcess &process = this->process(name);
    process.process = std::make_unique<ChildProcess>(std::move(arguments),
                                                     this->logDirectory + "/" + name + ".log");
    process.process->start();
    this->waitUntilResponding(name);
}

void Fleet::waitUntilResponding(const std::string &name)
{
    const FleetProcess &process = this->process(name);
    const auto deadline = std::chrono::steady_clock::now() + startTimeout;
    const bool isHost = process.kind == ProcessKind::Host;
    const Endpoint endpoint = isHost ? process.adminEndpoint : process.endpoint;
    while (std::chrono::steady_clock::now() < deadline && process.process->isRunning()) {
        Error reason;
        if (requestAndWait(this->context, endpoint, operatorRequest(isHost ? "/v1/dump" : "/"),
                           probeTimeout, reason)) {
            return;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    throw ScenarioError(ScenarioErrorCode::ProcessFailed,
                        name + " did not answer before the start timeout, or has ended");
}

void Fleet::addStandin(const Statement &statement, ProcessKind kind, const std::string &program,
                       std::vector<std::string> languageOptions)
{
    const std::string &name = statement.word(1);
    FleetProcess &process = this->add(name, kind);
    std::vector<std::string> arguments{this->programDirectory + "/" + program,
                                       flag("listen", process.endpoint.toString()),
                                       flag("name", name)};
    for (const auto &[option, value] : statement.options()) {
        if (std::find(languageOptions.begin(), languageOptions.end(), option)
            == languageOptions.end()) {
            arguments.push_back(flag(option, value));
        }
    }
    this->launch(name, std::move(arguments));
}

void Fleet::requireUnusedName(const std::string &name) const
{
    if (this->processes.contains(name) || this->relayEndpoints.contains(name))
        throw ScenarioError(ScenarioErrorCode::NameInUse, name + " is already in use");
}

} // namespace sassafrasyard
