#include <ggv/coordination/fleet/pause_detector.hpp>

#include <utility>

namespace ggv {

PauseDetector::PauseDetector(Instant now) noexcept
    : m_observedAt(now)
{ }

// A pause within the drain time of an earlier one extends it: messages of both may wait.
void PauseDetector::observe(Instant now) noexcept
{
    const Instant before = std::exchange(m_observedAt, now);
    if (now - before <= MaxInterval)
        return;
    if (before >= m_resumedAt + DrainTime)
        m_pausedAt = before;
    m_resumedAt = now;
}

Instant PauseDetector::notSentBefore(Instant readAt) const noexcept
{
    const bool isDrained = readAt < m_resumedAt || readAt >= m_resumedAt + DrainTime;
    return isDrained ? readAt : m_pausedAt;
}

} // namespace ggv
