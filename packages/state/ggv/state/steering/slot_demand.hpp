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
    std::uint32_t leased = 0; //!< Slots that the host has now.

    [[nodiscard]] auto operator<=>(const DemandTarget &) const noexcept = default;
};

//! Parameters of distributeDemand(): standard deviations of the load to cover, by where slots are.
struct DemandPolicy
{
    double ownDomainMargin = 2.0;
    double ownRegionMargin = 1.0;
    double otherRegionMargin = 0.25;

    [[nodiscard]] auto operator<=>(const DemandPolicy &) const noexcept = default;
};

/**
 * @brief Mean number of slots that a host's arrivals keep in use.
 * @param arrivalsPerSecond Requests that arrive, whether they are served or shed.
 * @param serviceTime Mean time that a request holds a slot.
 * @return Arrival rate times service time.
 */
[[nodiscard]] double offeredLoad(double arrivalsPerSecond, Duration serviceTime) noexcept;

/**
 * @brief Spreads the slots that a host should ask for over targets.
 *
 * The own failure domain gets the load and a wide margin. The own region, and then other regions,
 * get what the leased slots before them do not cover, with narrower margins: if every host asked
 * everywhere for its margin, the shares of all would become too small to use.
 *
 * @param load Result of offeredLoad().
 * @param otherRegionLimit Most slots to ask for in other regions, as links and shift caps allow.
 * @param targets Targets of the service.
 * @param wanted Receives the slots to ask for, by target; as long as targets.
 * @param policy Margins.
 */
void distributeDemand(double load, double otherRegionLimit, std::span<const DemandTarget> targets,
                      std::span<std::uint32_t> requested, const DemandPolicy &policy = {}) noexcept;

} // namespace ggv
