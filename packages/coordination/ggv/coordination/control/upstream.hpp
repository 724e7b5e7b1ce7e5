#pragma once

#include <ggv/state/model/register.hpp>

#include <vector>

namespace ggv {

/**
 * @brief Hosts that a host may attach to, best first.
 *
 * Information flows from the control leader to the other voters and one relay of each failure
 * domain, and from there to the domain's other hosts. A host only attaches to hosts that are
 * before it in that order, so no cycle can arise; if they are out of reach it goes to a voter.
 *
 * @param content The register.
 * @param self The host that looks for an upstream.
 * @param leader The control leader as far as known; may be empty.
 * @return Candidates; empty for the leader itself.
 */
[[nodiscard]] std::vector<HostName>
upstreamCandidates(const Register &content, const HostName &self, const HostName &leader);

//! @return True if the host is a voter of the control quorum.
[[nodiscard]] bool isControlVoter(const Register &content, const HostName &host);

} // namespace ggv
