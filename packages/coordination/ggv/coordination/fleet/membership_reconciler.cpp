#include <ggv/coordination/fleet/membership_reconciler.hpp>

#include <utility>

namespace ggv {

MembershipReconciler::MembershipReconciler(std::uint32_t toleratedFailures) noexcept
    : m_toleratedFailures(toleratedFailures)
{ }

// A paused process has missed the reports of all others.
void MembershipReconciler::observeLeader(MemberId leader, Instant now) noexcept
{
    const bool wasPaused = now - std::exchange(m_observedAt, now) > MaxObservationPause;
    if (leader == m_leader && !wasPaused)
        return;
    m_leader = leader;
    m_leaderSince = now;
}

std::optional<MembershipStep> MembershipReconciler::nextStep(RaftStatus status,
                                                             std::vector<RegisterMember> registered,
                                                             std::vector<HostObservation> hosts,
                                                             Instant now)
{
    if (now - m_lastStepAt < StepInterval)
        return std::nullopt;
    auto step = nextMembershipStep({ std::move(status), std::move(registered), std::move(hosts),
                                     now - m_leaderSince, m_toleratedFailures });
    if (step)
        m_lastStepAt = now;
    return step;
}

} // namespace ggv
