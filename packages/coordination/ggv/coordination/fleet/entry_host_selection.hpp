#pragma once

#include <ggv/protocol/message/fleet_message.hpp>

#include <cstddef>
#include <vector>

namespace ggv {

/**
 * @brief Selects the entry hosts that a look-up names.
 *
 * Hosts that reach targets go before those that reach none, then hosts of the caller's region
 * before all others; only hosts of the best kind present are named. Hosts that are not ready are
 * left out.
 * @param hosts Live entry hosts.
 * @param region Region of the caller.
 * @param maxCount Maximum number of hosts.
 * @return The hosts in the given order; empty only if none is ready.
 */
[[nodiscard]] std::vector<HostAnnouncement> selectEntryHosts(std::vector<HostAnnouncement> hosts,
                                                             const RegionName &region,
                                                             std::size_t maxCount);

} // namespace ggv
