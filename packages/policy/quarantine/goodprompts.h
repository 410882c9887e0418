#pragma once

#include "core/core.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

namespace sassafrasyard {

/** A run that produced output without crashing its server. */
struct GoodRun
{
    /** The part of the prompt. */
    std::uint64_t part = 0;
    /** Identifies the run; equal on all hosts that learned of it. */
    std::uint64_t name = 0;
    /** When it was recorded. */
    Milliseconds at{0};
    /** Until when peers are told of it. */
    Milliseconds sharedUntil{0};
};

/** Remembers the last good run of each part of a prompt; drops the part that was used least lately.
 */
class GoodPrompts
{
public:
    /** How long peers are told of a run that cleared a part, in milliseconds. */
    static constexpr Milliseconds sharingTime{60'000};

    /** Creates an empty memory. */
    explicit GoodPrompts(std::size_t limit);

    /**
     * Records a run; of two runs the later one counts, and of two copies the earlier one, because a
     * copy that was sent looks newer.
     *
     * @return when the part's last good run was.
     */
    Milliseconds record(const GoodRun &run);
    /** Returns when the last good run of a part was, or nothing if none is remembered. */
    std::optional<Milliseconds> lastAt(std::uint64_t part) const;
    /** Returns whether no run was recorded. */
    bool isEmpty() const;
    /** Returns the runs of which peers are told. */
    std::vector<GoodRun> shared(Milliseconds now) const;

private:
    std::size_t limit;
    /** No run is shared after this. */
    Milliseconds lastSharedUntil{0};
    /** The runs, the one recorded last at the front. */
    std::list<GoodRun> runs;
    std::unordered_map<std::uint64_t, std::list<GoodRun>::iterator> byPart;
};

} // namespace sassafrasyard
