#include <ggv/coordination/fleet/rate_limit_assignment.hpp>

#include <ggv/protocol/codec/target_report_codec.hpp>
#include <ggv/state/routing/rate_limit_sharing.hpp>

#include <algorithm>

namespace ggv {

namespace {

// Returns the region of a target; empty if the list or the hosts do not tell it.
RegionName regionOf(const std::string &instance, const std::vector<HostAnnouncement> &entryHosts,
                    const TargetList &list)
{
    const auto target
        = std::find_if(list.targets.begin(), list.targets.end(),
                       [&instance](const auto &it) { return it.instance == instance; });
    if (target == list.targets.end())
        return {};
    const auto host = std::find_if(entryHosts.begin(), entryHosts.end(), [&target](const auto &it) {
        return it.domain == target->domain;
    });
    return host == entryHosts.end() ? RegionName() : host->region;
}

std::vector<RateLimitSharer> sharers(const std::vector<HostAnnouncement> &entryHosts,
                                     const RegionName &region)
{
    std::vector<RateLimitSharer> result;
    result.reserve(entryHosts.size());
    for (const auto &it : entryHosts)
        result.push_back({ it.name, it.region == region });
    return result;
}

} // namespace

std::map<HostName, std::vector<TargetStateReport>>
assignRateLimits(const std::vector<TargetStateReport> &records,
                 const std::vector<HostAnnouncement> &entryHosts, const TargetList &list)
{
    std::map<HostName, std::vector<TargetStateReport>> result;
    for (const auto &record : records) {
        const auto report = decodeRateLimitReport(record);
        if (!report || !report->perSecond)
            continue;
        const auto region = regionOf(report->instance, entryHosts, list);
        const auto fractions
            = shareRateLimit(sharers(entryHosts, region), report->instance, *report->perSecond);
        for (std::size_t n = 0; n < entryHosts.size(); ++n)
            result[entryHosts[n].name].push_back(
                encodeRateLimitShare({ report->instance, fractions[n] }));
    }
    return result;
}

} // namespace ggv
