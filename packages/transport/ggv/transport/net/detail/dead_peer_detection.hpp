#pragma once

#include <ggv/state/core/time.hpp>

#include <boost/asio/ip/tcp.hpp>

namespace ggv::detail {

/**
 * @brief Makes the kernel close a connection whose peer no longer responds.
 *
 * With TCP_USER_TIMEOUT set, the number of unanswered keep-alive probes has no effect on Linux:
 * - Sent bytes end the connection when they stay unacknowledged for the limit. This also holds for
 *   a peer that acknowledges but does not read, once its window is full.
 * - A connection that neither sends nor receives, also one that waits for an answer, is probed each
 *   second. It ends at the first probe that is due when nothing was received for the limit and a
 *   probe is unanswered: after 2 s at the earliest, so that a limit up to 2 s forgives no lost
 * probe.
 * @param socket An open socket; options that the kernel rejects keep their defaults.
 * @param limit Time without a sign of the peer.
 */
void enableDeadPeerDetection(boost::asio::ip::tcp::socket &socket, Duration limit) noexcept;

} // namespace ggv::detail
