#pragma once

#include "backends/backends.h"
#include "entry/dispatch/dispatchservice.h"
#include "entry/positions/positioncodec.h"
#include "entry/state/entrystate.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>

namespace sassafrasyard {

/** One token as it is delivered to the caller. */
struct DeliveredToken
{
    /** The stream position after this token. */
    StreamPosition position;
    /** The text of the token. */
    std::string text;
};

/** How a relay ended. */
enum class RelayEnd {
    /** The engine finished the generation and all tokens were delivered. */
    Finished,
    /** The caller disconnected. */
    CallerGone,
    /** The generation could not be continued on its engine. */
    ServerLost,
};

/** The result of a relay. */
struct RelayResult
{
    /** How the relay ended. */
    RelayEnd end = RelayEnd::ServerLost;
    /** The engine's finish reason if it finished. */
    std::string finishReason;
    /** The number of delivered tokens of the generation, those before a resume included. */
    std::uint64_t tokens = 0;
    /** The failure, if the end is ServerLost. */
    Error reason;
};

/**
 * Relays the tokens of one generation to the caller, each once and in order.
 *
 * Events of another generation and events with an index already delivered are counted and dropped.
 * After a gap, a stall or a lost connection, the relay resumes the generation on the same engine at
 * the next index; it never continues with another generation. After the caller has disconnected,
 * the relay does not resume, because the caller may already read the generation through another
 * entry host.
 */
class StreamRelay
{
public:
    /** Delivers tokens to the caller. @return false if the caller has disconnected. */
    using Deliver =
            std::function<boost::asio::awaitable<bool>(const std::vector<DeliveredToken> &tokens)>;

    /** Returns whether the caller has disconnected; does not block. */
    using IsCallerGone = std::function<bool()>;

    /** Creates a relay for a started stream. @param engine the engine's address. */
    StreamRelay(EntryState &state, DispatchService &dispatch, Grant grant, Endpoint engine);

    /** Starts after the given position instead of at the first token; call before run(). */
    void continueAfter(const StreamPosition &position);

    /**
     * Relays until the generation finishes, the caller disconnects or the engine is lost.
     *
     * @param stream a stream that has been started or resumed.
     */
    boost::asio::awaitable<RelayResult> run(GenerationStream &stream, const Deliver &deliver,
                                            const IsCallerGone &isCallerGone);

    /** Returns the generation's name; empty until the engine has sent it. */
    const GenerationName &generation() const;

private:
    bool accept(const GenerationEvent &event, std::vector<DeliveredToken> &batch);
    boost::asio::awaitable<bool> reconnect(GenerationStream &stream, Error &reason);
    bool isSuspensionRequested() const;
    boost::asio::awaitable<bool> suspend(GenerationStream &stream, Error &reason);
    void dropUnexpectedEvent(const GenerationEvent &event);

    EntryState &entry;
    DispatchService &dispatch;
    Grant grant;
    Endpoint engine;
    GenerationName currentGeneration;
    std::uint64_t nextIndex = 0;
    std::uint64_t reportedTokens = 0;
    RollingDigest digest;
    bool hasGap = false;
    int reconnects = 0;
};

} // namespace sassafrasyard
