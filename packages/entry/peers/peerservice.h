#pragma once

#include "entry/calls/servicecallhandler.h"
#include "entry/dispatch/backendmonitor.h"
#include "entry/dispatch/dispatchservice.h"
#include "entry/peers/loadexchange.h"
#include "entry/peers/peerconnections.h"
#include "entry/state/entrystate.h"
#include "membership/membership.h"
#include "objectstore/objectstore.h"
#include "runtime/runtime.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace sassafrasyard {

/** The registry through which entry hosts discover each other before they know any peer. */
struct HostRegistry
{
    /**
     * Returns the registered peer addresses, or nothing if the registry cannot be reached. The
     * function is empty if PeerService::recordRegisteredHosts() supplies the hosts instead.
     */
    std::function<boost::asio::awaitable<std::optional<std::vector<std::string>>>()> readAddresses;
    /** Registers this host with its member record. @return false if it must be retried later. */
    std::function<boost::asio::awaitable<bool>(MemberRecord self)> registerHost;
    /** Whether this host registers again when its member record has changed. */
    bool isReregisteredOnChange = false;
    /** Removes this host's registration at a planned stop. */
    std::function<boost::asio::awaitable<void>()> removeHost;
};

/** Returns a registry that stores one object per incarnation through the object API. */
HostRegistry objectRegistry(ObjectClient &platform, const EntryState &entry);

/** The functions and options that connect a PeerService to the rest of its host. */
struct PeerHooks
{
    /** The registry for host discovery. */
    HostRegistry registry;
    /** Returns the backend servers that are leaving, to send to peers. */
    std::function<std::vector<BackendServerName>()> leavingServers;
    /** Records backend servers that a peer reported as leaving. */
    std::function<void(const std::vector<BackendServerName> &)> recordLeaving;
    /** Runs a forwarded call that is bound to this host. */
    std::function<boost::asio::awaitable<HttpResponse>(ServiceCall call)> runCall;
    /** Answers a peer's read of this host's mirror of the platform's store; may be empty. */
    std::function<boost::asio::awaitable<ObjectReadReply>(ObjectRead read)> answerObjectRead;
    /** Answers a peer that asks to send a call to a backend server with a limit; may be empty. */
    std::function<CallPermitReply(const CallPermitRequest &)> answerPermitRequest;
    /** Answers a peer's request for a place at a brittle backend server; may be empty. */
    std::function<CallPermitReply(const PlacePermitRequest &)> answerPlaceRequest;
    /** Answers a peer that asks to send a call to a cold backend server; may be empty. */
    std::function<CallPermitReply(const ColdPermitRequest &)> answerColdRequest;
    /** Records how fast a peer found engines, and confirms it; may be empty. */
    std::function<SpeedUpdateReply(const SpeedUpdate &)> recordSpeeds;
    /** Returns the call limits of backend servers to send to peers; may be empty. */
    std::function<std::vector<CallLimitMessage>()> callLimits;
    /** Records the call limits that a peer sent; may be empty. */
    std::function<void(std::span<const CallLimitMessage>)> recordCallLimits;
    /**
     * Records the software versions of streams that a peer sent; may be empty. It returns nothing
     * if the message is malformed, which closes the connection.
     */
    std::function<std::optional<RunVersionUpdateReply>(const RunVersionUpdate &)> recordRunVersions;
    /** Answers a peer that asks for software versions of streams; may be empty. */
    std::function<RunVersionReply(const RunVersionRequest &)> answerRunVersions;
    /** Answers a peer that asks whether this host reaches a service; may be empty. */
    std::function<boost::asio::awaitable<ServiceContactReply>(ServiceContactRequest)>
            answerContactRequest;
    /** Whether hosts compare configuration revisions and pull newer ones from each other. */
    bool sharesConfiguration = true;
    /**
     * Whether a load update is also sent when a prompt was sent to an engine or has produced its
     * first token, not only at intervals.
     */
    bool announcesLoadChanges = false;
    /**
     * Returns the peer addresses of the hosts that place work on any of the servers. If it is
     * empty, a changed load is sent to the next peers in round-robin order.
     */
    LoadExchange::SelectPeers selectPeers;
    /** Whether this host accepts callers from the start, or only after setServing(true). */
    bool isServingAtStart = true;
};

/**
 * Communicates with the other entry hosts: membership probes, gossip, configuration pulls,
 * forwarded calls and reads of the mirrored store.
 */
class PeerService
{
public:
    /** Creates the service; it neither listens nor joins before start(). */
    PeerService(EntryState &state, DispatchService &dispatch, ActorRuntime &runtime,
                boost::asio::io_context &context, PeerHooks hooks);
    PeerService(const PeerService &) = delete;
    PeerService &operator=(const PeerService &) = delete;

