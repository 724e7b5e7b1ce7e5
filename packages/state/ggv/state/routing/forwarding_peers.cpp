#include <ggv/state/routing/forwarding_peers.hpp>

#include <algorithm>
#include <utility>

namespace ggv {

namespace {

bool isAllowed(const RegionName &region, const std::vector<RegionName> &allowedRegions)
{
    return allowedRegions.empty()
        || std::find(allowedRegions.begin(), allowedRegions.end(), region) != allowedRegions.end();
}

} // namespace

void ForwardingPeers::update(std::vector<ForwardingPeer> peers)
{
    m_peers = std::move(peers);
    std::erase_if(m_failedAt, [this](const auto &failure) {
        return std::none_of(m_peers.begin(), m_peers.end(),
                            [&failure](const auto &it) { return it.name == failure.first; });
    });
}

void ForwardingPeers::observeFailure(const HostName &peer, Instant now)
{
    m_failedAt.insert_or_assign(peer, now);
}

bool ForwardingPeers::isBackingOff(const HostName &peer, Instant now) const
{
    const auto it = m_failedAt.find(peer);
    return it != m_failedAt.end() && now - it->second < FailureBackoff;
}

std::vector<const ForwardingPeer *>
ForwardingPeers::nearestPeers(const std::vector<RegionName> &allowedRegions,
                              const std::set<HostName> &tried, Instant now) const
{
    std::vector<const ForwardingPeer *> nearest;
    for (const auto &it : m_peers) {
        const bool isEligible = isAllowed(it.region, allowedRegions) && !tried.contains(it.name)
            && !isBackingOff(it.name, now);
        if (!isEligible)
            continue;
        if (nearest.empty() || nearest.front()->region == it.region)
            nearest.push_back(&it);
        if (nearest.size() == SpreadWidth)
            break;
    }
    return nearest;
}

const ForwardingPeer *ForwardingPeers::choose(const std::vector<RegionName> &allowedRegions,
                                              const std::set<HostName> &tried, Instant now,
                                              RandomSource &random) const
{
    const auto nearest = nearestPeers(allowedRegions, tried, now);
    if (nearest.empty())
        return nullptr;
    const double position = uniformFraction(random) * static_cast<double>(nearest.size());
    return nearest[static_cast<std::size_t>(position)];
}

} // namespace ggv
