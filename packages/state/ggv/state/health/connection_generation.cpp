#include <ggv/state/health/connection_generation.hpp>

#include <algorithm>

namespace ggv {

ConnectionGeneration::ConnectionGeneration(Duration silenceTimeout) noexcept
    : m_silenceTimeout(silenceTimeout)
{ }

void ConnectionGeneration::onSent(std::uint64_t generation, Instant now) noexcept
{
    if (!isUsable(generation))
        return;
    if (m_outstanding == 0)
        m_lastActivityAt = std::max(m_lastActivityAt, now);
    ++m_outstanding;
}

void ConnectionGeneration::onReceived(std::uint64_t generation, Instant now) noexcept
{
    if (isUsable(generation))
        m_lastActivityAt = std::max(m_lastActivityAt, now);
}

void ConnectionGeneration::onFinished(std::uint64_t generation) noexcept
{
    if (isUsable(generation) && m_outstanding > 0)
        --m_outstanding;
}

bool ConnectionGeneration::retireIfSilent(Instant now) noexcept
{
    if (m_outstanding == 0 || now - m_lastActivityAt < m_silenceTimeout)
        return false;
    ++m_current;
    m_outstanding = 0;
    return true;
}

} // namespace ggv
