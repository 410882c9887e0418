#include "enginedraws.h"

namespace sassafrasyard {

namespace {

constexpr int certain = 100;

} // namespace

std::string_view toString(StopAnswer answer)
{
    switch (answer) {
    case StopAnswer::Sent:
        return "answered";
    case StopAnswer::Late:
        return "answered late";
    case StopAnswer::Kept:
        return "answered as kept";
    case StopAnswer::Reset:
        return "reset";
    case StopAnswer::Closed:
        return "closed";
    }
    return "unknown";
}

std::string_view toString(StopDecline decline)
{
    switch (decline) {
    case StopDecline::None:
        return "not declined";
    case StopDecline::RunGoesOn:
        return "declined";
    case StopDecline::StoppedAtOnce:
        return "declined but stopped at once";
    case StopDecline::StoppedLater:
        return "declined but stopped later";
    }
    return "unknown";
}

EngineDraws::EngineDraws(std::uint64_t seed, int unframedPercent)
    : seed(seed)
    , unframedPercent(unframedPercent)
{
}

StreamFraming EngineDraws::framing(const std::string &run) const
{
    const bool isUnframed = this->draw("framing " + run, 1, certain) <= this->unframedPercent;
    return isUnframed ? StreamFraming::Close : StreamFraming::Chunks;
}

bool EngineDraws::exitsWithStreams(const std::string &engine) const
{
    constexpr int chance = 50;
    return this->draw("exit with streams " + engine, 1, certain) <= chance;
}

Milliseconds EngineDraws::stopDelay(const std::string &run) const
{
    constexpr int delayChance = 40;
    constexpr int longestDelay = 400;
    if (this->draw("stop is late " + run, 1, certain) > delayChance)
        return Milliseconds(0);
    return Milliseconds(this->draw("stop delay " + run, 1, longestDelay));
}

StopDecline EngineDraws::stopDecline(const std::string &run) const
{
    constexpr int declineChance = 10;
    constexpr int stoppedAtOnceChance = 3;
    constexpr int stoppedLaterChance = 3;
    int value = this->draw("decline " + run, 1, certain);
    if (value <= declineChance)
        return StopDecline::RunGoesOn;
    value -= declineChance;
    if (value <= stoppedAtOnceChance)
        return StopDecline::StoppedAtOnce;
    value -= stoppedAtOnceChance;
    return value <= stoppedLaterChance ? StopDecline::StoppedLater : StopDecline::None;
}

StopAnswer EngineDraws::stopAnswer(const std::string &run) const
{
    constexpr int lateChance = 25;
    constexpr int keptChance = 15;
    constexpr int resetChance = 15;
    constexpr int closedChance = 15;
    int value = this->draw("stop answer " + run, 1, certain);
    if (value <= lateChance)
        return StopAnswer::Late;
    value -= lateChance;
    if (value <= keptChance)
        return StopAnswer::Kept;
    value -= keptChance;
    if (value <= resetChance)
        return StopAnswer::Reset;
    return value - resetChance <= closedChance ? StopAnswer::Closed : StopAnswer::Sent;
}

Milliseconds EngineDraws::answerDelay(const std::string &run) const
{
    constexpr int longestDelay = 2500;
    return Milliseconds(this->draw("answer delay " + run, 1, longestDelay));
}

int EngineDraws::draw(const std::string &name, int minimum, int maximum) const
{
    const std::string text = std::to_string(this->seed) + " " + name;
    std::seed_seq sequence(text.begin(), text.end());
    std::mt19937_64 random(sequence);
    return std::uniform_int_distribution<int>(minimum, maximum)(random);
}

} // namespace sassafrasyard
