#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace ggv {

//! @return Path of a request target, without the query.
[[nodiscard]] std::string_view pathOf(std::string_view target) noexcept;

/**
 * @brief Reads a query parameter of a request target.
 * @param target Path and query.
 * @param name Name of the parameter.
 * @return The decoded value of the first occurrence; std::nullopt if the parameter is missing or
 * its percent-encoding is invalid.
 */
[[nodiscard]] std::optional<std::string> queryParameter(std::string_view target,
                                                        std::string_view name);

} // namespace ggv
