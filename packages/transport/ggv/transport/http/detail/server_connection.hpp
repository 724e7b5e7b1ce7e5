#pragma once

#include <ggv/transport/http/http_server.hpp>

#include <atomic>
#include <memory>

#include <boost/asio/ip/tcp.hpp>

namespace ggv::detail {

//! What all connections of one server share.
struct ServerShared
{
    HttpLimits limits;
    HttpHandler handler;
    HttpFaultAnswer faultAnswer;
    std::atomic<std::size_t> connections = 0;
    std::atomic<std::size_t> activeRequests = 0;
    std::atomic<bool> closing = false;
};

/**
 * @brief Serves a connection until either side closes it.
 * @param socket The accepted connection.
 * @param shared State of its server.
 */
void serveConnection(boost::asio::ip::tcp::socket socket, std::shared_ptr<ServerShared> shared);

} // namespace ggv::detail
