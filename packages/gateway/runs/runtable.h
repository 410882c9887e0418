#pragma once

#include "core/core.h"
#include "gateway/runs/runkey.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sassafrasyard {

/** Limits of a RunTable. */
struct RunTableOptions
{
    /** How many runs are kept; the one that was recorded least recently is dropped first. */
    std::size_t maximumRuns = 16'384;
    /**
     * How long a run is kept after it was last recorded, in milliseconds; callers resume a stream
     * within this time.
     */
    Milliseconds lifetime{120'000};
};

/** What is known of the software version of a run. */
struct RunLookup
{
    /** What is known. */
    enum class Result {
        /** The run is unknown. */
        Unknown,
        /** The version is known. */
        Known,
        /** Several hosts stated different versions, or the run belongs to another service. */
        Ambiguous,
    };

    /** The result. */
    Result result = Result::Unknown;
    /** The software version; valid only with Known. */
    SoftwareVersion version;

    /** Compares all fields. */
    bool operator==(const RunLookup &) const = default;
};

/** The software version of a run. */
struct RunStatement
{
    /** The run. */
    RunKey run;
    /** The name of the service. */
    std::string service;
    /** The software version. */
    SoftwareVersion version;

    /** Compares all fields. */
    bool operator==(const RunStatement &) const = default;
};

/** Returns what two tables know together. */
RunLookup combineLookups(const RunLookup &first, const RunLookup &second);

/** The software versions of recent streams, limited in number and time. */
class RunTable
{
public:
    /** Creates an empty table. @param clock must count suspension. */
    explicit RunTable(Clock clock, RunTableOptions options = {});
    RunTable(const RunTable &) = delete;
    RunTable &operator=(const RunTable &) = delete;

    /** Raises the lifetime to at least the given one; it never falls. */
    void raiseLifetime(Milliseconds lifetime);
    /**
     * Records the version of a run and starts its lifetime anew. It replaces what the same source
     * stated before; if another source stated a different version, the run becomes ambiguous.
     *
     * @param source a digest of the host that serves the stream.
     */
    void record(const RunKey &run, std::string_view service, const SoftwareVersion &version,
                std::uint64_t source);
    /** Returns what is known of a run of a service. */
    RunLookup find(const RunKey &run, std::string_view service);
    /** Returns the runs whose version is known, those that were recorded first at the front. */
    std::vector<RunStatement> statements();
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
        std::uint64_t source = 0;
        bool isAmbiguous = false;
    };

    void removeExpired();
    void remove(std::map<RunKey, Run>::iterator run);

    Clock clock;
    RunTableOptions options;
    /** The versions are shared, because a text for each run would take most of the memory. */
    VersionUses versions;
    std::map<RunKey, Run> runs;
    /** The runs in the order in which they were last recorded. */
    std::list<RunKey> runsByAge;
};

} // namespace sassafrasyard
