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

/** One token as a caller received it. */
struct ReceivedToken
{
    /** The event's identifier. */
    std::string position;
    /** The index in the event's data. */
    std::uint64_t index = 0;
    /** The token's text. */
    std::string text;
};

/** What a caller has received of a stream over all its connections. */
struct StreamRecord
{
    /** How the current connection stands. */
    enum class State {
        Open,
        Done,
        Lost,
        Refused,
        Broken,
    };

    /** How the current connection stands. */
    State state = State::Open;
    /** All tokens in the order of their arrival. */
    std::vector<ReceivedToken> tokens;
    /** The status of the last answer, or 0. */
    int status = 0;
    /** The error's code, run state and detail after Lost or Refused. */
    std::string code;
    /** The error's run state. */
    std::string runState;
    /** The error's or the transport's detail. */
    std::string detail;
    /** Whether an event told the caller to move to another host. */
    bool hasDrainingEvent = false;
    /** The number of tokens that the last event claims, or 0. */
    std::uint64_t reportedTokens = 0;
};

/** A caller that reads one stream, and can leave and come back. */
class StreamCaller : public std::enable_shared_from_this<StreamCaller>
{
public:
    /** Creates a caller. @param request the request without Last-Event-ID. */
    StreamCaller(boost::asio::io_context &context, HttpRequest request);
    StreamCaller(const StreamCaller &) = delete;
    StreamCaller &operator=(const StreamCaller &) = delete;

    /** Closes a connection and opens one. @param position for Last-Event-ID; empty for none. */
    void open(const Endpoint &endpoint, const std::string &position);
    /** Closes the connection. */
    void disconnect();
    /** Returns what was received. */
    StreamRecord record() const;
    /** Returns the last received position, or an empty text. */
    std::string lastPosition() const;
    /** Returns the request. */
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
    std::shared_ptr<HttpStream> current;
    StreamRecord received;
};

} // namespace sassafrasyard
