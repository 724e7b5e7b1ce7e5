#include <ggv/state/health/connection_generation.hpp>

#include <algorithm>

namespace ggv {

ConnectionGeneration::ConnectionGeneration(Duration silenceBound) noexcept
    : m_silenceBound(silenceBound)
{ }

void ConnectionGeneration::onSent(std::uint64_t generation, Instant now) noexcept
{
    if (!isUsable(generation))
        return;
    if (m_outstanding == 0)
        m_lastHeardAt = std::max(m_lastHeardAt, now);
    ++m_outstanding;
}

void ConnectionGeneration::onReceived(std::uint64_t generation, Instant now) noexcept
{
    if (isUsable(generation))
        m_lastHeardAt = std::max(m_lastHeardAt, now);
}

void ConnectionGeneration::onFinished(std::uint64_t generation) noexcept
{
    if (isUsable(generation) && m_outstanding > 0)
        --m_outstanding;
}

bool ConnectionGeneration::retireIfSilent(Instant now) noexcept
{
    if (m_outstanding == 0 || now - m_lastHeardAt < m_silenceBound)
        return false;
    ++m_current;
    m_outstanding = 0;
    return true;
}

} // namespace ggv
