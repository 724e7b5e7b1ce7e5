#pragma once

#include <ggv/state/core/result_code.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace ggv {

/**
 * @brief When a caller should send its request again.
 *
 * The delay grows with overload and is spread over twice its own length, so that callers that were
 * refused together do not come back together.
 * @param code Result that the caller gets.
 * @param overload Demand over capacity; at most 1: no overload.
 * @param random 64 uniformly distributed random bits.
 * @return Value for Retry-After; nothing if sending the same request again cannot help.
 */
[[nodiscard]] std::optional<std::chrono::seconds> retryAfter(ResultCode code, double overload,
                                                             std::uint64_t random) noexcept;

} // namespace ggv
