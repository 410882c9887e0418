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

/** What a caller has received for one call to a plain service. */
struct ServiceCallRecord
{
    /** Whether the call has ended. */
    bool hasEnded = false;
    /** The last response, or nothing if the request failed without one. */
    std::optional<HttpResponse> response;
    /** The code of an error response. */
    std::string code;
    /** The run state of an error response. */
    std::string runState;
    /** Why there is no response, or the detail of an error response. */
    std::string detail;
};

/** Sends one call to a plain service in the background. Must be owned by a shared_ptr. */
class ServiceCaller : public std::enable_shared_from_this<ServiceCaller>
{
public:
    /** Creates a caller. */
    ServiceCaller(boost::asio::io_context &context, HttpRequest request);
    ServiceCaller(const ServiceCaller &) = delete;
    ServiceCaller &operator=(const ServiceCaller &) = delete;

    /** Sends the request. */
    void send(const Endpoint &endpoint);
    /**
     * Sends the request and repeats it while the response says that the call did not run, each
     * time after the delay in the response. Returns at once.
     *
     * @param retryTimeout no attempt begins later than this after the first, in milliseconds.
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

/** Sends a request from outside the context's thread and waits for the response. */
std::optional<HttpResponse> requestAndWait(boost::asio::io_context &context,
                                           const Endpoint &endpoint, const HttpRequest &request,
                                           Milliseconds timeout, Error &reason);

} // namespace sassafrasyard
