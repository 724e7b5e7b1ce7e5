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
    //! A longer time between two calls of observeLeader() is a pause of the process.
    static constexpr Duration MaxObservationPause = std::chrono::milliseconds(500);

    //! @param toleratedFailures Members that may fail at the same time.
    explicit MembershipReconciler(std::uint32_t toleratedFailures) noexcept;

    //! Records the member that leads, 0 if unknown.
    void observeLeader(MemberId leader, Instant now) noexcept;
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
    Instant m_observedAt {};
    Instant m_lastStepAt {};
};

} // namespace ggv
