#pragma once

#include "core/core.h"
#include "gateway/runs/runkey.h"
#include "gateway/runs/runtable.h"
#include "protocol/protocol.h"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sassafrasyard {

/** Limits of a RunVersions. */
using RunVersionsOptions = RunTableOptions;

/** The functions that connect a RunVersions to the rest of its host; each may be empty. */
struct RunVersionsHooks
{
    /** Tells other hosts the software version of a stream; see RunVersionExchange. */
    std::function<void(const RunKey &, const std::string &service, const SoftwareVersion &)> tell;
    /** Asks other hosts for the software version of a stream; see RunVersionExchange. */
    std::function<boost::asio::awaitable<RunLookup>(RunKey, std::string service)> ask;
    /** Returns the version that has served all recent streams of a service; see VersionHistory. */
    std::function<std::optional<SoftwareVersion>(std::string_view service)> soleVersion;
    /**
     * Waits for a list of servers that is complete as of an instant later than the given one;
     * returns false if there is none in time. Without this function, no sole version counts.
     */
    std::function<boost::asio::awaitable<bool>(Milliseconds than, Milliseconds endAt)> awaitServers;
};

/**
 * Keeps the software versions of the servers that served recent streams, so that a stream which its
 * caller resumes continues on the same version.
 *
 * Streams that began at other hosts and that those told this one have a table of their own, so that
 * they don't displace the streams of this host. All calls come from one thread.
 */
class RunVersions
{
public:
    /** Creates an object that knows no runs. @param clock must count suspension. */
    explicit RunVersions(Clock clock, RunVersionsOptions options = {});
    RunVersions(const RunVersions &) = delete;
    RunVersions &operator=(const RunVersions &) = delete;

    /** Sets the hooks. Without them, this host knows only its own runs. */
    void setHooks(RunVersionsHooks newHooks);
    /** Raises the time for which runs are kept to at least the given one; it never falls. */
    void raiseLifetime(Milliseconds lifetime);

    /**
     * Records the software version that serves a caller's stream; replaces what was recorded of the
     * run before and starts its lifetime anew.
     *
     * @param service the name of the service; a version has a meaning only within its service.
     */
    void record(const RunKey &run, std::string_view service, const SoftwareVersion &version);
    /**
     * Returns the software version of a run that a caller resumes, or nothing if it is unknown, the
     * run belongs to another service, or several versions were stated for it.
     *
     * What this host recorded or was told decides; then what peers know, for which this waits for
     * RunVersionExchange::askTimeout at most; then the only version of the service, if no other one
     * was in service recently. That counts only by a list of servers that is newer than this call:
     * the peers of a host that is out of step don't answer, and an older list may lack the servers
     * that began the stream. This waits for such a list.
     *
     * @param endAt when to stop waiting, on the clock of this object.
     */
    boost::asio::awaitable<std::optional<SoftwareVersion>> find(RunKey run, std::string service,
                                                                Milliseconds endAt);
    /**
     * As find(), but only what hosts recorded counts. The sole version of a service says nothing of
     * a stream that may have begun at another service.
     */
    boost::asio::awaitable<std::optional<SoftwareVersion>> findStated(RunKey run,
                                                                      std::string service);

    /**
     * Records the versions that a peer stated.
     *
     * @return nothing if the message is malformed; all of it is ignored then.
     */
    std::optional<RunVersionUpdateReply> recordUpdate(const RunVersionUpdate &update);
    /** Answers a peer from what this host recorded or was told. */
    RunVersionReply answer(const RunVersionRequest &request);

    /** Returns the software version of a run as recorded on this host or told to it; see find(). */
    std::optional<SoftwareVersion> findRecorded(const RunKey &run, std::string_view service);
    /** Returns all runs whose version this host recorded or was told. */
    std::vector<RunStatement> statements();
    /** Returns the number of runs that are kept. */
    std::size_t size() const;
    /** Returns the number of different software versions of the runs that are kept. */
    std::size_t versionCount() const;

private:
    RunLookup lookUp(const RunKey &run, std::string_view service);
    boost::asio::awaitable<RunLookup> search(RunKey run, std::string service);

    Clock clock;
    RunVersionsHooks hooks;
    RunTable ownRuns;
    RunTable peerRuns;
};

} // namespace sassafrasyard
