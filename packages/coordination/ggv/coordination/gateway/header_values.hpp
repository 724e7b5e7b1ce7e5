#pragma once

#include <ggv/state/routing/target_pool.hpp>
#include <ggv/transport/http/http_types.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ggv {

//! @return The parsed decimal integer; std::nullopt if @p text is not entirely one.
[[nodiscard]] std::optional<std::int64_t> parseInteger(std::string_view text);

/**
 * @brief Finds a cookie in the headers of a request.
 * @param headers Headers of the request.
 * @param name Name of the cookie, case-sensitive.
 * @return View of the cookie's value in @p headers, or std::nullopt.
 */
[[nodiscard]] std::optional<std::string_view> findCookie(const HttpHeaders &headers,
                                                         std::string_view name);

//! @return Load parsed from "running,waiting,slots"; std::nullopt if @p text has another format.
[[nodiscard]] std::optional<ReportedLoad> parseLoad(std::string_view text);

//! @return Duration parsed from a number of seconds, at most one day; std::nullopt if @p text is
//! not a finite number that is at least 0.
[[nodiscard]] std::optional<Duration> parseSeconds(std::string_view text);

//! @return The parsed finite decimal number; std::nullopt if @p text is none that is at least 0.
[[nodiscard]] std::optional<double> parseNonNegative(std::string_view text);

//! @return The duration in seconds with three decimals.
[[nodiscard]] std::string formatSeconds(Duration duration);

} // namespace ggv
