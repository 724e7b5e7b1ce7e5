#pragma once

#include <ggv/coordination/consensus/raft.hpp>

namespace ggv {

//! A follower whose state may be older than this does not tell it to entry hosts as current.
inline constexpr Duration MaxStateLag = std::chrono::seconds(1);

/**
 * @brief Decides whether a control host may tell its state to entry hosts as current. An entry host
 * that was just started would act by an old one.
 * @param status Status of the host's member.
 * @param hasLeaderLease Whether the member holds the leader lease.
 * @param now The current time.
 * @return True for a leader with its lease, and for a follower that has caught up with its leader
 * within MaxStateLag.
 */
[[nodiscard]] bool hasCurrentState(const RaftStatus &status, bool hasLeaderLease,
                                   Instant now) noexcept;

} // namespace ggv
