#pragma once

#include <ggv/state/core/time.hpp>

#include <cstdint>

namespace ggv {

//! Bounds the rate of lines about requests that went well; failures are not counted here.
class LogRateLimiter
{
public:
    //! Lines a second, and lines that a quiet time saves up.
    static constexpr double LinesPerSecond = 50.0;
    static constexpr double Burst = 100.0;

    //! @return True if a line may be written now; counts it.
    [[nodiscard]] bool tryAcquire(Instant now) noexcept;
    //! @return Lines that were left out since the last call.
    [[nodiscard]] std::uint64_t takeSuppressedLines() noexcept;

private:
    double m_tokens = Burst;
    Instant m_refilledAt = Instant(Duration(0));
    std::uint64_t m_suppressedLines = 0;
};

} // namespace ggv
