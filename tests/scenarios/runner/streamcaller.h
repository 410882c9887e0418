#pragma once

#include "network/network.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace sassafrasyard {

/** One token event as received by a caller. */
struct ReceivedToken
{
    /** The event's identifier, which resumes the stream after this token. */
    std::string position;
    /** The token's index, from the event's data. */
    std::uint64_t index = 0;
    /** The token's text. */
    std::string text;
};

/** What a caller has received of a stream on all its connections. */
struct StreamRecord
{
    /** The state of the last connection. */
    enum class State {
        /** The request is in progress. */
        Open,
        /** The event "done" was received. */
        Done,
        /** The event "generation_lost" was received. */
        Lost,
        /** The response status was not 200. */
        Refused,
        /** The connection failed, or the caller closed it. */
        Broken,
    };

    /** The state of the last connection. */
    State state = State::Open;
    /** All tokens in the order in which they arrived. */
    std::vector<ReceivedToken> tokens;
    /** The HTTP status of the last response, or 0 before one arrives. */
    int status = 0;
    /** The error code after Lost or Refused. */
    std::string code;
    /** The error's run state after Lost or Refused. */
    std::string runState;
    /** The error's detail after Lost or Refused, the transport error after Broken. */
    std::string detail;
    /** Whether the event "draining" was received, which asks the caller to move to another host. */
    bool hasDrainingEvent = false;
    /** The number of tokens that the event "done" reports, or 0. */
    std::uint64_t reportedTokens = 0;
};

/** Reads a stream in the background; can disconnect and resume. Owned by a shared_ptr. */
class StreamCaller : public std::enable_shared_from_this<StreamCaller>
{
public:
    /** Creates a caller. @param request the request without Last-Event-ID. */
    StreamCaller(boost::asio::io_context &context, HttpRequest request);
    StreamCaller(const StreamCaller &) = delete;
    StreamCaller &operator=(const StreamCaller &) = delete;

    /** Replaces the connection. @param position the Last-Event-ID, or empty for none. */
    void open(const Endpoint &endpoint, const std::string &position);
    /** Closes the connection, if there is one. */
    void disconnect();
    /** Returns what has been received so far. */
    StreamRecord record() const;
    /** Returns the position of the last received token, or an empty text. */
    std::string lastPosition() const;
    /** Returns the request as it was given to the constructor. */
    const HttpRequest &request() const;

private:
    boost::asio::awaitable<void> run(std::shared_ptr<HttpStream> stream, Endpoint endpoint,
                                     HttpRequest request);
    void handleEvent(const ServerEvent &event);
    void handleRefusal(const HttpResponse &response);
    void handleConnectionEnd(const HttpStream *stream, const Error &reason);

    boost::asio::io_context &context;
    HttpRequest originalRequest;
    mutable std::mutex mutex;
    std::shared_ptr<HttpStream> currentStream;
    StreamRecord received;
};

} // namespace sassafrasyard
