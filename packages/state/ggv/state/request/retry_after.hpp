#pragma once

#include <ggv/state/core/result_code.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace ggv {

/**
 * @brief Computes the delay after which a caller should retry its request.
 *
 * The delay increases with overload. Jitter of up to twice the delay is added, so that callers that
 * were rejected at the same time do not retry at the same time.
 * @param code Result that is sent to the caller.
 * @param overload Ratio of demand to capacity; values up to 1 mean no overload.
 * @param random 64 uniformly distributed random bits.
 * @return Value for Retry-After, or std::nullopt if a retry of the same request cannot succeed.
 */
[[nodiscard]] std::optional<std::chrono::seconds> retryAfter(ResultCode code, double overload,
                                                             std::uint64_t random) noexcept;

} // namespace ggv
