#pragma once

#include <ggv/coordination/control/control_plane.hpp>

#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace ggv {

//! Reply of a claim group to a request that waits for it.
struct ClaimAnswer
{
    ClaimId claim;
    std::optional<ClaimOutcome> outcome; //!< std::nullopt if no reply arrived before the deadline.
};

/**
 * @brief Requests a claim and suspends until the reply or the deadline.
 *
 * A claim that is granted after the deadline is released, because the request has already been
 * answered and nothing will be sent to a target under that claim.
 *
 * @param context Event loop of the request.
 * @param control The control plane; must outlive the wait.
 * @param group The claim group.
 * @param request The claim request.
 * @param deadline Time at which the wait ends without a reply.
 */
[[nodiscard]] boost::asio::awaitable<ClaimAnswer>
awaitClaim(boost::asio::io_context &context, ControlPlane &control, const std::string &group,
           const ClaimRequest &request, Instant deadline);

} // namespace ggv
