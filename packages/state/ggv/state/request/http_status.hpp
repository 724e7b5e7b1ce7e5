#pragma once

#include <ggv/state/core/result_code.hpp>

#include <cstdint>

namespace ggv {

/**
 * @brief Maps a result code to the HTTP status of a locally generated answer.
 * @return The status; 500 for codes that are never sent to callers or operators.
 */
[[nodiscard]] std::uint16_t httpStatusOf(ResultCode code) noexcept;

} // namespace ggv
