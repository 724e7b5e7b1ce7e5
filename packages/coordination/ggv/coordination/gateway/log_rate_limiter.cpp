#include <ggv/coordination/gateway/log_rate_limiter.hpp>

#include <algorithm>
#include <utility>

namespace ggv {

bool LogRateLimiter::tryAcquire(Instant now) noexcept
{
    const auto passed = std::chrono::duration<double>(now - m_refilledAt).count();
    m_refilledAt = now;
    m_tokens = std::min(Burst, m_tokens + std::max(0.0, passed) * LinesPerSecond);
    if (m_tokens < 1.0) {
        ++m_suppressedLines;
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

std::uint64_t LogRateLimiter::takeSuppressedLines() noexcept
{
    return std::exchange(m_suppressedLines, 0);
}

} // namespace ggv
