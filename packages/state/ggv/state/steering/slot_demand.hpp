#pragma once

#include <ggv/state/core/time.hpp>
#include <ggv/state/steering/target_choice.hpp>

#include <compare>
#include <cstdint>
#include <span>

namespace ggv {

//! A target that a host could lease slots of.
struct DemandTarget
{
    Proximity proximity = Proximity::SameDomain;
    std::uint32_t slots = 0; //!< All slots of the target; 0 if it gets no work.

    [[nodiscard]] auto operator<=>(const DemandTarget &) const noexcept = default;
};

/**
 * @brief Slots that a host needs for its arrivals: the offered load and a margin for its variation.
 * @param arrivalsPerSecond Requests that arrive, whether they are served or shed.
 * @param serviceTime Mean time that a request holds a slot.
 * @param margin Standard deviations of the load to cover.
 * @return Number of slots, not rounded.
 */
[[nodiscard]] double neededSlots(double arrivalsPerSecond, Duration serviceTime,
                                 double margin) noexcept;

/**
 * @brief Spreads the slots that a host needs over targets: own failure domain first, then the own
 * region, and other regions only for what is left.
 * @param needed Slots that the host needs.
 * @param farLimit Most slots to want in other regions, as links and shift caps allow.
 * @param targets Targets of the service.
 * @param wanted Receives the slots to ask for, by target; as long as targets.
 */
void spreadDemand(double needed, double farLimit, std::span<const DemandTarget> targets,
                  std::span<std::uint32_t> wanted) noexcept;

} // namespace ggv
