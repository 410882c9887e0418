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

/** The kind of a process in a scenario. */
enum class ProcessKind {
    Platform,
    Engine,
    Service,
    Host,
};

/** One named process and its addresses, which do not change when it restarts. */
struct FleetProcess
{
    /** The kind of process. */
    ProcessKind kind = ProcessKind::Engine;
    /** The model of an engine or the name of a service; empty otherwise. */
    std::string servedName;
    /** The address on which it serves requests; for an entry host, the address for callers. */
    Endpoint endpoint;
    /** An entry host's address for peers. */
    Endpoint peerEndpoint;
    /** An entry host's address for operators. */
    Endpoint adminEndpoint;
    /** The process, or null before it is started. */
    std::unique_ptr<ChildProcess> process;
};

/** Starts and finds the processes and relays of a scenario by name. */
class Fleet
{
public:
    /**
     * Creates an empty fleet.
     *
     * @param context runs the relays and requests, in another thread.
     * @param programDirectory the directory of the executables.
     * @param logDirectory the directory that receives a log for each process.
     */
    Fleet(boost::asio::io_context &context, std::string programDirectory, std::string logDirectory);
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /** Adds and starts the platform stand-in; all options become its flags. */
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

    /** Returns the process with a name. @throws ScenarioError UnknownName. */
    FleetProcess &process(const std::string &name);
    /** Returns a process of a given kind. @throws ScenarioError UnknownName or InvalidArgument. */
    FleetProcess &process(const std::string &name, ProcessKind kind);
    /** Returns the relay with a name. @throws ScenarioError UnknownName. */
    FaultRelay &relay(const std::string &name);
    /** Returns the address of a process or relay. @throws ScenarioError UnknownName. */
    Endpoint endpoint(const std::string &name) const;
    /** Returns the names of all entry hosts whose process is running. */
    std::vector<std::string> runningHosts();
    /** Returns the backend servers to configure, with the relay's address if there is a relay. */
    nlohmann::json backendServers(const Statement &statement) const;
    /** Returns an entry host's state dump, or null if it does not answer with one. */
    nlohmann::json dump(const std::string &host);
    /** Returns a metric of an entry host summed over its labels, or 0 if it is not there. */
    double metric(const std::string &host, const std::string &name);
    /** Returns the last lines of the logs of all processes. */
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
