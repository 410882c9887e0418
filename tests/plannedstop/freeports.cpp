#include "freeports.h"

#include <boost/asio/ip/tcp.hpp>

#include <vector>

namespace sassafrasyard {

namespace net = boost::asio;

std::uint16_t findFreePorts(net::io_context &context, std::uint16_t count)
{
    std::vector<net::ip::tcp::acceptor> probes;
    const auto address = net::ip::make_address("127.0.0.1");
    std::uint16_t first = 0;
    for (std::uint16_t index = 0; index < count; ++index) {
        boost::system::error_code code;
        net::ip::tcp::acceptor &probe = probes.emplace_back(context);
        probe.open(net::ip::tcp::v4());
        const auto port = static_cast<std::uint16_t>(index == 0 ? 0 : first + index);
        probe.bind({address, port}, code);
        if (code)
            return 0;
        if (index == 0)
            first = probe.local_endpoint().port();
    }
    return first;
}

} // namespace sassafrasyard
