#pragma once

#include "entry/http/errorresponse.h"
#include "gateway/gateway.h"
#include "policy/placement/stablehash.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sassafrasyard {

/** Returns digests of all comma-separated parts but the last. */
inline std::vector<std::uint64_t> digestPartsField(std::string_view text)
{
    std::vector<std::uint64_t> digests;
    for (std::size_t comma = text.find(','); comma != std::string_view::npos;
         comma = text.find(',')) {
        digests.push_back(stableHash(text.substr(0, comma)));
        text.remove_prefix(comma + 1);
    }
    return digests;
}

/** A codec with short field names for the tests. */
inline CallCodec testCodec()
{
    CallCodec codec;
    codec.decodeCall = [](const HttpRequest &request, Error &) -> std::optional<CallMetadata> {
        CallMetadata metadata;
        metadata.requestId = findHeader(request.headers, "Id").value_or("");
        metadata.key = findHeader(request.headers, "Key").value_or("");
        metadata.callerTimeout =
                Milliseconds(std::stoll(findHeader(request.headers, "Patience").value_or("5000")));
        metadata.sharedParts = digestPartsField(findHeader(request.headers, "Parts").value_or(""));
        metadata.resumes = findHeader(request.headers, "Resumes").value_or("");
        if (const auto last = findHeader(request.headers, "After"))
            metadata.lastEvent = std::stoull(*last);
        metadata.promptTokens = 100;
        metadata.maximumTokens = 100;
        return metadata;
    };
    codec.encodeOrder = [](const HttpRequest &request, const ForwardingOrder &order) {
        HttpHeaders headers = withoutHopFields(request.headers);
        headers.emplace_back("Server-Name", order.server.toString());
        headers.emplace_back("Left", std::to_string(order.remainingTime.count()));
        if (order.lastEvent)
            headers.emplace_back("Last", std::to_string(*order.lastEvent));
        if (order.source)
            headers.emplace_back("Source", order.source->name);
        if (!order.backupAddress.empty())
            headers.emplace_back("Backup", order.backupAddress);
        return headers;
    };
    codec.encodeRelay = [](const HttpRequest &request, Milliseconds timeLeft) {
        HttpHeaders headers = withoutHopFields(request.headers);
        std::erase_if(headers, [](const auto &field) { return field.first == "Patience"; });
        headers.emplace_back("Patience", std::to_string(timeLeft.count()));
        return headers;
    };
    codec.decodeResponse = [](const HttpResponse &response) {
        ResponseMetadata metadata;
        metadata.requestId = findHeader(response.headers, "Id").value_or("");
        metadata.isSigned = findHeader(response.headers, "Signature").has_value();
        metadata.hasNotRun = findHeader(response.headers, "Not-Run").has_value();
        metadata.isLeaving = findHeader(response.headers, "Leaving").has_value();
        metadata.isMisdirected = response.status == 421;
        if (const auto pause = findHeader(response.headers, "Pause"))
            metadata.retryAfter = Milliseconds(std::stoll(*pause));
        if (const auto limit = findHeader(response.headers, "Limit"))
            metadata.callLimit = std::stod(*limit);
        if (const auto limit = findHeader(response.headers, "Brittle"))
            metadata.rejectionLimit = std::stod(*limit);
        return metadata;
    };
    codec.formatError = [](const Error &error) {
        return errorResponse(error);
    };
    return codec;
}

/** A call that a stand-in for a backend server received. */
struct ReceivedCall
{
    /** The name of the stand-in. */
    std::string server;
    /** The request as received. */
    HttpRequest request;
};

/** A gateway on loopback in front of stand-ins for backend servers, all on one thread. */
class GatewayFixture
{
public:
    /** Handles a request at a stand-in. */
    using Handler =
            std::function<boost::asio::awaitable<void>(const HttpRequest &, HttpResponder &)>;

