#pragma once

#include "network/network.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace sassafrasyard {

/** What a caller has received for one attempt of a plain call. */
struct ServiceCallRecord
{
    /** Whether the attempt has ended. */
    bool hasEnded = false;
    /** The answer, or nothing if the connection failed. */
    std::optional<HttpResponse> response;
    /** The code and run state of an error answer. */
    std::string code;
    /** The run state of an error answer. */
    std::string runState;
    /** Why there is no answer. */
    std::string detail;
};

/** One attempt of a plain call, sent in the background. */
class ServiceCaller : public std::enable_shared_from_this<ServiceCaller>
{
public:
    /** Creates an attempt. */
    ServiceCaller(boost::asio::io_context &context, HttpRequest request);
    ServiceCaller(const ServiceCaller &) = delete;
    ServiceCaller &operator=(const ServiceCaller &) = delete;

    /** Sends the request. */
    void send(const Endpoint &endpoint);
    /**
     * Sends the request again as long as it is refused as not run, after the time that the answer
     * asks for.
     *
     * @param retryTimeout how long to go on, in milliseconds.
     */
    void sendWithRetries(const Endpoint &endpoint, Milliseconds retryTimeout);
    /** Returns what was received. */
    ServiceCallRecord record() const;
    /** Returns the request. */
    const HttpRequest &request() const;

private:
    boost::asio::awaitable<void> run(Endpoint endpoint, Milliseconds retryTimeout);
    void storeResult(std::optional<HttpResponse> response, const Error &reason);

    boost::asio::io_context &context;
    HttpRequest originalRequest;
    mutable std::mutex mutex;
    ServiceCallRecord received;
};

/** Sends a request from outside the context's thread and waits for the answer. */
std::optional<HttpResponse> requestAndWait(boost::asio::io_context &context,
                                           const Endpoint &endpoint, const HttpRequest &request,
                                           Milliseconds timeout, Error &reason);

} // namespace sassafrasyard
