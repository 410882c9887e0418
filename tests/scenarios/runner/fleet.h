#pragma once

#include "scenarios/runner/childprocess.h"
#include "scenarios/runner/faultrelay.h"
#include "scenarios/runner/portreservation.h"
#include "scenarios/runner/statement.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sassafrasyard {

/** What a named process is. */
enum class ProcessKind {
    Platform,
    Engine,
    Service,
    Host,
};

/** One named process with its addresses, which stay the same over restarts. */
struct FleetProcess
{
    /** What it is. */
    ProcessKind kind = ProcessKind::Engine;
    /** The model of an engine or the name of a service; empty otherwise. */
    std::string servedName;
    /** The address of its main server; the callers' address of an entry host. */
    Endpoint endpoint;
    /** An entry host's address for peers. */
    Endpoint peerEndpoint;
    /** An entry host's address for operators. */
    Endpoint adminEndpoint;
    /** The process. */
    std::unique_ptr<ChildProcess> process;
};

/** The processes and relays of a scenario, by name. */
class Fleet
{
public:
    /** Creates an empty fleet. @param programDirectory the directory of the executables. */
    Fleet(boost::asio::io_context &context, std::string programDirectory, std::string logDirectory);
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /** Adds and starts a process; other options than those of the language become flags. */
    void addPlatform(const Statement &statement);
    /** Adds and starts an engine: "engine NAME model=M". */
    void addEngine(const Statement &statement);
    /** Adds and starts a service: "service NAME for=SERVICE". */
    void addService(const Statement &statement);
    /** Adds and starts an entry host: "host NAME [join=A,B] [platform=RELAY]". */
    void addHost(const Statement &statement);
    /** Adds a relay: "relay NAME to=TARGET". */
    void addRelay(const Statement &statement);
    /** Starts a process that has ended, at the same addresses. */
    void restart(const std::string &name);

    /** Returns a process. @throws ScenarioError UnknownName. */
    FleetProcess &process(const std::string &name);
    /** Returns a process of a kind. @throws ScenarioError UnknownName or InvalidArgument. */
    FleetProcess &process(const std::string &name, ProcessKind kind);
    /** Returns a relay. @throws ScenarioError UnknownName. */
    FaultRelay &relay(const std::string &name);
    /** Returns the address of a process or relay. @throws ScenarioError UnknownName. */
    Endpoint endpoint(const std::string &name) const;
    /** Returns the names of all entry hosts whose process runs. */
    std::vector<std::string> runningHosts();
    /** Returns the backend servers as configuration documents; a relay's address comes first. */
    nlohmann::json backendServers(const Statement &statement) const;
    /** Returns an entry host's state dump, or null. */
    nlohmann::json dump(const std::string &host);
    /** Returns the value of a counter in a host's metrics, summed over its labels. */
    double metric(const std::string &host, const std::string &name);
    /** Returns the ends of all logs. */
    std::string logTails() const;

private:
    FleetProcess &add(const std::string &name, ProcessKind kind);
    Endpoint reserveEndpoint();
    void launch(const std::string &name, std::vector<std::string> arguments);
    void waitUntilResponding(const std::string &name);
    void addStandin(const Statement &statement, ProcessKind kind, const std::string &program,
                    std::vector<std::string> languageOptions);
    void requireUnusedName(const std::string &name) const;

    boost::asio::io_context &context;
    std::string programDirectory;
    std::string logDirectory;
    std::vector<std::unique_ptr<PortReservation>> portReservations;
    std::map<std::string, FleetProcess> processes;
    std::map<std::string, std::unique_ptr<FaultRelay>> relays;
    std::map<std::string, Endpoint> relayEndpoints;
    std::map<std::string, std::string> relayByTarget;
    std::string platformName;
};

} // namespace sassafrasyard
