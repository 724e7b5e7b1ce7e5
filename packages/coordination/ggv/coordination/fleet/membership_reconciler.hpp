#pragma once

#include <ggv/coordination/fleet/membership_policy.hpp>

#include <optional>
#include <vector>

namespace ggv {

/**
 * @brief Tracks how long the present leader has led and spaces the steps of membership changes.
 *
 * Does no I/O; callers supply the time and carry out the steps. observeLeader() must be called
 * periodically.
 */
class MembershipReconciler
{
public:
    //! Minimum time between two steps.
    static constexpr Duration StepInterval = std::chrono::milliseconds(300);

    //! @param toleratedFailures Members that may fail at the same time.
    explicit MembershipReconciler(std::uint32_t toleratedFailures) noexcept;

    /**
     * @brief Records who leads.
     * @param leader The leading member, 0 if unknown.
     * @param runningSince End of the last pause of this process, which missed others' reports.
     * @param now The current time.
     */
    void observeLeader(MemberId leader, Instant runningSince, Instant now) noexcept;
    /**
     * @brief Computes the next step; only the leader may carry it out.
     * @param status Status of the leader's member.
     * @param registered Addresses in the replicated state.
     * @param hosts Hosts that report to this host itself.
     * @param now The current time.
     * @return The step, or std::nullopt if none is needed or the last one was too recent.
     */
    [[nodiscard]] std::optional<MembershipStep> nextStep(RaftStatus status,
                                                         std::vector<RegisterMember> registered,
                                                         std::vector<HostObservation> hosts,
                                                         Instant now);

private:
    std::uint32_t m_toleratedFailures;
    MemberId m_leader = 0;
    Instant m_leaderSince {};
    Instant m_lastStepAt {};
};

} // namespace ggv
