#pragma once

#include "core/core.h"

#include <optional>

namespace sassafrasyard {

/** When planned changes of this host took place; stated in log lines to tell their effects apart.
 */
struct HostChanges
{
    /** When the configuration in force was applied; nothing before the first one. */
    std::optional<Milliseconds> configurationAppliedAt;
    /** When the settings were last read again because of a signal. */
    std::optional<Milliseconds> reloadedAt;
    /** When a planned stop started. */
    std::optional<Milliseconds> stopStartedAt;
};

} // namespace sassafrasyard
