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
    /** Where the stream stands after this token. */
    StreamPosition position;
    /** The token's text. */
    std::string text;
};

/** How a relay ended. */
enum class RelayEnd {
    Finished,
    CallerGone,
    ServerLost,
};

/** What a relay delivered. */
struct RelayResult
{
    /** How it ended. */
    RelayEnd end = RelayEnd::ServerLost;
    /** The engine's finish reason if it finished. */
    std::string finishReason;
    /** The number of tokens of the generation that were delivered, by this relay or before. */
    std::uint64_t tokens = 0;
    /** Why the server is lost. */
    Error reason;
};

/**
 * Passes the tokens of one generation on, each once and in order.
 *
 * Events of another generation or with an index already delivered are counted and dropped. After a
 * gap, a stall or a cut connection the relay resumes the generation on the same engine at the next
 * index; it never continues with another generation. If the caller is gone it does not resume,
 * because the caller may read the generation through another entry host by then.
 */
class StreamRelay
{
public:
    /** Delivers tokens to the caller. @return false if the caller is gone. */
    using Deliver =
            std::function<boost::asio::awaitable<bool>(const std::vector<DeliveredToken> &tokens)>;

    /** Returns whether the caller is gone, without waiting. */
    using IsCallerGone = std::function<bool()>;

    /** Creates a relay for a started stream. @param engine the engine's address. */
    StreamRelay(EntryState &state, DispatchService &dispatch, Grant grant, Endpoint engine);

    /** Continues after a position instead of from the first token. */
    void continueAfter(const StreamPosition &position);

    /** Relays until the end. @param stream has been started or resumed. */
    boost::asio::awaitable<RelayResult> run(GenerationStream &stream, const Deliver &deliver,
                                            const IsCallerGone &isCallerGone);

    /** Returns the generation's name, empty until the engine told it. */
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
