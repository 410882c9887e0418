#pragma once

#include "entry/entry.h"
#include "gateway/runs/runtable.h"
#include "gateway/runs/runversionexchange.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <vector>

namespace sassafrasyard {

/**
 * Keeps the software versions of streams on as many hosts as they began with while hosts join,
 * restart and leave.
 *
 * A host that restarts has an empty memory under its old name. Whoever knows a stream tells it to
 * those hosts that became its keepers since the members changed. All calls come from one thread.
 */
class RunReplicator
{
public:
    /** Returns what this host knows of the streams; see RunVersions::statements(). */
    using Statements = std::function<std::vector<RunStatement>()>;

    /** Creates a replicator that knows no members. */
    RunReplicator(EntryState &entry, boost::asio::io_context &context, RunVersionExchange &exchange,
                  Statements statements);
    RunReplicator(const RunReplicator &) = delete;
    RunReplicator &operator=(const RunReplicator &) = delete;

    /** Compares the members with those before. Call it several times a second. */
    void advance();
    /** Tells all streams to their keepers, before this host stops as planned. */
    void handOver();

private:
    using Members = std::shared_ptr<const std::vector<MemberRecord>>;

    boost::asio::awaitable<void> replicate();
    boost::asio::awaitable<void> waitForRoom();
    void tellNewKeepers(const RunStatement &statement, std::span<const MemberRecord> before,
                        std::span<const MemberRecord> now);

    EntryState &entry;
    boost::asio::io_context &context;
    RunVersionExchange &exchange;
    Statements statements;
    /** The members for which all streams were told; null for none. */
    Members replicatedFor;
    bool isReplicating = false;
    bool isHandOverRequested = false;
};

} // namespace sassafrasyard
