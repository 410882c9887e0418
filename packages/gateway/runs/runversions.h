#pragma once

#include "core/core.h"
#include "gateway/runs/runkey.h"

#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace sassafrasyard {

/** Limits of a RunVersions. */
struct RunVersionsOptions
{
    /** How many runs are kept; the one that was recorded least recently is dropped first. */
    std::size_t maximumRuns = 16'384;
    /**
     * How long a run is kept after it was last recorded, in milliseconds; callers resume a stream
     * within this time.
     */
    Milliseconds lifetime{120'000};
};

/**
 * Keeps the software versions of the servers that served recent streams, so that a stream which its
 * caller resumes continues on the same version.
 */
class RunVersions
{
public:
    /** Creates an object that knows no runs. @param clock must count suspension. */
    explicit RunVersions(Clock clock, RunVersionsOptions options = {});
    RunVersions(const RunVersions &) = delete;
    RunVersions &operator=(const RunVersions &) = delete;

    /**
     * Records the software version that serves a caller's stream; replaces what was recorded of the
     * run before and starts its lifetime anew.
     *
     * @param service the name of the service; a version has a meaning only within its service.
     */
    void record(const RunKey &run, std::string_view service, const SoftwareVersion &version);
    /**
     * Returns the software version of a run that a caller resumes, or nothing if it is unknown or
     * the run belongs to another service.
     */
    boost::asio::awaitable<std::optional<SoftwareVersion>> find(RunKey run, std::string service);

    /** Returns the software version of a run as recorded on this host; see find(). */
    std::optional<SoftwareVersion> findRecorded(const RunKey &run, std::string_view service);
    /** Returns the number of runs that are kept. */
    std::size_t size() const;
    /** Returns the number of different software versions of the runs that are kept. */
    std::size_t versionCount() const;

private:
    /** The service and the software version of runs, and how many runs refer to them. */
    using VersionUses = std::map<std::pair<std::string, SoftwareVersion>, std::size_t>;

    struct Run
    {
        VersionUses::iterator version;
        Milliseconds recordedAt{0};
        /** The position of the run in runsByAge. */
        std::list<RunKey>::iterator position;
    };

    void removeExpired();
    void remove(std::map<RunKey, Run>::iterator run);

    Clock clock;
    RunVersionsOptions options;
    /** The versions are shared, because a text for each run would take most of the memory. */
    VersionUses versions;
    std::map<RunKey, Run> runs;
    /** The runs in the order in which they were last recorded. */
    std::list<RunKey> runsByAge;
};

} // namespace sassafrasyard
