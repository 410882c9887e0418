#pragma once

#include "network/network.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace sassafrasyard {

/**
 * An in-memory stand-in for the platform's object API.
 *
 * POST /fault {"mode": "none" | "down" | "slow" | "slow_writes" | "lose_reply", "delay_ms": n}
 * sets the fault: "down" answers 503; "slow" delays each call before it is executed and
 * "slow_writes" only writes, by delay_ms; "lose_reply" executes the next write and answers 503. GET
 * /calls returns the number of calls to the object API so far.
 */
class ObjectStore
{
public:
    /** Creates an empty store. */
    explicit ObjectStore(boost::asio::io_context &context);
    ObjectStore(const ObjectStore &) = delete;
    ObjectStore &operator=(const ObjectStore &) = delete;

    /** Handles one request. */
    boost::asio::awaitable<void> handle(const HttpRequest &request, HttpResponder &responder);

private:
    struct Object
    {
        std::uint64_t version = 0;
        std::string value;
    };

    boost::asio::awaitable<HttpResponse> handleObjectRequest(const HttpRequest &request);
    boost::asio::awaitable<HttpResponse> get(const HttpRequest &request, std::string name);
    HttpResponse put(const HttpRequest &request, const std::string &name);
    HttpResponse remove(const std::string &name);
    HttpResponse list(const HttpRequest &request) const;
    HttpResponse setFault(const HttpRequest &request);
    HttpResponse objectResponse(const Object &object) const;
    void wakeWatchers();

    std::map<std::string, Object> objects;
    std::uint64_t lastVersion = 0;
    std::uint64_t callCount = 0;
    std::string faultMode = "none";
    int faultDelayMilliseconds = 0;
    boost::asio::steady_timer objectsChanged;
};

} // namespace sassafrasyard
