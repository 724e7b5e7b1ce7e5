#pragma once

#include <chrono>
#include <cstdint>

namespace ggv {

//! Duration type of the system, with microsecond resolution.
using Duration = std::chrono::microseconds;

//! Clock type of the decision core. The core never reads a clock; callers pass the current time.
struct CoreClock
{
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<CoreClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

//! Monotonic time of one process; not comparable between hosts.
using Instant = CoreClock::time_point;

//! Wall-clock time in milliseconds since the Unix epoch; used only for ages that must survive a
//! restart.
using UnixMillis = std::int64_t;

/**
 * @brief Reads the monotonic clock of this process.
 */
[[nodiscard]] inline Instant monotonicNow() noexcept
{
    const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return Instant(std::chrono::duration_cast<Duration>(sinceStart));
}

/**
 * @brief Reads the wall clock.
 * @return Milliseconds since the Unix epoch.
 */
[[nodiscard]] inline UnixMillis wallClockNow() noexcept
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace ggv
