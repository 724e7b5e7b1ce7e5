#pragma once

#include <ggv/state/core/time.hpp>
#include <ggv/state/steering/target_choice.hpp>

#include <compare>
#include <cstdint>
#include <span>

namespace ggv {

//! A target whose slots a host may lease.
struct DemandTarget
{
    Proximity proximity = Proximity::SameDomain;
    std::uint32_t slots = 0; //!< All slots of the target; 0 if it receives no requests.
    std::uint32_t leased = 0; //!< Slots currently leased to the host.

    [[nodiscard]] auto operator<=>(const DemandTarget &) const noexcept = default;
};

//! Parameters of distributeDemand(): margins by proximity, in standard deviations of the load.
struct DemandPolicy
{
    double ownDomainMargin = 2.0;
    double ownRegionMargin = 1.0;
    double otherRegionMargin = 0.25;

    [[nodiscard]] auto operator<=>(const DemandPolicy &) const noexcept = default;
};

/**
 * @brief Computes the mean number of slots that the arriving requests occupy.
 * @param arrivalsPerSecond Rate of arriving requests, whether served or shed.
 * @param serviceTime Mean time for which a request occupies a slot.
 * @return Arrival rate times service time.
 */
[[nodiscard]] double offeredLoad(double arrivalsPerSecond, Duration serviceTime) noexcept;

/**
 * @brief Distributes the slots that a host should request over targets.
 *
 * The full load and a wide margin are requested in the host's failure domain. Load that the leased
 * slots of nearer targets do not cover is requested in the rest of the region and then in other
 * regions, with smaller margins: if every host requested its full margin everywhere, all shares
 * would become too small to be useful.
 *
 * @param load Result of offeredLoad().
 * @param otherRegionLimit Maximum slots to request in other regions, as links and shift caps allow.
 * @param targets Targets of the service.
 * @param requested Output: slots to request by target; same size as targets.
 * @param policy Margins.
 */
void distributeDemand(double load, double otherRegionLimit, std::span<const DemandTarget> targets,
                      std::span<std::uint32_t> requested, const DemandPolicy &policy = {}) noexcept;

} // namespace ggv
