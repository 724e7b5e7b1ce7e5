#pragma once

#include <string_view>

namespace ggv {

//! @return Version of the software.
[[nodiscard]] std::string_view softwareVersion() noexcept;

} // namespace ggv
