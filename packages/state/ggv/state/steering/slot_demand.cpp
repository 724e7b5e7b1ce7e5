#include <ggv/state/steering/slot_demand.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>

namespace ggv {

namespace {

//! Spreads over the targets of one proximity, evenly; returns what they cannot hold.
double spreadOver(Proximity proximity, double needed, std::span<const DemandTarget> targets,
                  std::span<std::uint32_t> wanted) noexcept
{
    const auto isUsable = [proximity](const DemandTarget &target) {
        return target.proximity == proximity && target.slots > 0;
    };
    auto remaining = std::ranges::count_if(targets, isUsable);
    for (std::size_t n = 0; n < targets.size() && needed > 0.0; ++n) {
        if (!isUsable(targets[n]))
            continue;
        const auto share = std::ceil(needed / static_cast<double>(remaining--));
        wanted[n] = std::min(targets[n].slots, static_cast<std::uint32_t>(share));
        needed -= wanted[n];
    }
    return std::max(needed, 0.0);
}

} // namespace

double neededSlots(double arrivalsPerSecond, Duration serviceTime, double margin) noexcept
{
    const double load = arrivalsPerSecond * std::chrono::duration<double>(serviceTime).count();
    return load + margin * std::sqrt(load);
}

void spreadDemand(double needed, double farLimit, std::span<const DemandTarget> targets,
                  std::span<std::uint32_t> wanted) noexcept
{
    std::ranges::fill(wanted, 0);
    needed = spreadOver(Proximity::SameDomain, needed, targets, wanted);
    needed = spreadOver(Proximity::SameRegion, needed, targets, wanted);
    (void)spreadOver(Proximity::OtherRegion, std::min(needed, farLimit), targets, wanted);
}

} // namespace ggv
