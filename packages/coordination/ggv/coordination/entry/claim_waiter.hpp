#pragma once

#include <ggv/coordination/control/control_plane.hpp>

#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace ggv {

//! Answer of a claim group to a waiting request.
struct ClaimAnswer
{
    ClaimId claim;
    std::optional<ClaimOutcome> outcome; //!< Nothing: not known in time.
};

/**
 * @brief Asks for a claim and waits on the loop of the request.
 *
 * A grant that arrives after the wait has ended is given back: nobody will send a byte under it.
 *
 * @param context Loop of the request.
 * @param control The control plane; outlives the wait.
 * @param group The claim group.
 * @param request The claim.
 * @param deadline When the wait ends.
 */
[[nodiscard]] boost::asio::awaitable<ClaimAnswer>
awaitClaim(boost::asio::io_context &context, ControlPlane &control, const std::string &group,
           const ClaimRequest &request, Instant deadline);

} // namespace ggv
