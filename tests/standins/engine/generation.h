#pragma once

#include <cstdint>
#include <string>

namespace sassafrasyard {

/** Returns the steady clock's time in microseconds, comparable between processes of one machine. */
std::int64_t steadyMicroseconds();

/** One generation of the stand-in engine and its readers. */
class Generation
{
public:
    /**
     * Creates a generation.
     *
     * @param name its name in the protocol.
     * @param number its number in the engine model.
     * @param seed determines the token texts.
     */
    Generation(std::string name, std::uint64_t number, std::uint64_t seed, bool hasTimestamps);

    /** Returns its name in the protocol. */
    const std::string &protocolName() const { return this->name; }
    Generation(const Generation &) = delete;
    Generation &operator=(const Generation &) = delete;

    /** Returns the number in the engine model. */
    std::uint64_t number() const;
    /** Returns how many tokens may be read. */
    std::uint64_t tokenCount() const;
    /** Adds the next token. */
    void addToken();

    /**
     * Appends the event of one token to a text.
     *
     * The token's text is " w" + seed modulo 1000 + "." + index. If stamping, it is followed by "@"
     * and the time of this call, and for index 0 by "/" and the time at which the request
     * arrived, in microseconds of the machine's steady clock: entry hosts pass only the text on,
     * so callers behind them can read the stamps too.
     */
    void appendEvent(std::uint64_t index, std::string &text) const;
    /** Returns the last event's text. @param reason why the generation ended. */
    std::string finishEvent(std::uint64_t index, const std::string &reason) const;

    /** Counts readers; a later one silences the earlier one. @return the reader's epoch. */
    std::uint64_t addReader();
    /** Ends one reader. */
    void removeReader();
    /** Returns whether no later reader has come. */
    bool isCurrentReader(std::uint64_t epoch) const;
    /** Returns how long nobody has read, in milliseconds; 0 while somebody does. */
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
