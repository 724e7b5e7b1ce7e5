#include <ggv/coordination/fleet/membership_reconciler.hpp>

#include <algorithm>
#include <utility>

namespace ggv {

MembershipReconciler::MembershipReconciler(std::uint32_t toleratedFailures) noexcept
    : m_toleratedFailures(toleratedFailures)
{ }

void MembershipReconciler::observeLeader(MemberId leader, Instant runningSince,
                                         Instant now) noexcept
{
    if (std::exchange(m_leader, leader) != leader)
        m_leaderSince = now;
    m_leaderSince = std::max(m_leaderSince, runningSince);
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
