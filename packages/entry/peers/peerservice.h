#pragma once

#include "entry/calls/servicecallhandler.h"
#include "entry/dispatch/backendmonitor.h"
#include "entry/dispatch/dispatchservice.h"
#include "entry/peers/loadexchange.h"
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
#include <string>
#include <vector>

namespace sassafrasyard {

/** Where entry hosts find each other before they know any peer. */
struct HostRegistry
{
    /**
     * Returns the peer addresses that hosts registered, or nothing if the registry is away; empty
     * if hosts are told by PeerService::recordRegisteredHosts().
     */
    std::function<boost::asio::awaitable<std::optional<std::vector<std::string>>>()> readAddresses;
    /** Registers this host by its own record. @return false to be called again later. */
    std::function<boost::asio::awaitable<bool>(MemberRecord self)> registerHost;
    /** Whether a changed record of this host is registered again. */
    bool isReregisteredOnChange = false;
    /** Removes this host's registration. */
    std::function<boost::asio::awaitable<void>()> removeHost;
};

/** Returns the registry that keeps one object per run of the daemon in the object API. */
HostRegistry objectRegistry(ObjectClient &platform, const EntryState &entry);

/** What a PeerService takes from and hands to the rest of its host. */
struct PeerHooks
{
    /** Where hosts find each other. */
    HostRegistry registry;
    /** Returns the backend servers that are known to be leaving, for peers. */
    std::function<std::vector<BackendServerName>()> leavingServers;
    /** Takes in peers' word that backend servers are leaving. */
    std::function<void(const std::vector<BackendServerName> &)> recordLeaving;
    /** Runs a forwarded call that is bound to this host. */
    std::function<boost::asio::awaitable<HttpResponse>(ServiceCall call)> runCall;
    /** Answers a peer's read of what this host has read of the platform's store; may be empty. */
    std::function<boost::asio::awaitable<ObjectReadReply>(ObjectRead read)> answerObjectRead;
    /** Whether hosts compare revisions and pull configuration from each other. */
    bool sharesConfiguration = true;
    /** Whether peers hear at once of prompts that were sent or read, not only at intervals. */
    bool announcesLoadChanges = false;
    /**
     * Returns the peer addresses of the hosts that place work on one of the servers; if it is
     * empty, the next peers in turn hear of a changed load.
     */
    LoadExchange::SelectPeers selectPeers;
    /** Whether this host takes callers from the start, or only once setServing() says so. */
    bool isServingAtStart = true;
};

/** Talks to the other entry hosts: probes, gossip, configuration pulls and forwarded calls. */
class PeerService
{
public:
    /** Creates the service. */
    PeerService(EntryState &state, DispatchService &dispatch, ActorRuntime &runtime,
                boost::asio::io_context &context, PeerHooks hooks);
    PeerService(const PeerService &) = delete;
    PeerService &operator=(const PeerService &) = delete;

    /** Starts listening and joins the other hosts. @param reason receives ConnectionFailed. */
    bool start(Error &reason);
    /** Announces whether this host takes callers. */
    void setServing(bool isServing);
    /** Takes in the records that hosts registered. */
    void recordRegisteredHosts(std::vector<MemberRecord> records);
    /** Tells peers within some milliseconds of load and leaving servers, as when one begins to
     * leave.
     */
    void requestLoadUpdate();
    /** Announces the planned stop to the peers. */
    boost::asio::awaitable<void> leave();
    /** Forwards a call to the host of an incarnation; OutcomeUnknown if that host is gone. */
    boost::asio::awaitable<HttpResponse> forward(const HostIncarnation &incarnation,
                                                 const ServiceCall &call);
    /**
     * Asks a peer for what it has read of the platform's store, on a connection that is kept.
     *
     * @param reason receives ConnectionFailed, Timeout or ProtocolViolation.
     */
    boost::asio::awaitable<std::optional<ObjectReadReply>> readObjects(std::string address,
                                                                       ObjectRead read,
                                                                       Milliseconds timeout,
                                                                       Error &reason);
    /** Asks a member for the configuration revision in force there. */
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
    /** The load that was told at once last, by backend server. */
    std::map<BackendServerName, PeerLoadEntry> lastSentLoad;
    /** A kept connection for reads of one kind of object. */
    struct ReadConnection
    {
        std::string address;
        std::unique_ptr<FrameConnection> connection;
    };

    std::map<std::string, ReadConnection> readConnections;
    std::atomic<std::uint64_t> sequence = 0;
    std::atomic<bool> isPulling = false;
    std::atomic<bool> isRegistering = false;
    /** The version of this host's record that is registered; negative for none. */
    std::atomic<std::int64_t> registeredVersion = -1;
    std::atomic<std::int64_t> nextRegistrationAt = 0;
    /** How many hosts the registry named when it was last read. */
    std::atomic<std::size_t> registeredCount = 0;
};

} // namespace sassafrasyard