    /**
     * Creates a gateway without servers.
     *
     * @param sharedContext runs the gateway and others that were created with it.
     * @param host the name of the gateway's host.
     */
    explicit GatewayFixture(std::shared_ptr<boost::asio::io_context> sharedContext =
                                    std::make_shared<boost::asio::io_context>(),
                            const std::string &host = "host")
        : ownedContext(std::move(sharedContext))
        , context(*this->ownedContext)
        , runtime(1)
        , entry(makeSettings(host), HostIncarnation(host + "-run"))
        , dispatch(this->entry, this->runtime, this->context, false)
        , serving({true, Milliseconds(60000), Milliseconds(60000)})
        , connections(this->context, Clock::steady())
        , reachability(this->dispatch, Clock::steady())
        , limiter(this->entry, this->dispatch, Clock::steady())
        , versions(Clock::steady())
        , contacts(this->entry, this->context, this->servers, Clock::steady())
        , peersForRelay(this->entry, this->context, Clock::steady())
        , dependencies{this->context,  this->entry,
                       this->dispatch, this->serving,
                       this->servers,  this->connections,
                       this->budget,   this->reachability,
                       this->limiter,  this->versions,
                       this->contacts, this->peersForRelay,
                       testCodec(),    this->makeEngineCalls(),
                       Clock::steady()}
        , gateway(this->dependencies)
    {
    }

    /** Applies a configuration with a further route to the service. */
    void addRoute(Route route, std::optional<EngineProperties> engine = {})
    {
        route.host = "h";
        route.services = {{"service", 1.0}};
        this->routes.push_back(route);
        ServingConfiguration configuration;
        configuration.version = ++this->version;
        configuration.routes = RouteTable(this->routes);
        configuration.limits = this->callerLimits;
        Service service;
        service.name = "service";
        service.engine = engine;
        configuration.services.emplace("service", service);
        RoutedAccount account;
        account.name = ClientAccountName("account");
        account.keyDigests = {sha256Hex("key")};
        configuration.accounts.push_back(account);
        configuration.accountsByKeyDigest.emplace(account.keyDigests[0], 0);
        this->serving.offer(configuration);
        this->serving.confirmConfiguration(Clock::steady().now());
        this->publish();
    }

    /** Handles a raw connection to a stand-in; the bytes need not be HTTP. */
    using RawHandler = std::function<boost::asio::awaitable<void>(boost::asio::ip::tcp::socket &)>;

    /** Starts and registers a stand-in with a raw connection handler. */
    void addRawServer(const std::string &name, const RawHandler &handler)
    {
        namespace net = boost::asio;
        auto acceptor = std::make_shared<net::ip::tcp::acceptor>(
                this->context,
                net::ip::tcp::endpoint(net::ip::make_address("127.0.0.1"), std::uint16_t{0}));
        const std::uint16_t port = acceptor->local_endpoint().port();
        this->rawListeners[name] = acceptor;
        net::co_spawn(
                this->context,
                [this, name, acceptor, handler]() -> net::awaitable<void> {
                    while (true) {
                        auto socket = std::make_shared<net::ip::tcp::socket>(
                                co_await acceptor->async_accept(net::use_awaitable));
                        this->rawSockets[name].push_back(socket);
                        net::co_spawn(
                                this->context, [socket, handler] { return handler(*socket); },
                                net::detached);
                    }
                },
                net::detached);
        this->registerServer(name, "127.0.0.1:" + std::to_string(port), 200);
    }

    /** Closes the listener of a raw stand-in; open connections are served. */
    void closeListener(const std::string &name) { this->rawListeners.at(name)->close(); }

    /** Closes the listener and all connections of a raw stand-in, as the end of a process does. */
    void exitProcess(const std::string &name)
    {
        this->closeListener(name);
        this->closeConnections(name);
    }

    /** Closes all connections of a raw stand-in in order. */
    void closeConnections(const std::string &name)
    {
        for (const auto &connection : this->rawSockets[name]) {
            boost::system::error_code ignored;
            if (const auto socket = connection.lock())
                socket->shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
        }
    }

