#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace ggv {

//! @return Path of a request target, without its query.
[[nodiscard]] std::string_view pathOf(std::string_view target) noexcept;

/**
 * @brief Reads a parameter of a request target's query.
 * @param target Path and query.
 * @param name Name of the parameter.
 * @return The decoded value of its first occurrence; nothing if it is missing or badly encoded.
 */
[[nodiscard]] std::optional<std::string> queryParameter(std::string_view target,
                                                        std::string_view name);

} // namespace ggv
