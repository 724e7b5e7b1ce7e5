#include <ggv/state/admission/adaptive_limit.hpp>

#include <algorithm>
#include <cmath>

namespace ggv {

namespace {

//! Upper bound for the time between two successes that counts towards growth.
constexpr Duration GrowthWindow = std::chrono::milliseconds(500);

} // namespace

AdaptiveLimit AdaptiveLimit::warm(const AdaptiveLimitPolicy &policy) noexcept
{
    return { policy, 1.0 };
}

AdaptiveLimit AdaptiveLimit::cold(const AdaptiveLimitPolicy &policy) noexcept
{
    return { policy, policy.coldShare };
}

AdaptiveLimit::AdaptiveLimit(const AdaptiveLimitPolicy &policy, double share) noexcept
    : m_policy(policy)
    , m_share(share)
{ }

void AdaptiveLimit::onSuccess(Duration latency, Instant now) noexcept
{
    observeLatency(static_cast<double>(latency.count()));
    if (hasHighLatency())
        decrease(m_policy.latencyTolerance * m_baselineLatency / m_recentLatency,
                 m_policy.highLatencyShare, now);
    else
        increase(now);
}

void AdaptiveLimit::onOverload(Instant now) noexcept
{
    decrease(m_policy.decreaseFactor, m_policy.minimumShare, now);
}

void AdaptiveLimit::onReport(const TargetLoadReport &report, Instant now) noexcept
{
    m_reportedSlots = report.slots;
    if (report.inFlight > report.slots)
        decrease(m_policy.decreaseFactor, m_policy.minimumShare, now);
}

void AdaptiveLimit::reset() noexcept
{
    m_share = m_policy.coldShare;
    m_samples = 0;
    m_recentLatency = 0.0;
    m_baselineLatency = 0.0;
}

std::uint32_t AdaptiveLimit::limit(std::uint32_t leasedSlots) const noexcept
{
    const auto bound = std::min(leasedSlots, m_reportedSlots);
    if (bound == 0)
        return 0;
    const auto slots = static_cast<std::uint32_t>(std::lround(bound * m_share));
    return std::clamp(slots, std::uint32_t { 1 }, bound);
}

Duration AdaptiveLimit::expectedLatency() const noexcept
{
    return Duration(std::llround(m_recentLatency));
}

void AdaptiveLimit::observeLatency(double latency) noexcept
{
    m_samples += m_samples < UINT32_MAX ? 1 : 0;
    // The first samples are averaged with equal weights, so that a single outlier does not
    // determine the latencies.
    const double firstStep = 1.0 / m_samples;
    m_recentLatency += std::max(m_policy.recentStep, firstStep) * (latency - m_recentLatency);
    m_baselineLatency += std::max(m_policy.baselineStep, firstStep) * (latency - m_baselineLatency);
}

void AdaptiveLimit::increase(Instant now) noexcept
{
    const auto elapsed = std::clamp<Duration>(now - m_increasedAt, Duration::zero(), GrowthWindow);
    const double seconds = std::chrono::duration<double>(elapsed).count();
    m_share = std::min(1.0, m_share + m_policy.growthPerSecond * seconds);
    m_increasedAt = std::max(m_increasedAt, now);
}

void AdaptiveLimit::decrease(double factor, double floor, Instant now) noexcept
{
    if (m_decreasedAt != Instant::min() && now - m_decreasedAt < m_policy.decreaseInterval)
        return;
    const double bounded = std::clamp(factor, m_policy.decreaseFactor, 1.0);
    m_share = std::min(m_share, std::max(floor, m_share * bounded));
    m_decreasedAt = now;
    m_increasedAt = std::max(m_increasedAt, now);
}

bool AdaptiveLimit::hasHighLatency() const noexcept
{
    return m_recentLatency > m_policy.latencyTolerance * m_baselineLatency;
}

} // namespace ggv
