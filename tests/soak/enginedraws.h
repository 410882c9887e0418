#pragma once

#include "engineconnection.h"

#include "core/core.h"

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace sassafrasyard {

/** What becomes of the answer to a request that has stopped a run. */
enum class StopAnswer {
    /** It is sent at once. */
    Sent,
    /** It is sent late. */
    Late,
    /** It says that the run has stopped and was not copied, with a handle. */
    Kept,
    /** Its connection is reset instead. */
    Reset,
    /** Its connection is closed instead. */
    Closed,
};

/** What an engine does with the first request to stop a run. */
enum class StopDecline {
    /** It stops the run. */
    None,
    /** It declines, and the run goes on. */
    RunGoesOn,
    /** It declines, but stops the run at once, which the platform's pages do not allow. */
    StoppedAtOnce,
    /** It declines, but stops the run later, which the platform's pages do not allow. */
    StoppedLater,
};

/** Returns the name of what an engine does. */
std::string_view toString(StopDecline decline);

/** Returns the name of what becomes of an answer. */
std::string_view toString(StopAnswer answer);

/**
 * How the engines of a fleet answer.
 *
 * Each draw follows from the seed and the request alone, so that it depends on no other draw and
 * not on the order of events.
 */
class EngineDraws
{
public:
    /** @param unframedPercent the share of the streams that have neither a length nor chunks. */
    EngineDraws(std::uint64_t seed, int unframedPercent);

    /** Returns what ends the body of a stream. @param run names a run of a request. */
    StreamFraming framing(const std::string &run) const;

    /** Returns whether an engine exits at the end of its leaving although streams are open. */
    bool exitsWithStreams(const std::string &engine) const;

    /** Returns how long an engine works on a request to stop a run before it stops it. */
    Milliseconds stopDelay(const std::string &run) const;

    /** Returns what an engine does with the first request to stop a run. */
    StopDecline stopDecline(const std::string &run) const;

    /** Returns what becomes of the answer to a request that has stopped a run. */
    StopAnswer stopAnswer(const std::string &run) const;

    /** Returns how late a late answer is. */
    Milliseconds answerDelay(const std::string &run) const;

private:
    int draw(const std::string &name, int minimum, int maximum) const;

    std::uint64_t seed;
    int unframedPercent;
};

} // namespace sassafrasyard
