#pragma once

#include "callerconnection.h"
#include "daemonprocess.h"
#include "hostdocuments.h"
#include "standinservers.h"

#include "platform/tests/standinstore.h"

#include <boost/asio/io_context.hpp>

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasyard {

/** A request that was sent to the host, and what became of it. */
struct SentCall
{
    /** The request. */
    HttpRequest request;
    /** What the caller got; its end is Pending until then. */
    CallResult result;
    /** The time from sending to the end, in milliseconds. */
    Milliseconds elapsed{0};
    /** When it was sent, in milliseconds after the SIGTERM. */
    Milliseconds sentAt{0};

    /** Returns the request's identifier. */
    std::string requestId() const;
    /** Returns whether the request has ended. */
    bool hasEnded() const;
    /** Returns whether it has its server's whole answer. */
    bool isAnswered() const;
    /** Returns a description for a test's messages. */
    std::string describe() const;
};

/** A daemon with its store, two plain servers, two engines and callers, which gets a SIGTERM. */
class StoppingHost
{
public:
    /** The grace of a planned stop. */
    static constexpr Milliseconds grace{3000};
    /** When the host ends what still runs, from the SIGTERM. */
    static constexpr Milliseconds stopTime{2500};
    /** The number of engines. */
    static constexpr int engineCount = 2;

    /**
     * Starts the daemon and waits until it serves calls and streams.
     *
     * @param engineSlots how many streams an engine runs at once.
     */
    explicit StoppingHost(int engineSlots = 16);

    /** Starts the daemon as above, with a configuration. */
    explicit StoppingHost(HostConfiguration configuration);
    ~StoppingHost();
    StoppingHost(const StoppingHost &) = delete;
    StoppingHost &operator=(const StoppingHost &) = delete;

    /** Returns a plain call. @param work how long its server takes. */
    HttpRequest makeCall(const std::string &pathPrefix, Milliseconds work,
                         std::optional<Milliseconds> deadline);

    /** Returns a stream. @param interval the time before each event. */
    HttpRequest makeStream(const std::string &pathPrefix, int events, Milliseconds interval);

    /** Sends a request. @param connection a kept one, or null for a new one. */
    SentCall &send(HttpRequest request,
                   const std::shared_ptr<CallerConnection> &connection = nullptr);

    /**
     * Sends two requests on a connection and reads their responses in order.
     *
     * @param delay between sending them; 0 sends both in one write.
     */
    std::pair<SentCall *, SentCall *> sendPipelined(
            HttpRequest first, HttpRequest second, Milliseconds delay,
            const std::shared_ptr<CallerConnection> &connection);

    /**
     * Sends the header and half of the body of a request, and the rest later.
     *
     * @param delay the time until the rest is sent, from which the elapsed time counts.
     */
    SentCall &sendSplit(HttpRequest request, Milliseconds delay);

    /** Opens connections and uses each for a call, so that the host keeps them open. */
    std::vector<std::shared_ptr<CallerConnection>> keepConnections(std::size_t count);

    /** Sends SIGTERM and waits until the host says that it is not ready. */
    void stop();

    /** Sends a signal. */
    void signal(int number);

    /** Writes another settings file with a grace, which the daemon reads. */
    void writeSettings(Milliseconds newGrace);

    /** Writes another settings file, which the daemon reads. */
    void writeSettings(const HostSettings &settings);

    /** Writes a new version of the first configuration to the store. */
    void writeConfiguration(int version);

    /** Writes another configuration to the store. */
    void writeConfiguration(const HostConfiguration &next);

    /** Lets the store refuse all calls, or serve them again. */
    void setStoreDown(bool isDown);

    /** Writes the entries of the backend servers to the store again, unchanged. */
    void rewriteServers();

    /** Moves an engine to another failure domain; all servers begin in the domain "a". */
    void moveEngine(std::size_t engine, const std::string &failureDomain);

    /** Writes the evacuation of a failure domain to the store, or removes it. */
    void setEvacuated(const std::string &failureDomain, bool isEvacuated);

    /** Keeps a copy of the store's content, and restores the store from that copy. */
    void copyStore();
    void restoreStore();

    /** Writes the entry of an engine to the store with the state of a leaving server. */
    void markLeaving(std::size_t engine);

    /** Returns the lines of the daemon's log with an event. */
    std::vector<std::string> logLines(std::string_view eventName) const;

    /** Runs until a condition holds. @return whether it held within the time. */
    bool runUntil(const std::function<bool()> &condition, Milliseconds timeout);

    /** Runs until a time after the SIGTERM. */
    void runUntilMoment(Milliseconds moment);

    /** Runs until the daemon has exited and all requests have ended; fails the test otherwise. */
    void runUntilExit();

    /** Returns the time since the SIGTERM. */
    Milliseconds sinceStop() const;

    /** Returns when the daemon was found to have exited, from the SIGTERM. */
    Milliseconds exitedAt() const;

    /** Returns the daemon's exit status. */
    std::optional<int> exitStatus();

    /** Returns whether the daemon has exited. */
    bool hasExited();

    /** Returns the backend servers. */
    StandInServers &servers();

    /** Returns all requests that were sent since the start of the test. */
    const std::vector<std::unique_ptr<SentCall>> &calls() const;

private:
    bool startDaemon();
    bool isReady();
    std::shared_ptr<CallerConnection> makeConnection();
    void registerServers(const std::string &service, int count, int slots);
    SentCall &addCall(HttpRequest request);
    void finish(SentCall &call, CallResult result, Milliseconds startedAt);

    boost::asio::io_context context;
    StandInStore store;
    StandInServers backendServers;
    HostConfiguration configuration;
    /** The entries of the backend servers in the store, by name. */
    std::map<std::string, std::string> serverEntries;
    std::filesystem::path directory;
    std::uint16_t firstPort = 0;
    std::unique_ptr<DaemonProcess> daemon;
    std::vector<std::unique_ptr<SentCall>> sentCalls;
    Milliseconds stoppedAt{0};
    std::optional<Milliseconds> endedAt;
    int requestCount = 0;
};

} // namespace sassafrasyard
