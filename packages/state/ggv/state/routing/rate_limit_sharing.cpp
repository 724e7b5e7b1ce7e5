#include <ggv/state/routing/rate_limit_sharing.hpp>

#include <ggv/state/routing/target_affinity.hpp>

#include <algorithm>
#include <numeric>
#include <utility>

namespace ggv {

namespace {

//! Requests beyond its limit that a target takes at once, independent of the limit.
constexpr double BurstRequests = 4.0;
//! Further ones, in seconds of the limit.
constexpr double BurstSeconds = 1.5;
//! Limits above this are not distinguished: all hosts share them.
constexpr double MaxDistinguishedLimit = 1e6;
//! Weight of a host in the target's region, relative to the others.
constexpr double OwnRegionWeight = 3.0;

double weightOf(const RateLimitSharer &host) noexcept
{
    return host.isInTargetRegion ? OwnRegionWeight : 1.0;
}

// Returns the positions of the hosts that share the limit, by weighted rendezvous hashing.
std::vector<std::size_t> selectSharers(const std::vector<RateLimitSharer> &hosts,
                                       std::string_view instance, std::size_t count)
{
    std::vector<std::size_t> positions(hosts.size());
    std::iota(positions.begin(), positions.end(), 0);
    if (hosts.size() <= count)
        return positions;
    const std::uint64_t target = affinityDigest(instance);
    std::vector<std::pair<double, std::size_t>> ranked;
    ranked.reserve(hosts.size());
    for (const auto position : positions) {
        const auto &host = hosts[position];
        const std::uint64_t digest = affinityDigest(host.host.text());
        ranked.emplace_back(rankTarget(target, digest, weightOf(host)), position);
    }
    std::sort(ranked.begin(), ranked.end());
    positions.clear();
    for (std::size_t n = 0; n < count; ++n)
        positions.push_back(ranked[n].second);
    return positions;
}

} // namespace

std::size_t maxRateLimitSharers(double perSecond) noexcept
{
    const double bounded = std::clamp(perSecond, 0.0, MaxDistinguishedLimit);
    return static_cast<std::size_t>(BurstRequests + BurstSeconds * bounded);
}

std::vector<double> shareRateLimit(const std::vector<RateLimitSharer> &hosts,
                                   std::string_view instance, double perSecond)
{
    std::vector<double> fractions(hosts.size(), 0.0);
    const auto selected = selectSharers(hosts, instance, maxRateLimitSharers(perSecond));
    double total = 0.0;
    for (const auto position : selected)
        total += weightOf(hosts[position]);
    for (const auto position : selected)
        fractions[position] = weightOf(hosts[position]) / total;
    return fractions;
}

} // namespace ggv
