#pragma once

#include "plannedstop/callerconnection.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace sassafrasyard {

/** A request of a caller and what became of it. */
struct SoakCall
{
    HttpRequest request;
    CallResult result;
    /** The time from the first byte to the end, in milliseconds. */
    Milliseconds elapsed{0};

    /** Returns the request's identifier. */
    std::string requestId() const;
    /** Returns whether it has its server's whole answer. */
    bool isAnswered() const;
    /**
     * Returns what is wrong with the events of a stream, or an empty text: a complete one lacks
     * some, or a complete or cut one holds some twice or out of order.
     */
    std::string eventFault() const;
    /** Returns a description for a test's messages. */
    std::string describe() const;
};

/** Sends requests to a host one after another, mostly on one connection. */
class SoakCaller
{
public:
    /**
     * Creates a caller that sends nothing yet.
     *
     * @param name begins the identifiers of its requests.
     * @param seed decides the kinds, lengths and times of its requests.
     */
    SoakCaller(boost::asio::io_context &context, Endpoint host, std::string name,
               std::uint64_t seed);
    SoakCaller(const SoakCaller &) = delete;
    SoakCaller &operator=(const SoakCaller &) = delete;

    /** Sends requests until a time of the steady clock. */
    void start(Milliseconds end);

    /** Returns whether the last request has ended. */
    bool isDone() const;

    /** Returns the requests that have ended and the one in progress. */
    const std::vector<std::unique_ptr<SoakCall>> &calls() const;

private:
    boost::asio::awaitable<void> run(Milliseconds end);
    boost::asio::awaitable<CallResult> send(const HttpRequest &request);
    boost::asio::awaitable<CallEnd> sendPieces(std::string bytes);
    HttpRequest makeRequest();
    int draw(int minimum, int maximum);

    boost::asio::io_context &context;
    Endpoint host;
    std::string name;
    std::mt19937_64 random;
    std::unique_ptr<CallerConnection> connection;
    std::vector<std::unique_ptr<SoakCall>> sentCalls;
    bool hasEnded = false;
};

} // namespace sassafrasyard