    /** Registers a server at an address. */
    void registerServer(const std::string &name, const std::string &address,
                        std::uint32_t slots = 8, const std::string &softwareVersion = "v1")
    {
        ServerEntry serverEntry;
        serverEntry.name = BackendServerName(name);
        serverEntry.service = "service";
        serverEntry.address = address;
        serverEntry.slots = slots;
        serverEntry.softwareVersion = SoftwareVersion(softwareVersion);
        serverEntry.revision = 1;
        this->servers.applyEntry(serverEntry);
        this->serving.confirmServers(Clock::steady().now());
        this->publish();
    }

    /** Starts and registers a stand-in that speaks HTTP. */
    void addServer(const std::string &name, const Handler &handler,
                   const std::string &softwareVersion = "v1")
    {
        auto server = std::make_unique<HttpServer>(
                this->context, HttpServerOptions(),
                [this, name, handler](const HttpRequest &request, HttpResponder &responder) {
                    this->received.push_back({name, request});
                    return handler(request, responder);
                },
                errorResponse);
        Error reason;
        const auto endpoint = server->listen({"127.0.0.1", 0}, reason);
        this->standInsByName[name] = server.get();
        this->standIns.push_back(std::move(server));
        this->registerServer(name, endpoint->toString(), 8, softwareVersion);
    }

    /** Returns the address of a stand-in, or an empty text if it has no entry. */
    std::string addressOf(const std::string &name) const
    {
        const ServerEntry *entry = this->servers.find(BackendServerName(name));
        return entry == nullptr ? std::string() : entry->address;
    }

    /** Lets a stand-in refuse new connections; open ones are served. */
    void refuseConnections(const std::string &name)
    {
        this->standInsByName.at(name)->stopAccepting();
    }

    /** Marks a stand-in as leaving. */
    void markLeaving(const std::string &name)
    {
        ServerEntry changed = *this->servers.find(BackendServerName(name));
        changed.isLeaving = true;
        ++changed.revision;
        this->servers.applyEntry(changed);
    }

    /** Lets the dispatcher know the present entries, as the daemon does after each change. */
    void publishServers() { this->publish(); }

    /** Changes the software version that the entry of a stand-in states. */
    void changeVersion(const std::string &name, const std::string &softwareVersion)
    {
        ServerEntry changed = *this->servers.find(BackendServerName(name));
        changed.softwareVersion = SoftwareVersion(softwareVersion);
        ++changed.revision;
        this->servers.applyEntry(changed);
    }

    /** Removes the entry of a stand-in. */
    void removeEntry(const std::string &name)
    {
        const BackendServerName server(name);
        this->servers.applyRemoval(server, this->servers.find(server)->revision + 1);
        this->publish();
    }

    /** Writes an entry as that of a process that was started at a time. */
    void writeEntry(const std::string &name, const std::string &address, std::int64_t startedAt)
    {
        constexpr std::uint64_t furtherRevisions = 10;
        ServerEntry written;
        written.name = BackendServerName(name);
        written.service = "service";
        written.address = address;
        written.slots = 8;
        written.softwareVersion = SoftwareVersion("v1");
        written.startedAt = startedAt;
        this->entryRevision += furtherRevisions;
        written.revision = this->entryRevision;
        this->servers.applyEntry(written);
        this->publish();
    }

    /** Applies an entry as read from the store. */
    void applyEntry(const ServerEntry &applied)
    {
        this->servers.applyEntry(applied);
        this->serving.confirmServers(Clock::steady().now());
        this->publish();
    }

    /** Sets the evacuated failure domains. */
    void evacuate(std::map<FailureDomainName, Milliseconds> returnLimits)
    {
        this->servers.setEvacuatedDomains(std::move(returnLimits));
        this->publish();
    }

    /** Starts a planned stop of the gateway. */
    void drain() { this->gateway.drain(); }

    /** Starts a planned stop whose calls in progress are ended after a time. */
    void drain(Milliseconds grace)
    {
        this->serving.startDraining(Clock::steady().now() + grace);
        this->gateway.drain();
    }

    /** Stops accepting connections and closes idle ones, as at the end of a planned stop. */
    void closeIdle() { this->gateway.closeIdle(); }

