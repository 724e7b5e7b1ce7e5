#pragma once

#include <ggv/state/core/result_code.hpp>

#include <cstdint>

namespace ggv {

/**
 * @brief HTTP status of an answer that the system itself gives.
 * @param code The numbered result.
 * @return Status; 500 for codes that no caller or operator is answered with.
 */
[[nodiscard]] std::uint16_t httpStatusOf(ResultCode code) noexcept;

} // namespace ggv
