#pragma once

#include "network/network.h"

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace sassafrasyard {

/** Handles a group of related requests of the admin API. */
class AdminHandler
{
public:
    virtual ~AdminHandler() = default;

    /**
     * Handles a request whose operator token was checked.
     *
     * @return the response, or nothing if this handler does not serve the request's path and
     * method.
     */
    virtual boost::asio::awaitable<std::optional<HttpResponse>> handleRequest(
            const HttpRequest &request) = 0;
};

} // namespace sassafrasyard
