#pragma once

#include <ggv/coordination/consensus/raft.hpp>
#include <ggv/coordination/fleet/fleet_directory.hpp>
#include <ggv/protocol/message/fleet_message.hpp>

#include <optional>
#include <string_view>
#include <vector>

namespace ggv {

//! Kind of a step that changes, or prepares to change, the quorum's membership.
enum class MembershipStepKind : std::uint8_t {
    Register, //!< Record the host's address in the replicated state.
    Add,
    Remove,
};

//! Reason for a step.
enum class MembershipStepReason : std::uint8_t {
    Reporting, //!< The host reports to the leader and is no member yet.
    Replaced, //!< The member's address reports as another voter.
    Silent, //!< The member has not been heard for too long.
    Leaving, //!< The member's host has announced that it stops.
};

//! One step of a membership change, carried out by the leader.
struct MembershipStep
{
    MembershipStepKind kind = MembershipStepKind::Register;
    MemberId member = 0;
    Endpoint internal;
    MembershipStepReason reason = MembershipStepReason::Reporting;

    [[nodiscard]] auto operator<=>(const MembershipStep &) const = default;
};

//! Input of the membership policy, as known to the leader.
struct MembershipPolicyInput
{
    RaftStatus status;
    std::vector<RegisterMember> registered;
    //! Hosts that report to this host itself. What other hosts relay may be late: neither adds nor
    //! keeps a member.
    std::vector<HostObservation> hosts;
    Duration timeAsLeader { 0 }; //!< Without a pause of the process.
    std::uint32_t toleratedFailures = 1;
};

//! A member that has not reported for this long may be removed. Until then it counts for the
//! majority, although it is lost.
inline constexpr Duration MemberSilenceTimeout = std::chrono::seconds(3);
//! The same if the tolerated failures would leave no majority because of the silent members. A
//! shorter time would add a member again that was just removed.
inline constexpr Duration EndangeringSilenceTimeout = FleetDirectory::LivenessTimeout;
//! Time in which a new leader receives the reports of all members.
inline constexpr Duration LeaderSettlingTime = std::chrono::seconds(1);

/**
 * @brief Computes the next step that aligns the quorum's membership with the live control hosts.
 *
 * Every live control host becomes a voter. A voter is removed once its address reports under
 * another member id that is a voter, and, if enough voters remain to tolerate the configured number
 * of failures, after MemberSilenceTimeout or once its host is leaving; after
 * EndangeringSilenceTimeout if the quorum has grown and would not survive the tolerated failures. A
 * learner is removed after MemberSilenceTimeout or once its host is leaving.
 * @param input Input of the decision.
 * @return The next step, or std::nullopt if no change is needed.
 */
[[nodiscard]] std::optional<MembershipStep> nextMembershipStep(const MembershipPolicyInput &input);

/**
 * @brief Tells whether a host that leaves should keep serving because the leader is about to remove
 * its member from the quorum.
 * @param status Status of the leaving host's own member.
 * @param member The leaving host's member.
 * @param toleratedFailures Members that may fail at the same time.
 * @return False once the removal is committed, and if too few voters would remain for a removal.
 */
[[nodiscard]] bool awaitsRemoval(const RaftStatus &status, MemberId member,
                                 std::uint32_t toleratedFailures);

//! @return Name of the step kind for logs.
[[nodiscard]] std::string_view membershipStepName(MembershipStepKind kind) noexcept;
//! @return Name of the reason for logs.
[[nodiscard]] std::string_view membershipStepReasonName(MembershipStepReason reason) noexcept;

} // namespace ggv
