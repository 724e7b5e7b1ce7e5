#include <ggv/coordination/fleet/forwarding_peers.hpp>

#include <ggv/state/routing/target_affinity.hpp>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace ggv {

namespace {

//! Bounds of the places that the own region leaves to hosts of other regions.
constexpr std::size_t MinOtherRegionPlaces = 2;
constexpr std::size_t MaxOtherRegionPlaces = 4;
//! Weight of a host of the own failure domain, relative to the others.
constexpr double OwnDomainWeight = 2.0;

using Peers = std::vector<const HostAnnouncement *>;

bool canServe(const HostAnnouncement &peer, const HostAnnouncement &host)
{
    return peer.ready && peer.reachesTargets && peer.internal != Endpoint()
        && peer.name != host.name;
}

double rankPeer(const HostAnnouncement &peer, const HostAnnouncement &host)
{
    const double weight = peer.domain == host.domain ? OwnDomainWeight : 1.0;
    return rankTarget(affinityDigest(host.name.text()), affinityDigest(peer.name.text()), weight);
}

Peers rankPeers(const HostAnnouncement &host, const std::vector<HostAnnouncement> &entryHosts)
{
    std::vector<std::pair<double, const HostAnnouncement *>> ranked;
    for (const auto &it : entryHosts) {
        if (canServe(it, host))
            ranked.emplace_back(rankPeer(it, host), &it);
    }
    std::sort(ranked.begin(), ranked.end());
    Peers peers;
    peers.reserve(ranked.size());
    for (const auto &[rank, peer] : ranked)
        peers.push_back(peer);
    return peers;
}

// Moves the first host of each region to the front. Returns the number of regions.
std::size_t moveRegionsToFront(Peers::iterator begin, Peers::iterator end)
{
    std::set<RegionName> regions;
    std::stable_partition(begin, end,
                          [&](const auto *it) { return regions.insert(it->region).second; });
    return regions.size();
}

} // namespace

std::vector<HostAnnouncement> selectForwardingPeers(const HostAnnouncement &host,
                                                    const std::vector<HostAnnouncement> &entryHosts)
{
    Peers ranked = rankPeers(host, entryHosts);
    const auto others = std::stable_partition(
        ranked.begin(), ranked.end(), [&](const auto *it) { return it->region == host.region; });
    const std::size_t otherRegions = moveRegionsToFront(others, ranked.end());
    const auto otherHosts = static_cast<std::size_t>(std::distance(others, ranked.end()));
    const std::size_t otherPlaces = std::min(
        otherHosts, std::clamp(otherRegions, MinOtherRegionPlaces, MaxOtherRegionPlaces));
    std::vector<HostAnnouncement> peers;
    for (auto it = ranked.begin(); it != others && peers.size() + otherPlaces < MaxForwardingPeers;
         ++it)
        peers.push_back(**it);
    for (auto it = others; it != ranked.end() && peers.size() < MaxForwardingPeers; ++it)
        peers.push_back(**it);
    return peers;
}

} // namespace ggv
