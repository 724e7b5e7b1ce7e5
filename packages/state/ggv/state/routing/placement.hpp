#pragma once

#include <ggv/state/core/time.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace ggv {

//! Mean service times of a service's targets, for cached and uncached objects.
struct ServiceTimeEstimate
{
    double known = 0.0; //!< Object served recently, in microseconds; 0 before the first sample.
    double unknown = 0.0; //!< Other objects, in microseconds; 0 before the first sample.

    [[nodiscard]] auto operator<=>(const ServiceTimeEstimate &) const noexcept = default;
};

//! What the choice of a target depends on, other than the targets.
struct PlacementRequest
{
    bool usesAffinity = false; //!< Targets are faster for objects that they served recently.
    std::uint32_t priority = 0; //!< 0 is the highest priority.
    Duration timeLeft { 0 }; //!< Time until the request's deadline.
    ServiceTimeEstimate serviceTimes;

    [[nodiscard]] auto operator<=>(const PlacementRequest &) const noexcept = default;
};

//! A target that may serve the request.
struct PlacementCandidate
{
    std::uint32_t rank = 0; //!< Number of targets that affinity prefers to this one.
    bool knowsObject = false; //!< Served the object for this host recently.
    double load = 0.0; //!< Requests of all hosts that the target executes or has queued.
    std::uint32_t slots = 1;

    [[nodiscard]] auto operator<=>(const PlacementCandidate &) const noexcept = default;
};

//! A candidate to which the request may be sent.
struct Placement
{
    std::size_t candidate = 0; //!< Index among the candidates.
    Duration wait { 0 }; //!< Expected wait for a slot.
    Duration cost { 0 }; //!< Expected time, weighted by the work that the choice causes.

    [[nodiscard]] auto operator<=>(const Placement &) const noexcept = default;
};

//! @return True if the target probably has the object of the request in its cache.
[[nodiscard]] bool probablyHasObject(const PlacementRequest &request,
                                     const PlacementCandidate &candidate) noexcept;

//! @return Expected time until a slot of the target is free for the request.
[[nodiscard]] Duration expectedWait(const PlacementRequest &request,
                                    const PlacementCandidate &candidate) noexcept;

/**
 * @brief Decides to which targets a request may be sent.
 *
 * In overload, requests that leave the target which has their object cached take several times as
 * long elsewhere and displace others, so that the overload sustains itself. Therefore a target that
 * probably has to load the object is used only if it has a free slot and few of the service's
 * targets are full; otherwise the request waits for a target that has the object. A target where
 * the request is not expected to end before its deadline is left out.
 * @param request The request.
 * @param candidates The healthy targets of its service, in the order of their ranks.
 * @return The placements, lowest cost first and of equal ones the lowest rank first; empty if the
 * request should be rejected at once.
 */
[[nodiscard]] std::vector<Placement> placeRequest(const PlacementRequest &request,
                                                  std::span<const PlacementCandidate> candidates);

} // namespace ggv
