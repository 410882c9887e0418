#pragma once

#include <cstdint>
#include <string>

namespace sassafrasyard {

/** Returns the steady clock's time in microseconds. Processes of one machine share this clock. */
std::int64_t steadyMicroseconds();

/** A generation of the stand-in engine, with its readers. */
class Generation
{
public:
    /**
     * Creates a generation.
     *
     * @param name its name in the engine protocol.
     * @param number its number in the engine model.
     * @param seed determines the token texts.
     * @param hasTimestamps whether token texts contain timestamps, see appendEvent().
     */
    Generation(std::string name, std::uint64_t number, std::uint64_t seed, bool hasTimestamps);

    /** Returns its name in the engine protocol. */
    const std::string &protocolName() const { return this->name; }
    Generation(const Generation &) = delete;
    Generation &operator=(const Generation &) = delete;

    /** Returns the number in the engine model. */
    std::uint64_t number() const;
    /** Returns the number of tokens that readers can read. */
    std::uint64_t tokenCount() const;
    /** Makes the next token readable. */
    void addToken();

    /**
     * Appends the server-sent event of one token to a text.
     *
     * The token's text is " w" + seed modulo 1000 + "." + index. With timestamps, it is
     * followed by "@" and the time of this call, and for index 0 by "/" and the time at which the
     * request arrived, in microseconds of the machine's steady clock. The times are in the text
     * because entry hosts forward only the text, and callers behind them read the times.
     */
    void appendEvent(std::uint64_t index, std::string &text) const;
    /** Returns the final event. @param reason why the generation ended, such as "length". */
    std::string finishEvent(std::uint64_t index, const std::string &reason) const;

    /** Adds a reader, which replaces the earlier one. @return the epoch of the new reader. */
    std::uint64_t addReader();
    /** Removes a reader, at the end of its stream. */
    void removeReader();
    /** Returns whether the reader with this epoch has not been replaced by a later one. */
    bool isCurrentReader(std::uint64_t epoch) const;
    /** Returns the time since the last reader left, in milliseconds; 0 while there is a reader. */
    std::int64_t unreadMilliseconds() const;

private:
    std::string name;
    std::string eventPrefix;
    std::string tokenPrefix;
    std::uint64_t modelNumber;
    bool hasTimestamps;
    std::uint64_t readableTokens = 0;
    std::int64_t receivedAt;
    int readers = 0;
    std::uint64_t readerEpoch = 0;
    std::int64_t lastReadAt;
};

} // namespace sassafrasyard
