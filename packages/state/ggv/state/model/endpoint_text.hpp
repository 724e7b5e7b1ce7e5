#pragma once

#include <ggv/state/model/entities.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace ggv {

/**
 * @brief Parses an endpoint.
 * @param text "127.0.0.1:8080" or "[::1]:8080"; names are not resolved.
 * @return The endpoint, or nothing if the text is not of that form.
 */
[[nodiscard]] std::optional<Endpoint> parseEndpoint(std::string_view text);

/**
 * @brief Writes an endpoint as parseEndpoint() reads it.
 * @param endpoint The endpoint.
 * @return The text; IPv6 addresses are in brackets.
 */
[[nodiscard]] std::string formatEndpoint(const Endpoint &endpoint);

} // namespace ggv
