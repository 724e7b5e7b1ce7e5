#include <ggv/coordination/fleet/entry_host_selection.hpp>

#include <algorithm>
#include <functional>

namespace ggv {

namespace {

// Keeps only the matching hosts, or all if none matches.
template <typename Predicate>
void prefer(std::vector<HostAnnouncement> &hosts, Predicate matches)
{
    if (std::any_of(hosts.begin(), hosts.end(), matches))
        std::erase_if(hosts, std::not_fn(matches));
}

} // namespace

std::vector<HostAnnouncement> selectEntryHosts(std::vector<HostAnnouncement> hosts,
                                               const RegionName &region, std::size_t maxCount)
{
    std::erase_if(hosts, [](const HostAnnouncement &it) { return !it.ready; });
    prefer(hosts, [](const HostAnnouncement &it) { return it.reachesTargets; });
    prefer(hosts, [&](const HostAnnouncement &it) { return it.region == region; });
    if (hosts.size() > maxCount)
        hosts.resize(maxCount);
    return hosts;
}

} // namespace ggv