    /**
     * Starts listening and begins to join the other hosts in the background.
     *
     * @param reason receives ConnectionFailed.
     * @return false if the peer address is invalid or in use.
     */
    bool start(Error &reason);
    /** Announces to peers and the registry whether this host accepts callers. */
    void setServing(bool isServing);
    /** Adds member records that were read from the registry to the member table. */
    void recordRegisteredHosts(std::vector<MemberRecord> records);
    /** Registers this host again, because its registration may have been lost. */
    void registerAgain();
    /**
     * Sends load, quarantine records and leaving backend servers to peers within some milliseconds,
     * for example when a backend server begins to leave.
     */
    void requestLoadUpdate();
    /** Announces the planned stop to the peers and removes the registration of this host. */
    boost::asio::awaitable<void> leave();
    /** Forwards a call to the host of an incarnation; OutcomeUnknown if there is no answer. */
    boost::asio::awaitable<HttpResponse> forward(const HostIncarnation &incarnation,
                                                 const ServiceCall &call);
    /**
     * Reads from a peer's mirror of the platform's store, over a connection that is reused.
     *
     * @param reason receives ConnectionFailed, Timeout or ProtocolViolation.
     */
    boost::asio::awaitable<std::optional<ObjectReadReply>> readObjects(std::string address,
                                                                       ObjectRead read,
                                                                       Milliseconds timeout,
                                                                       Error &reason);
    /**
     * Asks a peer for the permit to send a call to a backend server with a limit, over a connection
     * that is reused.
     *
     * @param reason receives ConnectionFailed, Timeout or ProtocolViolation.
     */
    boost::asio::awaitable<std::optional<CallPermitReply>> askPermit(std::string address,
                                                                     CallPermitRequest request,
                                                                     Milliseconds timeout,
                                                                     Error &reason);
    /**
     * Asks a peer for a place at a brittle backend server, over a connection that is reused.
     *
     * @param reason receives ConnectionFailed, Timeout or ProtocolViolation.
     */
    boost::asio::awaitable<std::optional<CallPermitReply>> askPlace(std::string address,
                                                                    PlacePermitRequest request,
                                                                    Milliseconds timeout,
                                                                    Error &reason);
    /** Tells a peer how fast this host found engines. @return whether the peer confirmed it. */
    boost::asio::awaitable<bool> tellSpeeds(std::string address, SpeedUpdate update,
                                            Milliseconds timeout, Error &reason);
    /** Asks a peer for a permit to send a call to a cold backend server; as askPermit(). */
    boost::asio::awaitable<std::optional<CallPermitReply>> askColdPermit(std::string address,
                                                                         ColdPermitRequest request,
                                                                         Milliseconds timeout,
                                                                         Error &reason);
    /**
     * Tells a peer the software versions of streams that began here, over a connection that is
     * reused.
     *
     * @param reason receives ConnectionFailed, Timeout or ProtocolViolation.
     * @return whether the peer confirmed the update.
     */
    boost::asio::awaitable<bool> tellRunVersions(std::string address, RunVersionUpdate update,
                                                 Milliseconds timeout, Error &reason);
    /**
     * Asks a peer for software versions of streams, over a connection that is reused.
     *
     * @param reason receives ConnectionFailed, Timeout or ProtocolViolation.
     */
    boost::asio::awaitable<std::optional<RunVersionReply>> askRunVersions(std::string address,
                                                                          RunVersionRequest request,
                                                                          Milliseconds timeout,
                                                                          Error &reason);
    /**
     * Asks a peer whether it can reach the servers of a service, over a connection that is reused.
     *
     * @param reason receives ConnectionFailed, Timeout or ProtocolViolation.
     */
    boost::asio::awaitable<std::optional<ServiceContactReply>> askContact(
            std::string address, ServiceContactRequest request, Milliseconds timeout,
            Error &reason);
    /** Asks a peer for its configuration revision in force; nothing if it does not answer. */
    boost::asio::awaitable<std::optional<std::uint64_t>> askRevision(std::string peerAddress);

private:
    boost::asio::awaitable<void> serve(FrameConnection &connection);
    boost::asio::awaitable<std::optional<PeerMessage>> answer(PeerMessage message);
    boost::asio::awaitable<std::optional<PeerMessage>> exchange(std::string address,
                                                                PeerMessage message,
                                                                Milliseconds timeout,
                                                                Error &reason);
    boost::asio::awaitable<void> joinAndProbe();
    boost::asio::awaitable<bool> join();
    boost::asio::awaitable<void> registerSelf();
    boost::asio::awaitable<void> registerIfChanged();
    std::vector<std::string> joinAddresses(const std::vector<std::string> &registered);
    boost::asio::awaitable<void> probe(MemberRecord target);
    boost::asio::awaitable<bool> probeAddress(std::string address, bool wantsAllMembers);
    boost::asio::awaitable<bool> probeIndirectly(MemberRecord target);
    boost::asio::awaitable<Gossip> collectGossip(bool includesAllMembers);
    boost::asio::awaitable<void> addLoad(Gossip &gossip);
    boost::asio::awaitable<LoadExchange::Update> encodeLoadUpdate(LoadExchange::Content content);
    std::vector<BackendServerName> replaceSentLoad(const PeerLoadDigest &digest);
    void applyLoad(const Gossip &gossip);
    boost::asio::awaitable<void> applyGossip(MemberRecord sender, Gossip gossip);
    boost::asio::awaitable<void> pullConfiguration(std::string address);
    boost::asio::awaitable<std::shared_ptr<const ConfigurationSource>> pullSource(
            std::string address);
    boost::asio::awaitable<void> publish();

    EntryState &entry;
    DispatchService &dispatch;
    boost::asio::io_context &context;
    PeerHooks hooks;
    StateOwner<MemberTable> members;
    FrameServer server;
    LoadExchange loadExchange;
    /** The load in the last Load update, by backend server. */
    std::map<BackendServerName, PeerLoadEntry> lastSentLoad;
    PeerConnections readConnections;
    PeerConnections permitConnections;
    PeerConnections runConnections;
    PeerConnections contactConnections;
    std::atomic<std::uint64_t> sequence = 0;
    std::atomic<bool> isPulling = false;
    std::atomic<bool> isRegistering = false;
    /** The registered version of this host's member record; negative if not registered. */
    std::atomic<std::int64_t> registeredVersion = -1;
    /** The steady time of the next registration attempt, in milliseconds. */
    std::atomic<std::int64_t> nextRegistrationAt = 0;
    /** The number of registered hosts when the registry was last read. */
    std::atomic<std::size_t> registeredCount = 0;
};

} // namespace sassafrasyard
