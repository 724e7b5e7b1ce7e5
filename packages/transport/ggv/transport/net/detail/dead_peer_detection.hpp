#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace ggv::detail {

/**
 * @brief Makes the kernel close a connection whose peer no longer acknowledges data.
 *
 * The connection is closed when sent bytes stay unacknowledged for one second; an idle connection
 * is probed every second.
 * @param socket An open socket; options that the kernel rejects keep their defaults.
 */
void enableDeadPeerDetection(boost::asio::ip::tcp::socket &socket) noexcept;

} // namespace ggv::detail
