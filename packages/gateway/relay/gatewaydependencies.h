#pragma once

#include "entry/entry.h"
#include "gateway/calls/callcodec.h"
#include "gateway/calls/enginecalls.h"
#include "gateway/contact/contactmonitor.h"
#include "gateway/contact/relaypeers.h"
#include "gateway/limits/serverlimiter.h"
#include "gateway/relay/activecalls.h"
#include "gateway/relay/answermemorybudget.h"
#include "gateway/relay/processchecks.h"
#include "gateway/relay/serverreachability.h"
#include "gateway/runs/runversions.h"
#include "gateway/servers/servercatalogue.h"
#include "gateway/state/hostchanges.h"
#include "gateway/state/servingstate.h"
#include "network/network.h"
#include "policy/policy.h"

#include <boost/asio/io_context.hpp>

namespace sassafrasyard {

/** The objects shared by the classes that forward routed calls. All of them run on one thread. */
struct GatewayDependencies
{
    /** Runs everything below. */
    boost::asio::io_context &context;
    /** The state of this host. */
    EntryState &entry;
    /** Admission and placement. */
    DispatchService &dispatch;
    /** Routes, keys and how recently they were confirmed. */
    ServingState &serving;
    /** The registered backend servers. */
    ServerCatalogue &servers;
    /** Pool of persistent connections to backend servers. */
    HttpConnectionPool &connections;
    /** Limits retries per service. */
    ServiceRetryBudget &budget;
    /** Tracks backend servers that refuse connections or asked for a pause. */
    ServerReachability &reachability;
    /** Keeps the limits of backend servers that state how many calls they take. */
    ServerLimiter &limiter;
    /** Keeps the software versions that served recent streams. */
    RunVersions &runVersions;
    /** Tells whether this host reaches the servers of a service. */
    ContactMonitor &contacts;
    /** Finds peers that reach the servers of a service. */
    RelayPeers &relayPeers;
    /** Translates headers between the wire and the types of this package. */
    CallCodec codec;
    /** Requests to engines that the gateway makes itself. */
    EngineCalls engines;
    /** A clock that also counts the time for which the machine was suspended. */
    Clock clock;
    /** Limits the memory of buffered responses. */
    AnswerMemoryBudget answerMemory{};
    /** The calls in progress. */
    ActiveCalls activeCalls{};
    /** Asks the processes of servers whether they outlived a stream. */
    ProcessChecks processChecks{};
    /** When planned changes of this host took place. */
    HostChanges changes{};
};

} // namespace sassafrasyard
