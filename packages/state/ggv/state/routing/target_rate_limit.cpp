#include <ggv/state/routing/target_rate_limit.hpp>

#include <algorithm>
#include <cmath>

namespace ggv {

namespace {

//! Size of the token bucket in seconds of this host's share, if that is more than one request.
constexpr double BurstSeconds = 0.25;
//! A change of the limit by more than this fraction is reported to other hosts at once.
constexpr double ReportedChange = 0.1;

double toSeconds(Duration duration) noexcept
{
    return std::chrono::duration<double>(duration).count();
}

bool isSimilar(const std::optional<double> &one, const std::optional<double> &other) noexcept
{
    if (!one || !other)
        return one.has_value() == other.has_value();
    return std::abs(*one - *other) <= ReportedChange * std::max(*one, *other);
}

} // namespace

bool TargetRateLimit::set(std::optional<double> perSecond, Instant statedAt, Instant now) noexcept
{
    const auto before = limit(now);
    m_perSecond = perSecond;
    m_statedAt = statedAt;
    if (!before && perSecond) {
        m_tokens = 0.0;
        m_refilledAt = now;
    }
    return before != perSecond;
}

bool TargetRateLimit::observe(std::optional<double> perSecond, Instant sentAt, Instant now) noexcept
{
    const bool isStatedRecently = m_perSecond && sentAt < m_statedAt + MinSilence;
    if (!perSecond && (isStatedRecently || sentAt < m_statedAt))
        return false;
    return set(perSecond, now, now);
}

bool TargetRateLimit::apply(std::optional<double> perSecond, Instant observedAt,
                            Instant now) noexcept
{
    if (observedAt <= m_statedAt)
        return false;
    m_reported = perSecond;
    m_reportedAt = now;
    return set(perSecond, observedAt, now);
}

std::optional<double> TargetRateLimit::limit(Instant now) const noexcept
{
    if (m_perSecond && now - m_statedAt > StatementLifetime)
        return std::nullopt;
    return m_perSecond;
}

bool TargetRateLimit::isReportDue(Instant now) const noexcept
{
    const auto current = limit(now);
    if (!isSimilar(current, m_reported))
        return true;
    return current && now - m_reportedAt >= ReportInterval && m_statedAt > m_reportedAt;
}

void TargetRateLimit::onReported(Instant now) noexcept
{
    m_reported = limit(now);
    m_reportedAt = now;
}

double TargetRateLimit::rate(double defaultShare) const noexcept
{
    return std::max(m_perSecond.value_or(0.0), MinRequestsPerSecond)
        * m_share.value_or(defaultShare);
}

double TargetRateLimit::tokens(double defaultShare, Instant now) const noexcept
{
    const double perSecond = rate(defaultShare);
    const double burst = std::max(1.0, perSecond * BurstSeconds);
    return std::min(burst, m_tokens + toSeconds(now - m_refilledAt) * perSecond);
}

Instant TargetRateLimit::availableAt(double defaultShare, Instant now) const noexcept
{
    if (!limit(now))
        return now;
    const double available = tokens(defaultShare, now);
    if (available >= 1.0)
        return now;
    const double perSecond = rate(defaultShare);
    const Instant forgottenAt = m_statedAt + StatementLifetime;
    if (perSecond <= 0.0)
        return Instant::max();
    const double wait = (1.0 - available) / perSecond;
    if (wait >= toSeconds(forgottenAt - now))
        return forgottenAt;
    return now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
}

void TargetRateLimit::onSend(double defaultShare, Instant now) noexcept
{
    if (!limit(now))
        return;
    m_tokens = tokens(defaultShare, now) - 1.0;
    m_refilledAt = now;
}

} // namespace ggv
