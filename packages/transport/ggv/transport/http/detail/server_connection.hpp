#pragma once

#include <ggv/transport/http/http_server.hpp>

#include <atomic>
#include <memory>

#include <boost/asio/ip/tcp.hpp>

namespace ggv::detail {

//! State shared by all connections of a server.
struct SharedServerState
{
    HttpLimits limits;
    HttpHandler handler;
    HttpFaultAnswer faultAnswer;
    std::atomic<std::size_t> connections = 0;
    std::atomic<std::size_t> activeRequests = 0;
    std::atomic<bool> closing = false;
};

/**
 * @brief Serves requests on a connection until either side closes it.
 * @param socket Socket of the accepted connection.
 * @param shared State of the server that accepted it.
 */
void serveConnection(boost::asio::ip::tcp::socket socket,
                     std::shared_ptr<SharedServerState> shared);

} // namespace ggv::detail
