#pragma once

#include <ggv/state/model/entities.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace ggv {

/**
 * @brief Parses an endpoint.
 * @param text "127.0.0.1:8080" or "[::1]:8080"; names are not resolved.
 * @return The endpoint; std::nullopt if the text is malformed.
 */
[[nodiscard]] std::optional<Endpoint> parseEndpoint(std::string_view text);

/**
 * @brief Formats an endpoint so that parseEndpoint() can read it.
 * @param endpoint The endpoint.
 * @return Address and port; IPv6 addresses are in brackets.
 */
[[nodiscard]] std::string formatEndpoint(const Endpoint &endpoint);

} // namespace ggv
