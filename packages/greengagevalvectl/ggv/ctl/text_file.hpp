#pragma once

#include <ggv/state/core/result.hpp>

#include <string>

namespace ggv {

/**
 * @brief Reads a whole file.
 * @param path The file.
 * @return Its text, or SettingsInvalid if it cannot be read.
 */
[[nodiscard]] Result<std::string> readTextFile(const std::string &path);

} // namespace ggv
