#pragma once

#include <ggv/transport/http/http_client.hpp>

#include <optional>

#include <boost/asio/awaitable.hpp>

namespace ggv {

/**
 * @brief Reads the body of a response that nobody needs, so that its connection can be reused.
 *
 * Gives up on a body that is long, slow or cut; the connection is then not reusable.
 * @param exchange Exchange whose head was read; must outlive the operation.
 * @param head Head of the response.
 * @param deadline Latest end of the exchange.
 * @return Reason why the body was not read to its end, if so.
 */
[[nodiscard]] boost::asio::awaitable<std::optional<Error>>
discardBody(ClientExchange &exchange, const HttpAnswerHead &head, Instant deadline);

} // namespace ggv
