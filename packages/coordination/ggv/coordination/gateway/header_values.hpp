#pragma once

#include <ggv/state/routing/target_pool.hpp>
#include <ggv/transport/http/http_types.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ggv {

//! @return A whole number; nothing if the text is anything else.
[[nodiscard]] std::optional<std::int64_t> parseInteger(std::string_view text);

/**
 * @brief Finds a cookie.
 * @param headers Of a request.
 * @param name Of the cookie; case matters.
 * @return View of its value in the headers, or nothing.
 */
[[nodiscard]] std::optional<std::string_view> findCookie(const HttpHeaders &headers,
                                                         std::string_view name);

//! @return Load from "running,waiting,slots"; nothing if the text is anything else.
[[nodiscard]] std::optional<ReportedLoad> parseLoad(std::string_view text);

//! @return Seconds with three decimals.
[[nodiscard]] std::string formatSeconds(Duration duration);

} // namespace ggv
