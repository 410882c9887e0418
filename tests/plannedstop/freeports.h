#pragma once

#include <boost/asio/io_context.hpp>

#include <cstdint>

namespace sassafrasyard {

/**
 * Returns the first of some consecutive ports of loopback that are free, or 0 if one of them is
 * not. Another process may take them before they are used.
 */
std::uint16_t findFreePorts(boost::asio::io_context &context, std::uint16_t count);

} // namespace sassafrasyard
