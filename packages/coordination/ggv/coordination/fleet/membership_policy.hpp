#pragma once

#include <ggv/coordination/consensus/raft.hpp>
#include <ggv/protocol/message/fleet_message.hpp>

#include <optional>
#include <string_view>
#include <vector>

namespace ggv {

//! A change of the quorum's membership, or the preparation of one.
enum class MembershipStepKind : std::uint8_t {
    Register, //!< Make the address known to all members.
    Add,
    Remove,
};

//! The next step of the leader.
struct MembershipStep
{
    MembershipStepKind kind = MembershipStepKind::Register;
    MemberId member = 0;
    Endpoint internal;

    [[nodiscard]] auto operator<=>(const MembershipStep &) const = default;
};

//! What the leader knows.
struct MembershipPolicyInput
{
    RaftStatus status;
    std::vector<RegisterMember> registered;
    std::vector<HostSighting> hosts;
    Duration timeAsLeader { 0 }; //!< Before this, a silent member may not have reported yet.
    std::uint32_t toleratedFailures = 1;
};

//! A member that was silent for this long may be removed.
inline constexpr Duration MemberSilenceTimeout = std::chrono::seconds(6);
//! Pause between two steps.
inline constexpr Duration MembershipStepInterval = std::chrono::milliseconds(300);

/**
 * @brief Decides how the quorum follows the live control hosts, one step at a time.
 *
 * Every live control host becomes a voter. An identity is removed once the same address answers
 * under a newer one, or after MemberSilenceTimeout if the voters that remain still bear the
 * tolerated losses.
 * @param view What the leader knows.
 * @return The step, or nothing.
 */
[[nodiscard]] std::optional<MembershipStep> nextMembershipStep(const MembershipPolicyInput &view);

//! @return Name of a step for logs.
[[nodiscard]] std::string_view membershipStepName(MembershipStepKind kind) noexcept;

} // namespace ggv
