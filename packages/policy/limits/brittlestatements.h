#pragma once

#include "core/core.h"

#include <map>
#include <optional>
#include <string>

namespace sassafrasyard {

/**
 * The services whose servers state that they are brittle: a server that rejects more calls a second
 * than it states, from all entry hosts together, falls over.
 *
 * The servers of a service are brittle at the same time, so the word of one counts for all, also
 * for those that this host had no response from. Uses no clock or other input.
 */
class BrittleStatements
{
public:
    /** How long a statement counts that no response of the server process has confirmed. */
    static constexpr Milliseconds retention{30000};

    /**
     * Records what a response states. A response without a statement ends an earlier one of the
     * same process only if its call was sent after that was received, because responses on
     * different connections overtake each other.
     *
     * @param rejectionsPerSecond what the server bears, or nothing if the response states nothing.
     * @param sentAt when the call was sent.
     * @return whether the service became brittle or ceased to be so.
     */
    bool recordResponse(const std::string &service, const BackendServerName &run,
                        std::optional<double> rejectionsPerSecond, Milliseconds sentAt,
                        Milliseconds now);
    /** Returns the lowest statement of a service in rejections a second, or nothing. */
    std::optional<double> rejectionLimit(const std::string &service) const;
    /** Returns whether no service is brittle. */
    bool isEmpty() const;
    /** Removes statements that were not confirmed for long. */
    void removeExpired(Milliseconds now);

private:
    struct Statement
    {
        double rejectionsPerSecond = 0.0;
        Milliseconds statedAt{0};
    };

    std::map<std::string, std::map<BackendServerName, Statement>> services;
};

} // namespace sassafrasyard