    /** Ends the calls in progress, as at the end of a planned stop. */
    void endCalls() { this->gateway.endCalls(Clock::steady().now()); }

    /**
     * Sends calls concurrently and runs until all have ended; status 0 means no complete response.
     */
    std::vector<HttpResponse> callConcurrently(const std::string &path, int count,
                                               const std::function<void()> &duringCalls = {})
    {
        namespace net = boost::asio;
        this->listen();
        std::vector<HttpResponse> answers(static_cast<std::size_t>(count));
        int ended = 0;
        for (int index = 0; index < count; ++index) {
            net::co_spawn(
                    this->context,
                    [this, &answers, &ended, path, index]() -> net::awaitable<void> {
                        const std::string id = "at-once-" + std::to_string(index);
                        auto answer = co_await this->exchange(this->makeCall(path, id, {}));
                        answers[static_cast<std::size_t>(index)] =
                                answer.value_or(HttpResponse{0, {}, ""});
                        ++ended;
                    },
                    net::detached);
        }
        if (duringCalls) {
            net::co_spawn(
                    this->context,
                    [duringCalls]() -> net::awaitable<void> {
                        co_await pause(Milliseconds(50));
                        duringCalls();
                    },
                    net::detached);
        }
        while (ended < count)
            this->context.run_one();
        return answers;
    }

    /** Makes the gateway listen and returns where. */
    Endpoint callerEndpoint()
    {
        this->listen();
        return {"127.0.0.1", this->port()};
    }

    /** Starts a coroutine that runs during runOne(). */
    void spawn(std::function<boost::asio::awaitable<void>()> work)
    {
        boost::asio::co_spawn(this->context, std::move(work), boost::asio::detached);
    }

    /** Runs one handler. */
    void runOne() { this->context.run_one(); }

    /** Sends a call through the gateway and runs until it has ended. */
    HttpResponse call(const std::string &path, const std::string &id, HttpHeaders headers = {})
    {
        return this->call(makeCall(path, id, std::move(headers)));
    }

    /** Sends a request from makeCall(), possibly modified. */
    HttpResponse call(const HttpRequest &request)
    {
        this->listen();
        std::optional<HttpResponse> answer;
        bool isDone = false;
        boost::asio::co_spawn(
                this->context,
                [&]() -> boost::asio::awaitable<void> {
                    answer = co_await this->exchange(request);
                    isDone = true;
                },
                boost::asio::detached);
        while (!isDone)
            this->context.run_one();
        // Status 0 means that there is no complete response.
        return answer.value_or(HttpResponse{0, {}, ""});
    }

    /** Sends a request without waiting; status 0 means no complete response. */
    void send(HttpRequest request, std::function<void(HttpResponse)> onResponse)
    {
        this->listen();
        boost::asio::co_spawn(
                this->context,
                [this, request = std::move(request),
                 onResponse = std::move(onResponse)]() -> boost::asio::awaitable<void> {
                    auto answer = co_await this->exchange(request);
                    onResponse(answer.value_or(HttpResponse{0, {}, ""}));
                },
                boost::asio::detached);
    }

    /** Performs the periodic work of the daemon. */
    void advance()
    {
        this->reachability.advance();
        this->limiter.advance();
        this->contacts.advance();
    }

    /** Listens for calls that other hosts relay. */
    void listenForPeers()
    {
        Error reason;
        this->gateway.listenForPeers({"127.0.0.1", 0}, relayedConnections, reason);
    }

    /** Returns the object that tells whether this host reaches the servers. */
    ContactMonitor &contactMonitor() { return this->contacts; }

    /** Returns the object that finds peers which reach the servers. */
    RelayPeers &relayPeers() { return this->peersForRelay; }

    /** Returns the object that keeps the servers' call limits. */
    ServerLimiter &serverLimiter() { return this->limiter; }

    /** Returns the object that keeps the software versions of recent streams. */
    RunVersions &runVersions() { return this->versions; }

