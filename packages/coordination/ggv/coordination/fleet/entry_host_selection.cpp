#include <ggv/coordination/fleet/entry_host_selection.hpp>

#include <algorithm>
#include <functional>

namespace ggv {

namespace {

//! If a smaller share of a region's hosts reaches targets, other regions' hosts share its callers.
constexpr double MinReachingShare = 0.5;

// Keeps only the matching hosts, or all if none matches.
template <typename Predicate>
void prefer(std::vector<HostAnnouncement> &hosts, Predicate matches)
{
    if (std::any_of(hosts.begin(), hosts.end(), matches))
        std::erase_if(hosts, std::not_fn(matches));
}

bool hasEnoughHosts(const std::vector<HostAnnouncement> &hosts, const RegionName &region)
{
    const auto isRegional = [&](const HostAnnouncement &it) { return it.region == region; };
    const auto regional = std::count_if(hosts.begin(), hosts.end(), isRegional);
    const auto reaching = std::count_if(hosts.begin(), hosts.end(), [&](const auto &it) {
        return isRegional(it) && it.reachesTargets;
    });
    return reaching == 0
        || static_cast<double>(reaching) >= MinReachingShare * static_cast<double>(regional);
}

} // namespace

std::vector<HostAnnouncement> selectEntryHosts(std::vector<HostAnnouncement> hosts,
                                               const RegionName &region, std::size_t maxCount)
{
    std::erase_if(hosts, [](const HostAnnouncement &it) { return !it.ready; });
    const bool staysInRegion = hasEnoughHosts(hosts, region);
    prefer(hosts, [](const HostAnnouncement &it) { return it.reachesTargets; });
    if (staysInRegion)
        prefer(hosts, [&](const HostAnnouncement &it) { return it.region == region; });
    if (hosts.size() > maxCount)
        hosts.resize(maxCount);
    return hosts;
}

} // namespace ggv
