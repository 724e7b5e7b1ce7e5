#pragma once

#include <ggv/state/core/result.hpp>

#include <string>

namespace ggv {

/**
 * @brief Reads a file into memory.
 * @param path Path of the file.
 * @return Content of the file, or SettingsInvalid if it cannot be read.
 */
[[nodiscard]] Result<std::string> readTextFile(const std::string &path);

} // namespace ggv