    /** Returns the state of this host. */
    EntryState &entryState() { return this->entry; }

    /** Sets the member records that this host knows. */
    void publishMembers(std::vector<MemberRecord> members)
    {
        this->entry.publishMembers(std::move(members), ++this->memberChanges);
    }

    /** Returns the dispatch service. */
    DispatchService &dispatchService() { return this->dispatch; }

    /** Returns whether a request is quarantined because it crashed servers. */
    bool isQuarantined(std::uint64_t requestDigest)
    {
        WorkRequest work;
        work.requestDigest = requestDigest;
        return this->isQuarantined(std::move(work));
    }

    /** Returns whether requests with these parts of a prompt are quarantined. */
    bool isQuarantined(const std::vector<std::uint64_t> &promptParts)
    {
        WorkRequest work;
        work.promptParts = promptParts;
        return this->isQuarantined(std::move(work));
    }

    /** Runs the gateway and its periodic work for a time. */
    void runFor(Milliseconds time)
    {
        const Milliseconds end = Clock::steady().now() + time;
        while (Clock::steady().now() < end) {
            this->context.run_for(std::chrono::milliseconds(20));
            this->advance();
        }
    }

    /** Returns a POST request whose body contains the identifier. */
    static HttpRequest makeCall(const std::string &path, const std::string &id,
                                HttpHeaders headers = {})
    {
        HttpRequest request;
        request.method = "POST";
        request.target = path;
        request.body = "body of " + id;
        request.headers = std::move(headers);
        request.headers.emplace_back("Host", "h");
        request.headers.emplace_back("Id", id);
        request.headers.emplace_back("Key", "key");
        return request;
    }

    /** Returns how many calls a stand-in received. */
    std::size_t callCount(const std::string &name) const
    {
        std::size_t count = 0;
        for (const ReceivedCall &call : this->received)
            count += call.server == name ? 1 : 0;
        return count;
    }

    /** Returns the response of a server that ran the call. */
    static HttpResponse signedAnswer(const HttpRequest &request, int status = 200)
    {
        HttpResponse response;
        response.status = status;
        response.headers = {{"Id", findHeader(request.headers, "Id").value_or("")},
                            {"Signature", "s"}};
        response.body = "answer";
        return response;
    }

    /** Returns the response of a server that refused the call before running it. */
    static HttpResponse refusal(const HttpRequest &request)
    {
        HttpResponse response;
        response.status = 503;
        response.headers = {{"Id", findHeader(request.headers, "Id").value_or("")},
                            {"Not-Run", "1"}};
        return response;
    }

    /** Waits without blocking the thread. */
    static boost::asio::awaitable<void> pause(Milliseconds time)
    {
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, time);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }

    /** The limits of requests in configurations that are applied from now on. */
    CallerLimits callerLimits;
    /** The body that the last caller received, also of an incomplete response. */
    std::string receivedBody;
    /** The longest time between two pieces of that body. */
    Milliseconds longestPause{0};
    std::vector<ReceivedCall> received;
    /** The copies that were requested from engines; the function below decides their outcome. */
    std::vector<MoveOrder> moves;
    std::function<bool(const MoveOrder &)> allowsMove = [](const MoveOrder &) {
        return true;
    };
    /** How long the answers to requests to copy a run take. */
    std::function<Milliseconds(const MoveOrder &)> moveAnswerTime = [](const MoveOrder &) {
        return Milliseconds(0);
    };
    /**
     * The runs that engines were asked to stop; the function below is their answer, by default that
     * they have no such run.
     */
    std::vector<MoveOrder> stops;
    std::function<RunStopResult(const MoveOrder &)> answerStop = [](const MoveOrder &) {
        return RunStopResult{RunStopResult::State::Stopped, {}, false};
    };
    /** How long the answers to requests to stop a run take after the engine has acted. */
    std::function<Milliseconds(const MoveOrder &)> stopAnswerTime = [](const MoveOrder &) {
        return Milliseconds(0);
    };
    /**
     * Whether an engine that copies a run which it has stopped says that it has no such run. By
     * default it says that it is busy with the former request; both come without a delay.
     */
    bool isRunAbsentDuringStop = false;
    /** Whether an answer to such a request is lost if it takes longer than the host waits for it.
     */
    bool losesLateAnswers = false;
    /** How often a stand-in was asked whether its process lives. */
    int processChecks = 0;
    /**
     * Asks a stand-in at an address whether its process lives, by default with a connection.
     */
    std::function<boost::asio::awaitable<ProcessAnswer>(std::string address, Milliseconds timeout)>
            askProcess = [this](std::string address, Milliseconds timeout) {
                return this->connectTo(std::move(address), timeout);
            };
    std::shared_ptr<boost::asio::io_context> ownedContext;
    boost::asio::io_context &context;

    /** Returns the metrics in the Prometheus text format. */
    std::string metricsText() const { return this->entry.metrics.toText(); }

