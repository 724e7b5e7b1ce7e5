#pragma once

#include <ggv/protocol/message/raft_message.hpp>
#include <ggv/state/core/ids.hpp>
#include <ggv/state/storage/disk.hpp>

#include <cstdint>

namespace ggv {

//! Incarnation of a data folder that was created when its cluster was initialised.
inline constexpr std::uint64_t FirstIncarnation = 1;

/**
 * @brief Identity of a host in quorums; a host that lost its disk has another incarnation.
 * @param host The host.
 * @param incarnation Of its data folder.
 * @return Never 0.
 */
[[nodiscard]] MemberId memberIdOf(const HostName &host, std::uint64_t incarnation) noexcept;

/**
 * @brief Reads the incarnation of a data folder, or gives an empty folder one.
 *
 * An empty folder gets the first incarnation only when a new cluster is initialised. Otherwise its
 * earlier content is taken as lost, and a random incarnation keeps the host from voting under the
 * identity that it had.
 *
 * @param disk The data folder.
 * @param host The host; a folder of another host is refused.
 * @param initialize True if a new cluster is being initialised.
 * @return The incarnation.
 * @throws Error StorageIdentityMismatch, StorageCorrupt, StorageIo.
 */
[[nodiscard]] std::uint64_t loadIncarnation(Disk &disk, const HostName &host, bool initialize);

} // namespace ggv
