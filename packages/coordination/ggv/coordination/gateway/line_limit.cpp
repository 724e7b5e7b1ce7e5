#include <ggv/coordination/gateway/line_limit.hpp>

#include <algorithm>
#include <utility>

namespace ggv {

bool LineLimit::tryTake(Instant now) noexcept
{
    const auto passed = std::chrono::duration<double>(now - m_refilledAt).count();
    m_refilledAt = now;
    m_lines = std::min(Burst, m_lines + std::max(0.0, passed) * LinesPerSecond);
    if (m_lines < 1.0) {
        ++m_leftOut;
        return false;
    }
    m_lines -= 1.0;
    return true;
}

std::uint64_t LineLimit::takeLeftOut() noexcept { return std::exchange(m_leftOut, 0); }

} // namespace ggv