private:
    bool isQuarantined(WorkRequest work)
    {
        std::optional<bool> answer;
        boost::asio::co_spawn(
                this->context,
                [this, &answer, work = std::move(work)]() -> boost::asio::awaitable<void> {
                    answer = co_await this->dispatch.isQuarantined(work);
                },
                boost::asio::detached);
        while (!answer)
            this->context.run_one();
        return *answer;
    }

    static Settings makeSettings(const std::string &host)
    {
        Settings settings;
        settings.host = HostName(host);
        settings.positionSecret = "0123456789abcdef";
        settings.placement = "prompt-queue";
        return settings;
    }

    void listen()
    {
        if (std::exchange(this->isListening, true))
            return;
        // Another process may take the free port before this one binds it.
        Error reason;
        constexpr int maximumTries = 10;
        for (int tries = 0; tries < maximumTries; ++tries) {
            if (this->gateway.listen({"127.0.0.1", this->port()}, 300, reason))
                return;
            this->chosenPort = 0;
        }
    }

    /** Sends a call and returns the response, or nothing if it is incomplete. */
    boost::asio::awaitable<std::optional<HttpResponse>> exchange(HttpRequest request)
    {
        Error reason;
        const boost::asio::any_io_executor executor = this->context.get_executor();
        const Endpoint endpoint{"127.0.0.1", this->port()};
        HttpConnection connection(executor, endpoint);
        const bool isOpen = co_await connection.connect(Milliseconds(1000), reason);
        if (!isOpen)
            co_return std::nullopt;
        auto answer = co_await connection.exchange(request, Milliseconds(8000), reason);
        if (!answer)
            co_return std::nullopt;
        this->receivedBody.clear();
        this->longestPause = Milliseconds(0);
        std::optional<Milliseconds> receivedAt;
        while (true) {
            const auto bytes = co_await connection.read(Milliseconds(8000), reason);
            if (!bytes)
                co_return std::nullopt;
            answer->body += *bytes;
            this->receivedBody += *bytes;
            if (bytes->empty())
                co_return answer;
            const Milliseconds now = Clock::steady().now();
            this->longestPause = std::max(this->longestPause, now - receivedAt.value_or(now));
            receivedAt = now;
        }
    }

    EngineCalls makeEngineCalls()
    {
        EngineCalls calls;
        calls.moveMemory = [this](MoveOrder order, Milliseconds,
                                  Error &) -> boost::asio::awaitable<std::optional<MemoryCopy>> {
            this->moves.push_back(order);
            const Milliseconds moveTime = this->moveAnswerTime(order);
            if (moveTime > Milliseconds(0))
                co_await pause(moveTime);
            if (!this->allowsMove(order))
                co_return std::nullopt;
            co_return MemoryCopy{order.sourceAddress, "handle"};
        };
        calls.stopRun = [this](MoveOrder order, Milliseconds timeout,
                               Error &) -> boost::asio::awaitable<RunStopResult> {
            this->stops.push_back(order);
            const std::string run = order.sourceAddress + "/" + order.requestId;
            if (this->stopsInProgress.contains(run))
                co_return this->answerDuringStop();
            RunStopResult answer = this->answerStop(order);
            const bool isCopying = answer.memory.has_value();
            Milliseconds answerTime = this->stopAnswerTime(order);
            if (this->losesLateAnswers && answerTime > timeout) {
                answerTime = timeout;
                answer = {};
            }
            if (isCopying)
                this->stopsInProgress.insert(run);
            if (answerTime > Milliseconds(0))
                co_await pause(answerTime);
            if (isCopying)
                this->stopsInProgress.erase(run);
            co_return answer;
        };
        calls.dropMemory = [](MemoryCopy) -> boost::asio::awaitable<void> {
            co_return;
        };
        calls.askProcess = [this](std::string address,
                                  Milliseconds timeout) -> boost::asio::awaitable<ProcessAnswer> {
            ++this->processChecks;
            co_return co_await this->askProcess(std::move(address), timeout);
        };
        return calls;
    }

    /** Returns the answer of an engine that is busy with a request to stop the same run. */
    RunStopResult answerDuringStop() const
    {
        RunStopResult answer;
        answer.hasAnswered = true;
        answer.isInProgress = !this->isRunAbsentDuringStop;
        answer.state = this->isRunAbsentDuringStop ? RunStopResult::State::Stopped
                                                   : RunStopResult::State::Busy;
        return answer;
    }

    /** Takes a stand-in that accepts a connection for one whose process lives. */
    boost::asio::awaitable<ProcessAnswer> connectTo(std::string address, Milliseconds timeout)
    {
        Error reason;
        const boost::asio::any_io_executor executor = this->context.get_executor();
        HttpConnection connection(executor, *parseEndpoint(address, reason));
        ProcessAnswer answer;
        if (co_await connection.connect(timeout, reason))
            answer.state = ProcessAnswer::State::Answered;
        else if (connection.connectFailure() == ConnectFailure::Refused)
            answer.state = ProcessAnswer::State::Refused;
        co_return answer;
    }

    static constexpr std::size_t relayedConnections = 64;

    void publish()
    {
        const auto configuration = this->serving.current();
        if (!configuration)
            return;
        Configuration published;
        published.revision = ++this->revision;
        published.servers = this->servers.backendServers(*configuration);
        this->entry.configuration.offer(std::move(published));
    }

    /** Returns a port that was free when it was first called. */
    std::uint16_t port()
    {
        if (this->chosenPort == 0) {
            HttpServer probe(
                    this->context, HttpServerOptions(),
                    [](const HttpRequest &, HttpResponder &) -> boost::asio::awaitable<void> {
                        co_return;
                    },
                    errorResponse);
            Error reason;
            this->chosenPort = probe.listen({"127.0.0.1", 0}, reason)->port;
            probe.stopAccepting();
            this->context.run_for(std::chrono::milliseconds(20));
        }
        return this->chosenPort;
    }

    ActorRuntime runtime;
    EntryState entry;
    DispatchService dispatch;
    ServingState serving;
    ServerCatalogue servers;
    HttpConnectionPool connections;
    ServiceRetryBudget budget;
    ServerReachability reachability;
    ServerLimiter limiter;
    RunVersions versions;
    ContactMonitor contacts;
    RelayPeers peersForRelay;
    GatewayDependencies dependencies;
    GatewayService gateway;
    std::vector<Route> routes;
    std::map<std::string, std::shared_ptr<boost::asio::ip::tcp::acceptor>> rawListeners;
    std::map<std::string, std::vector<std::weak_ptr<boost::asio::ip::tcp::socket>>> rawSockets;
    /** The runs that engines have stopped and copy. */
    std::set<std::string> stopsInProgress;
    std::vector<std::unique_ptr<HttpServer>> standIns;
    std::map<std::string, HttpServer *> standInsByName;
    std::uint64_t version = 0;
    std::uint64_t entryRevision = 100;
    std::uint64_t revision = 0;
    std::uint64_t memberChanges = 0;
    std::uint16_t chosenPort = 0;
    bool isListening = false;
};

} // namespace sassafrasyard
