#include <ggv/state/steering/slot_demand.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>

namespace ggv {

namespace {

//! Distributes the needed slots evenly over the targets of one proximity. Returns the number of
//! these slots that are already leased.
double distributeAt(Proximity proximity, double needed, std::span<const DemandTarget> targets,
                    std::span<std::uint32_t> requested) noexcept
{
    const auto isUsable = [proximity](const DemandTarget &target) {
        return target.proximity == proximity && target.slots > 0;
    };
    auto remaining = std::ranges::count_if(targets, isUsable);
    double leased = 0.0;
    for (std::size_t n = 0; n < targets.size() && needed > 0.0; ++n) {
        if (!isUsable(targets[n]))
            continue;
        const auto share = std::ceil(needed / static_cast<double>(remaining--));
        requested[n] = std::min(targets[n].slots, static_cast<std::uint32_t>(share));
        needed -= requested[n];
        leased += std::min(requested[n], targets[n].leased);
    }
    return leased;
}

} // namespace

double offeredLoad(double arrivalsPerSecond, Duration serviceTime) noexcept
{
    return arrivalsPerSecond * std::chrono::duration<double>(serviceTime).count();
}

void distributeDemand(double load, double otherRegionLimit, std::span<const DemandTarget> targets,
                      std::span<std::uint32_t> requested, const DemandPolicy &policy) noexcept
{
    std::ranges::fill(requested, 0);
    const double deviation = std::sqrt(load);
    const double ownDomain = load + policy.ownDomainMargin * deviation;
    double leased = distributeAt(Proximity::SameDomain, ownDomain, targets, requested);
    const double ownRegion = load + policy.ownRegionMargin * deviation - leased;
    leased += distributeAt(Proximity::SameRegion, ownRegion, targets, requested);
    const double otherRegion = load + policy.otherRegionMargin * deviation - leased;
    (void)distributeAt(Proximity::OtherRegion, std::min(otherRegion, otherRegionLimit), targets,
                       requested);
}

} // namespace ggv
