#include <ggv/coordination/fleet/delivery.hpp>

namespace ggv {

void Delivery::onSent(std::uint64_t id, Instant now) noexcept
{
    if (!isInFlight())
        m_progressAt = now;
    m_sent = id;
}

void Delivery::onReport(std::uint64_t id, Instant now) noexcept
{
    const bool isFirst = !m_held;
    if (m_held != id)
        m_progressAt = now;
    m_held = id;
    const bool isLost = isInFlight() && now - m_progressAt >= LossTimeout;
    if (isFirst || isLost)
        m_sent = id;
}

} // namespace ggv
