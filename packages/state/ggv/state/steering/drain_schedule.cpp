#include <ggv/state/steering/drain_schedule.hpp>

#include <algorithm>
#include <chrono>

namespace ggv {

namespace {

//! Length of the windows over which usage is compared with the allowed rate.
constexpr Duration UseWindow = std::chrono::milliseconds(500);
//! Share of the allowed rate from which a window counts as used.
constexpr double UsedShare = 0.5;

double toSeconds(Duration duration) noexcept
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

double drainWeight(const DrainWindow &window, UnixMillis now) noexcept
{
    if (now >= window.emptyAt)
        return 0.0;
    if (now <= window.startsAt)
        return 1.0;
    const auto left = static_cast<double>(window.emptyAt - now);
    return left / static_cast<double>(window.emptyAt - window.startsAt);
}

double drainWeight(std::span<const DrainWindow> windows, UnixMillis now) noexcept
{
    double weight = 1.0;
    for (const auto &it : windows)
        weight = std::min(weight, drainWeight(it, now));
    return weight;
}

ShiftRamp::ShiftRamp(const ShiftRampPolicy &policy) noexcept
    : m_policy(policy)
    , m_rate(policy.startRate)
{ }

bool ShiftRamp::tryShift(double cap, Instant now) noexcept
{
    if (!canShift(cap, now))
        return false;
    m_tokens -= 1.0;
    m_usedSinceUpdate += 1.0;
    return true;
}

bool ShiftRamp::canShift(double cap, Instant now) noexcept
{
    advance(cap, now);
    return cap > 0.0 && m_tokens >= 1.0;
}

double ShiftRamp::allowedRate(double cap) const noexcept { return std::min(m_rate, cap); }

void ShiftRamp::advance(double cap, Instant now) noexcept
{
    if (!m_hasStarted) {
        m_hasStarted = true;
        m_updatedAt = now;
        m_windowStart = now;
    }
    if (now <= m_updatedAt)
        return;
    const double rate = allowedRate(cap);
    // The refill rate is reduced by the burst, so that any window of one second is within the rate.
    const double burst = std::max(1.0, rate * m_policy.burstSeconds);
    const double refill = rate - (burst - 1.0);
    m_tokens = std::min(burst, m_tokens + refill * toSeconds(now - m_updatedAt));
    m_updatedAt = now;
    if (now - m_windowStart < UseWindow)
        return;
    const double seconds = toSeconds(now - m_windowStart);
    const bool isUsed = m_usedSinceUpdate >= UsedShare * rate * seconds;
    const double factor = isUsed ? 1.0 + m_policy.growthPerSecond * toSeconds(UseWindow)
                                 : 1.0 - std::min(1.0, m_policy.decayPerSecond * seconds);
    m_rate = std::max(m_policy.startRate, std::min(m_rate * factor, std::max(cap, 0.0)));
    m_usedSinceUpdate = 0.0;
    m_windowStart = now;
}

} // namespace ggv
