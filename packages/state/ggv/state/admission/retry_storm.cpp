#include <ggv/state/admission/retry_storm.hpp>

#include <algorithm>
#include <cmath>

namespace ggv {

RetryStormGuard::RetryStormGuard(const RetryStormPolicy &policy) noexcept
    : m_policy(policy)
{ }

void RetryStormGuard::onServed(Instant now) noexcept
{
    decay(now);
    m_served += 1.0;
}

Duration RetryStormGuard::onShed(Duration minimum, RandomSource &random, Instant now) noexcept
{
    decay(now);
    m_shed += 1.0;
    const double backlog = m_shed / std::max(m_served, 1.0);
    const auto spread = static_cast<double>(m_policy.timeConstant.count()) * backlog;
    const double base = std::max(spread, static_cast<double>(minimum.count()));
    const double factor = 1.0 + m_policy.jitter * (2.0 * uniformFraction(random) - 1.0);
    const auto lower = static_cast<double>(m_policy.minimumRetryAfter.count());
    const auto upper = static_cast<double>(m_policy.maximumRetryAfter.count());
    return Duration(std::llround(std::clamp(base * factor, lower, upper)));
}

void RetryStormGuard::decay(Instant now) noexcept
{
    if (now <= m_decayedAt)
        return;
    const auto elapsed = static_cast<double>((now - m_decayedAt).count());
    const double factor = std::exp(-elapsed / static_cast<double>(m_policy.timeConstant.count()));
    m_served *= factor;
    m_shed *= factor;
    m_decayedAt = now;
}

} // namespace ggv
