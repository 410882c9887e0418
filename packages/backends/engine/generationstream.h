#pragma once

#include "core/core.h"
#include "network/network.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace sassafrasyard {

/** The parameters of a generation. */
struct GenerationRequest
{
    /** The request's name on the entry host, for the engine's logs. */
    RequestName request;
    /** The model. */
    ModelName model;
    /** The model's version; empty for any. */
    std::string version;
    /** The prompt. */
    std::string prompt;
    /** The limit on the output in tokens; 0 for none. */
    std::uint32_t maximumTokens = 0;
    /** The sampling seed. */
    std::uint64_t seed = 0;
    /** The priority on the engine; higher values are scheduled first. */
    int priority = 0;
};

/** One event of an engine's stream. */
struct GenerationEvent
{
    /** The generation on the engine. */
    GenerationName generation;
    /** The token's index, from 0; for the finish event, the number of tokens. */
    std::uint64_t index = 0;
    /** The token's text; empty for the finish event. */
    std::string token;
    /** Why the generation ended; empty for a token. */
    std::string finishReason;

    /** Returns whether this is the last event. */
    bool isFinish() const { return !this->finishReason.empty(); }
};

/**
 * An engine's event stream, started or resumed.
 *
 * Failures: BackendServerRefused with NotRun if the engine refused the request before running it,
 * BackendServerLost with NotRun if it could not be reached, NotFound if it does not know the
 * generation, ProtocolViolation with OutcomeUnknown after a malformed event, BackendServerLost or
 * Timeout with OutcomeUnknown otherwise.
 */
class GenerationStream
{
public:
    /** Starts a generation. @return false with the reason set on failure. */
    boost::asio::awaitable<bool> start(const Endpoint &engine, const GenerationRequest &request,
                                       HttpTimeouts timeouts, Error &reason);

    /** Resumes a generation. @param from the index of the first token to receive. */
    boost::asio::awaitable<bool> resume(const Endpoint &engine, const GenerationName &generation,
                                        std::uint64_t from, HttpTimeouts timeouts, Error &reason);

    /** Waits for the next event. @param timeout how long the engine may send nothing, in ms. */
    boost::asio::awaitable<std::optional<GenerationEvent>> next(Milliseconds timeout,
                                                                Error &reason);

    /** Returns the next event that has already been received, or nothing. Does not wait. */
    std::optional<GenerationEvent> nextBuffered(Error &reason);

    /** Returns the generation from the header of the response; empty if there was none. */
    const GenerationName &announcedGeneration() const;

    /** Sets a function that runs while the engine sends nothing. @see HttpStream::setIdleHook */
    void setIdleHook(std::function<void()> hook);

    /** Closes the connection to the engine. */
    void close();

private:
    boost::asio::awaitable<bool> open(const Endpoint &engine, const HttpRequest &request,
                                      HttpTimeouts timeouts, Error &reason);

    HttpStream stream;
    ServerEventParser parser;
    GenerationName announcedName;
    bool isMalformed = false;
};

} // namespace sassafrasyard
