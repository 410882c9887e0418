#pragma once

#include "network/network.h"

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace sassafrasyard {

/** Answers the admin API's requests of one topic. */
class AdminHandler
{
public:
    virtual ~AdminHandler() = default;

    /** Answers a request whose operator token was checked, or nothing if it is another topic's. */
    virtual boost::asio::awaitable<std::optional<HttpResponse>> handleRequest(
            const HttpRequest &request) = 0;
};

} // namespace sassafrasyard
