#pragma once

#include <ggv/state/model/entities.hpp>
#include <ggv/transport/http/http_types.hpp>

#include <string>

namespace ggv {

//! A whole request.
struct HttpCall
{
    HttpRequestHead head;
    std::string body;
};

/**
 * @brief Sends a request on its own connection and reads the whole answer.
 * @param peer Where to.
 * @param call The request.
 * @param timeout For the whole exchange.
 * @return The answer.
 * @throws Error TargetUnreachable if no byte was sent; ConnectionLost if the answer did not come
 * whole, so that the peer may have executed the request.
 */
[[nodiscard]] HttpAnswer callHttp(const Endpoint &peer, const HttpCall &call, Duration timeout);

} // namespace ggv
