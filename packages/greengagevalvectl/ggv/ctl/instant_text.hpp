#pragma once

#include <ggv/state/core/time.hpp>

#include <optional>
#include <string>

namespace ggv {

/**
 * @brief Parses an ISO 8601 date and time with a UTC offset.
 * @param text For example "2026-12-04T20:00:00+04:00" or "2026-12-04T16:00:00Z".
 * @return The instant, or std::nullopt if the text is malformed.
 */
[[nodiscard]] std::optional<UnixMillis> parseInstant(const std::string &text);

} // namespace ggv
