#include "network/sockets/listensocket.h"

namespace sassafrasyard {

namespace net = boost::asio;
using tcp = net::ip::tcp;

std::optional<Endpoint> listenOn(tcp::acceptor &acceptor, const Endpoint &endpoint, Error &reason)
{
    boost::system::error_code code;
    const tcp::endpoint address(net::ip::make_address(endpoint.address, code), endpoint.port);
    if (!code)
        acceptor.open(address.protocol(), code);
    if (!code)
        acceptor.set_option(net::socket_base::reuse_address(true), code);
    if (!code)
        acceptor.bind(address, code);
    if (!code)
        acceptor.listen(net::socket_base::max_listen_connections, code);
    if (code) {
        reason = {ErrorCode::ConnectionFailed,
                  RunState::NotRun,
                  "cannot listen on " + endpoint.toString() + ": " + code.message(),
                  {}};
        // An open acceptor could not be used for another attempt.
        boost::system::error_code ignored;
        acceptor.close(ignored);
        return std::nullopt;
    }
    return Endpoint{endpoint.address, acceptor.local_endpoint().port()};
}

} // namespace sassafrasyard
