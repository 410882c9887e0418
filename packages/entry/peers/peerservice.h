#pragma once

#include "entry/calls/servicecallhandler.h"
#include "entry/dispatch/backendmonitor.h"
#include "entry/dispatch/dispatchservice.h"
#include "entry/peers/loadexchange.h"
#include "entry/state/entrystate.h"
#include "membership/membership.h"
#include "platform/platform.h"
#include "runtime/runtime.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <memory>

namespace sassafrasyard {

/** Talks to the other entry hosts: probes, gossip, configuration pulls and forwarded calls. */
class PeerService
{
public:
    /** Runs a forwarded call that is bound to this host. */
    using RunCall = std::function<boost::asio::awaitable<HttpResponse>(ServiceCall call)>;

    /** Creates the service. @param platform finds peers at the start; may be unavailable. */
    PeerService(EntryState &state, DispatchService &dispatch, BackendMonitor &monitor,
                ObjectClient &platform, ActorRuntime &runtime, boost::asio::io_context &context,
                RunCall runCall);
    PeerService(const PeerService &) = delete;
    PeerService &operator=(const PeerService &) = delete;

    /** Starts listening and joins the other hosts. @param reason receives ConnectionFailed. */
    bool start(Error &reason);
    /** Announces the planned stop to the peers. */
    boost::asio::awaitable<void> leave();
    /** Forwards a call to the host of an incarnation; OutcomeUnknown if that host is gone. */
    boost::asio::awaitable<HttpResponse> forward(const HostIncarnation &incarnation,
                                                 const ServiceCall &call);
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
    boost::asio::awaitable<void> join();
    boost::asio::awaitable<bool> registerInPlatform();
    boost::asio::awaitable<void> keepRegistering();
    boost::asio::awaitable<void> probe(MemberRecord target);
    boost::asio::awaitable<bool> probeAddress(std::string address, bool wantsAllMembers);
    boost::asio::awaitable<bool> probeIndirectly(MemberRecord target);
    boost::asio::awaitable<Gossip> collectGossip(bool includesAllMembers);
    boost::asio::awaitable<void> addLoad(Gossip &gossip);
    boost::asio::awaitable<std::string> encodeLoadUpdate();
    void takeInLoad(const Gossip &gossip);
    boost::asio::awaitable<void> takeIn(MemberRecord sender, Gossip gossip);
    boost::asio::awaitable<void> pullConfiguration(std::string address);
    boost::asio::awaitable<std::shared_ptr<const ConfigurationSource>> pullSource(
            std::string address);
    boost::asio::awaitable<void> publish();

    EntryState &entry;
    DispatchService &dispatch;
    BackendMonitor &monitor;
    ObjectClient &platform;
    boost::asio::io_context &context;
    RunCall runCall;
    StateOwner<MemberTable> members;
    FrameServer server;
    LoadExchange loadExchange;
    std::atomic<std::uint64_t> sequence = 0;
    std::atomic<bool> isPulling = false;
};

} // namespace sassafrasyard
