#pragma once

#include <ggv/state/core/time.hpp>

#include <optional>
#include <string>

namespace ggv {

/**
 * @brief Parses a date and time with an offset.
 * @param text Such as "2026-12-04T20:00:00+04:00" or "2026-12-04T16:00:00Z".
 * @return The instant, or nothing if the text is not of that form.
 */
[[nodiscard]] std::optional<UnixMillis> parseInstant(const std::string &text);

} // namespace ggv
