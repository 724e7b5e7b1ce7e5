#pragma once

#include <ggv/state/core/result_code.hpp>

#include <cstdint>

namespace ggv {

//! @return True if RFC 9110 15 allows a response to have the status.
[[nodiscard]] constexpr bool isValidHttpStatus(unsigned status) noexcept
{
    constexpr unsigned First = 100;
    constexpr unsigned Last = 599;
    return status >= First && status <= Last;
}

/**
 * @brief Maps a result code to the HTTP status of a locally generated answer.
 * @return The status; 500 for codes that are never sent to callers or operators.
 */
[[nodiscard]] std::uint16_t httpStatusOf(ResultCode code) noexcept;

} // namespace ggv
