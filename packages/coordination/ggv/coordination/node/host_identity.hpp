#pragma once

#include <ggv/protocol/message/raft_message.hpp>
#include <ggv/state/core/ids.hpp>
#include <ggv/state/storage/disk.hpp>

#include <cstdint>

namespace ggv {

//! Incarnation of a data folder that was created when its cluster was initialised.
inline constexpr std::uint64_t FirstIncarnation = 1;

/**
 * @brief Returns the member id of a host in quorums. It depends on the incarnation, so that a host
 * that lost its disk becomes a different member.
 * @param host The host.
 * @param incarnation Incarnation of its data folder.
 * @return The member id; never 0.
 */
[[nodiscard]] MemberId memberIdOf(const HostName &host, std::uint64_t incarnation) noexcept;

/**
 * @brief Reads the incarnation of a data folder, or assigns one to an empty folder.
 *
 * An empty folder gets the first incarnation only when a new cluster is initialised. Otherwise its
 * earlier content is assumed to be lost, and a random incarnation prevents the host from voting
 * under its previous identity.
 *
 * @param disk The data folder.
 * @param host The host; the folder of another host is rejected.
 * @param initialize True if a new cluster is being initialised.
 * @return The incarnation.
 * @throws Error StorageIdentityMismatch, StorageCorrupt, StorageIo.
 */
[[nodiscard]] std::uint64_t loadIncarnation(Disk &disk, const HostName &host, bool initialize);

} // namespace ggv
