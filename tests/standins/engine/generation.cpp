#include "generation.h"

#include <chrono>
#include <utility>

namespace sassafrasyard {

namespace {

constexpr std::uint64_t seedModulus = 1000;
constexpr std::int64_t microsecondsPerMillisecond = 1000;

} // namespace

std::int64_t steadyMicroseconds()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

Generation::Generation(std::string name, std::uint64_t number, std::uint64_t seed,
                       bool hasTimestamps)
    : name(std::move(name))
    , eventPrefix("data: {\"generation\":\"" + this->name + "\",\"index\":")
    , tokenPrefix(",\"token\":\" w" + std::to_string(seed % seedModulus) + ".")
    , modelNumber(number)
    , hasTimestamps(hasTimestamps)
    , receivedAt(steadyMicroseconds())
    , lastReadAt(steadyMicroseconds())
{
}

std::uint64_t Generation::number() const
{
    return this->modelNumber;
}

std::uint64_t Generation::tokenCount() const
{
    return this->readableTokens;
}

void Generation::addToken()
{
    ++this->readableTokens;
}

void Generation::appendEvent(std::uint64_t index, std::string &text) const
{
    const std::string digits = std::to_string(index);
    text.append(this->eventPrefix).append(digits).append(this->tokenPrefix).append(digits);
    if (this->hasTimestamps) {
        text.append("@").append(std::to_string(steadyMicroseconds()));
        if (index == 0)
            text.append("/").append(std::to_string(this->receivedAt));
    }
    text.append("\"}\n\n");
}

std::string Generation::finishEvent(std::uint64_t index, const std::string &reason) const
{
    return this->eventPrefix + std::to_string(index) + ",\"finish\":\"" + reason + "\"}\n\n";
}

std::uint64_t Generation::addReader()
{
    ++this->readers;
    return ++this->readerEpoch;
}

void Generation::removeReader()
{
    --this->readers;
    this->lastReadAt = steadyMicroseconds();
}

bool Generation::isCurrentReader(std::uint64_t epoch) const
{
    return this->readerEpoch == epoch;
}

std::int64_t Generation::unreadMilliseconds() const
{
    return this->readers > 0
            ? 0
            : (steadyMicroseconds() - this->lastReadAt) / microsecondsPerMillisecond;
}

} // namespace sassafrasyard
