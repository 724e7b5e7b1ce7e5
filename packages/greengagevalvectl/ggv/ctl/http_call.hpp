#pragma once

#include <ggv/state/model/entities.hpp>
#include <ggv/transport/http/http_types.hpp>

#include <string>

namespace ggv {

//! An HTTP request with its body.
struct HttpCall
{
    HttpRequestHead head;
    std::string body;
};

/**
 * @brief Sends a request on a new connection and reads the complete response.
 * @param peer Address of the server.
 * @param call The request.
 * @param timeout Time limit for the whole exchange, including the connection.
 * @return The response.
 * @throws Error TargetUnreachable if no byte was sent; ConnectionLost if the response is missing
 * or incomplete, in which case the peer may have executed the request.
 */
[[nodiscard]] HttpAnswer callHttp(const Endpoint &peer, const HttpCall &call, Duration timeout);

} // namespace ggv
