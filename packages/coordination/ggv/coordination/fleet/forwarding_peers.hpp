#pragma once

#include <ggv/protocol/message/fleet_message.hpp>

#include <cstddef>
#include <vector>

namespace ggv {

//! Forwarding peers that a control host names to an entry host that reaches no target.
inline constexpr std::size_t MaxForwardingPeers = 8;

/**
 * @brief Selects the entry hosts to which a host that reaches no target forwards its requests.
 *
 * Hosts of the own region come first, but leave at least two places to other regions and, if
 * possible, one to each, as routes may be allowed in certain regions only. Within a region, hosts
 * are ranked by rendezvous hashing with more weight for the own failure domain. They are not simply
 * preferred: the last working hosts of a domain would take over the requests of all others there.
 * @param host The host that forwards.
 * @param entryHosts Live entry hosts.
 * @return Up to MaxForwardingPeers ready hosts that reach targets.
 */
[[nodiscard]] std::vector<HostAnnouncement>
selectForwardingPeers(const HostAnnouncement &host,
                      const std::vector<HostAnnouncement> &entryHosts);

} // namespace ggv
