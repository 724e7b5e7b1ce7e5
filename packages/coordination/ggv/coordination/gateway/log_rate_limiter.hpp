#pragma once

#include <ggv/state/core/time.hpp>

#include <cstdint>

namespace ggv {

//! Token bucket that limits the rate of log lines about successful requests.
class LogRateLimiter
{
public:
    //! Refill rate of the token bucket.
    static constexpr double LinesPerSecond = 50.0;
    //! Capacity of the token bucket.
    static constexpr double Burst = 100.0;

    //! Acquires a token. @return True if a line may be written; otherwise it counts as suppressed.
    [[nodiscard]] bool tryAcquire(Instant now) noexcept;
    //! Returns the number of lines suppressed since the last call and resets it.
    [[nodiscard]] std::uint64_t takeSuppressedLines() noexcept;

private:
    double m_tokens = Burst;
    Instant m_refilledAt = Instant(Duration(0));
    std::uint64_t m_suppressedLines = 0;
};

} // namespace ggv
