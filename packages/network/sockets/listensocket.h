#pragma once

#include "core/core.h"
#include "network/http/endpoint.h"

#include <boost/asio/ip/tcp.hpp>

#include <optional>

namespace sassafrasyard {

/**
 * Binds an acceptor and starts listening.
 *
 * @param endpoint port 0 takes a free port.
 * @param reason receives ConnectionFailed with NotRun.
 * @return the bound endpoint, with the port that was chosen for 0.
 */
std::optional<Endpoint> listenOn(boost::asio::ip::tcp::acceptor &acceptor, const Endpoint &endpoint,
                                 Error &reason);

} // namespace sassafrasyard
