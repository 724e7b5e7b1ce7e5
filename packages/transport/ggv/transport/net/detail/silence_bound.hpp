#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace ggv::detail {

/**
 * @brief Has the kernel end a connection whose peer acknowledges nothing any more.
 *
 * Unacknowledged bytes end it after a second; an idle one is probed every second.
 * @param socket An open socket; a kernel that refuses an option leaves its default in place.
 */
void boundSilence(boost::asio::ip::tcp::socket &socket) noexcept;

} // namespace ggv::detail
