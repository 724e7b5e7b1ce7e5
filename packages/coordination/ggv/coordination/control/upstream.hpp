#pragma once

#include <ggv/state/model/register.hpp>

#include <vector>

namespace ggv {

/**
 * @brief Returns the hosts that a host may use as upstream, in order of preference.
 *
 * Information flows from the control leader to the other voters and to one relay in each failure
 * domain, and from the relay to the other hosts of the domain. A host attaches only to hosts that
 * precede it in this order, so cycles cannot arise. If none of them is reachable, it attaches to a
 * voter.
 *
 * @param content The register.
 * @param self The host that selects an upstream.
 * @param leader The last known control leader; may be empty.
 * @return The candidates; empty for the leader itself.
 */
[[nodiscard]] std::vector<HostName>
upstreamCandidates(const Register &content, const HostName &self, const HostName &leader);

//! Returns true if the host is a voter of the control quorum.
[[nodiscard]] bool isControlVoter(const Register &content, const HostName &host);

} // namespace ggv
