#pragma once

#include <ggv/state/core/ids.hpp>
#include <ggv/state/core/random_source.hpp>
#include <ggv/state/core/time.hpp>
#include <ggv/state/model/entities.hpp>

#include <compare>
#include <map>
#include <set>
#include <vector>

namespace ggv {

//! An entry host that serves requests of a host that reaches no target.
struct ForwardingPeer
{
    HostName name;
    Endpoint endpoint; //!< Where it accepts forwarded requests.
    RegionName region;

    [[nodiscard]] auto operator<=>(const ForwardingPeer &) const = default;
};

/**
 * @brief Forwarding peers of an entry host, and the choice of one for a request.
 */
class ForwardingPeers
{
public:
    //! Time for which a peer that failed is not chosen.
    static constexpr Duration FailureBackoff = std::chrono::seconds(1);
    //! Number of equally near peers among which requests are spread.
    static constexpr std::size_t SpreadWidth = 3;

    //! Replaces the list; failures of peers that remain listed are kept. @param peers Nearest
    //! first.
    void update(std::vector<ForwardingPeer> peers);
    [[nodiscard]] bool isEmpty() const noexcept { return m_peers.empty(); }
    //! Records that a peer could not be reached or cannot serve any request.
    void observeFailure(const HostName &peer, Instant now);

    /**
     * @brief Chooses one of the first peers that may serve a request, all of one region.
     * @param allowedRegions Regions that may receive the request; empty: all.
     * @param tried Peers that received the request before.
     * @param now Time of the choice.
     * @param random Spreads requests over equally near peers.
     * @return The peer, valid until the next update; null if there is none.
     */
    [[nodiscard]] const ForwardingPeer *choose(const std::vector<RegionName> &allowedRegions,
                                               const std::set<HostName> &tried, Instant now,
                                               RandomSource &random) const;

private:
    [[nodiscard]] bool isBackingOff(const HostName &peer, Instant now) const;
    [[nodiscard]] std::vector<const ForwardingPeer *>
    nearestPeers(const std::vector<RegionName> &allowedRegions, const std::set<HostName> &tried,
                 Instant now) const;

    std::vector<ForwardingPeer> m_peers;
    std::map<HostName, Instant> m_failedAt;
};

} // namespace ggv
