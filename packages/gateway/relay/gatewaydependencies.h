#pragma once

#include "entry/entry.h"
#include "gateway/calls/callcodec.h"
#include "gateway/calls/enginecalls.h"
#include "gateway/relay/answermemorybudget.h"
#include "gateway/relay/serverreachability.h"
#include "gateway/servers/servercatalogue.h"
#include "gateway/state/servingstate.h"
#include "network/network.h"
#include "policy/policy.h"

#include <boost/asio/io_context.hpp>

namespace sassafrasyard {

/** What the parts that carry routed calls share. They run on one thread. */
struct GatewayDependencies
{
    /** Runs everything below. */
    boost::asio::io_context &context;
    /** The host's own state. */
    EntryState &entry;
    /** Admission and placement. */
    DispatchService &dispatch;
    /** Routes, keys and their freshness. */
    ServingState &serving;
    /** The registered backend servers. */
    ServerCatalogue &servers;
    /** Kept connections to backend servers. */
    HttpConnectionPool &connections;
    /** Bounds second attempts over all hosts. */
    ServiceRetryBudget &budget;
    /** Which backend servers could be connected to. */
    ServerReachability &reachability;
    /** Translates headers. */
    CallCodec codec;
    /** Calls to engines that no caller made. */
    EngineCalls engines;
    /** Counts suspension. */
    Clock clock;
    /** Bounds the answers that are held until they are complete. */
    AnswerMemoryBudget answerMemory{};
};

} // namespace sassafrasyard
