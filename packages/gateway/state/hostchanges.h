#pragma once

#include "core/core.h"

#include <optional>

namespace sassafrasyard {

/**
 * When planned changes of this host took place, and when it was late; stated in log lines to tell
 * their effects apart.
 */
struct HostChanges
{
    /** When the configuration in force was applied; nothing before the first one. */
    std::optional<Milliseconds> configurationAppliedAt;
    /** When the settings were last read again because of a signal. */
    std::optional<Milliseconds> reloadedAt;
    /** When a planned stop started. */
    std::optional<Milliseconds> stopStartedAt;
    /** When a timer last fired late, because this host had no processor time or was suspended. */
    std::optional<Milliseconds> lateAt;
    /** How late that timer was. */
    Milliseconds lateBy{0};

    /**
     * Records when a timer fired.
     *
     * @param dueAt when it was due, on the clock that counts suspension.
     * @return whether it was late by 300 ms or more, so that time limits of calls may have
     *     passed before this host could read what had arrived in time.
     */
    bool recordTimer(Milliseconds dueAt, Milliseconds now)
    {
        constexpr Milliseconds lateThreshold{300};
        const bool isLate = now - dueAt >= lateThreshold;
        if (isLate) {
            this->lateAt = now;
            this->lateBy = now - dueAt;
        }
        return isLate;
    }
};

} // namespace sassafrasyard
