#include <ggv/state/health/target_health.hpp>

#include <algorithm>

namespace ggv {

namespace {

constexpr std::uint32_t MaximumBackoffDoublings = 16;

} // namespace

bool isFailure(TargetOutcome outcome) noexcept
{
    return outcome != TargetOutcome::Success && outcome != TargetOutcome::Overloaded;
}

TargetHealth TargetHealth::warm(const HealthPolicy &policy) noexcept { return { policy, true }; }

TargetHealth TargetHealth::cold(const HealthPolicy &policy) noexcept { return { policy, false }; }

TargetHealth::TargetHealth(const HealthPolicy &policy, bool isWarm) noexcept
    : m_policy(policy)
    , m_isWarm(isWarm)
{ }

void TargetHealth::observeLeaving(EvidenceSource source, std::uint64_t stamp,
                                  bool isLeaving) noexcept
{
    auto &statement = m_statements[static_cast<std::size_t>(source)];
    statement = std::max(statement, LeavingStatement { stamp, isLeaving });
}

void TargetHealth::observeRequest(TargetOutcome outcome, Instant sentAt, Instant now) noexcept
{
    observe(m_requests, outcome, sentAt, now);
    if (outcome == TargetOutcome::Success && m_requests.consecutive == 0)
        advanceSlowStart(now);
}

void TargetHealth::observeProbe(TargetOutcome outcome, Instant sentAt, Instant now) noexcept
{
    observe(m_probes, outcome, sentAt, now);
}

HealthState TargetHealth::state(Instant now) const noexcept
{
    if (isLeaving())
        return HealthState::Leaving;
    return std::max(stateOf(m_requests, now), stateOf(m_probes, now));
}

double TargetHealth::weight() const noexcept
{
    if (isLeaving())
        return 0.0;
    if (m_isWarm)
        return 1.0;
    const auto progress = std::chrono::duration<double>(m_lastSuccessAt - m_startedAt);
    const auto total = std::chrono::duration<double>(m_policy.slowStart);
    const double share = m_hasStarted ? progress / total : 0.0;
    return std::clamp(share, m_policy.startWeight, 1.0);
}

void TargetHealth::observe(FailureTrack &track, TargetOutcome outcome, Instant sentAt,
                           Instant now) noexcept
{
    const double failed = isFailure(outcome) ? 1.0 : 0.0;
    track.ratio += m_policy.ratioStep * (failed - track.ratio);
    if (isFailure(outcome))
        observeFailure(track, now);
    else
        observeSuccess(track, sentAt);
}

void TargetHealth::observeFailure(FailureTrack &track, Instant now) noexcept
{
    const bool wasTrial
        = stateOf(track, now) == HealthState::Suspect && track.consecutive >= m_policy.downAfter;
    if (wasTrial)
        ++track.downPeriods;
    ++track.consecutive;
    track.lastFailureAt = std::max(track.lastFailureAt, now);
    if (track.consecutive < m_policy.downAfter)
        return;
    m_isWarm = false;
    m_hasStarted = false;
}

void TargetHealth::observeSuccess(FailureTrack &track, Instant sentAt) noexcept
{
    if (sentAt < track.lastFailureAt)
        return;
    track.consecutive = 0;
    track.downPeriods = 0;
}

void TargetHealth::advanceSlowStart(Instant now) noexcept
{
    if (m_isWarm)
        return;
    if (!m_hasStarted) {
        m_hasStarted = true;
        m_startedAt = now;
        m_lastSuccessAt = now;
    }
    m_lastSuccessAt = std::max(m_lastSuccessAt, now);
    m_isWarm = m_lastSuccessAt - m_startedAt >= m_policy.slowStart;
}

bool TargetHealth::isLeaving() const noexcept
{
    return std::ranges::any_of(m_statements, &LeavingStatement::isLeaving);
}

HealthState TargetHealth::stateOf(const FailureTrack &track, Instant now) const noexcept
{
    if (track.consecutive >= m_policy.downAfter) {
        const bool mayTry = now - track.lastFailureAt >= backoffOf(track);
        return mayTry ? HealthState::Suspect : HealthState::Down;
    }
    const bool isSuspect
        = track.consecutive >= m_policy.suspectAfter || track.ratio > m_policy.suspectRatio;
    return isSuspect ? HealthState::Suspect : HealthState::Working;
}

Duration TargetHealth::backoffOf(const FailureTrack &track) const noexcept
{
    const auto doublings = std::min(track.downPeriods, MaximumBackoffDoublings);
    return std::min(m_policy.firstBackoff * (Duration::rep { 1 } << doublings),
                    m_policy.maximumBackoff);
}

bool applyPanicRule(std::span<HealthState> states, double maximumDownShare) noexcept
{
    const auto leaving = std::ranges::count(states, HealthState::Leaving);
    const auto down = std::ranges::count(states, HealthState::Down);
    const auto staying = static_cast<double>(std::ssize(states) - leaving);
    if (down == 0 || static_cast<double>(down) <= maximumDownShare * staying)
        return false;
    std::ranges::replace(states, HealthState::Down, HealthState::Suspect);
    return true;
}

} // namespace ggv
