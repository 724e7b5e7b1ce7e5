#pragma once

#include <ggv/coordination/gateway/forwarding_headers.hpp>
#include <ggv/state/core/random_source.hpp>
#include <ggv/state/core/time.hpp>
#include <ggv/state/routing/forwarding_peers.hpp>
#include <ggv/state/routing/route_table.hpp>
#include <ggv/transport/http/http_types.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace ggv {

//! Who sent a request to this host.
enum class RequestOrigin : std::uint8_t {
    Caller,
    Peer, //!< A host that reaches no target; must not be forwarded to a peer again.
};

//! On a peer's 503 to a forwarded request: why it was refused.
inline constexpr const char *RefusalReasonHeader = "Refusal-Reason";

/**
 * @brief Forwarding of one request to peers: which one is next, and what its answer means.
 *
 * Makes no connections; GatewayRequest does.
 */
class PeerForwarding
{
public:
    //! Maximum number of peers that a request is sent to.
    static constexpr std::size_t MaxPeers = 3;

    //! @param peers Peers of this host; must outlive this object.
    explicit PeerForwarding(ForwardingPeers &peers) noexcept
        : m_peers(peers)
    { }

    //! @return True if selectNext() would find a peer.
    [[nodiscard]] bool hasNext(const Route &route, Instant now, RandomSource &random) const;
    //! Selects a peer that did not receive the request yet. @return False if there is none.
    [[nodiscard]] bool selectNext(const Route &route, Instant now, RandomSource &random);
    //! Records that the request goes to a target again.
    void leave() noexcept;

    //! @return The selected peer; empty if the request is at a target or no peer was left.
    [[nodiscard]] const std::optional<ForwardingPeer> &current() const noexcept
    {
        return m_current;
    }
    //! @return Name of the peer that the request was sent to last; empty if it went to a target.
    [[nodiscard]] const HostName &lastPeer() const noexcept { return m_lastPeer; }

    //! Records that the selected peer could not be reached or broke the connection.
    void onFailed(Instant now);
    /**
     * @brief Checks that an answer of the selected peer belongs to the request, and classifies it.
     * @return True if the peer refused the request, so that it was not executed and never will be.
     * @throws Error ProtocolViolation if the answer is another request's or lacks the marker.
     */
    [[nodiscard]] bool isRefusal(const HttpAnswerHead &head, std::string_view requestId,
                                 const ForwardingHeaders &names) const;
    //! Records a refusal by the selected peer.
    void onRefused(const HttpAnswerHead &head, Instant now);
    //! @return True if targets of the last peer received the request and refused it.
    [[nodiscard]] bool targetsRefused() const noexcept { return m_targetsRefused; }
    //! @return The longest Retry-After of all refusals.
    [[nodiscard]] Duration statedRetryAfter() const noexcept { return m_statedRetryAfter; }

private:
    ForwardingPeers &m_peers;
    std::set<HostName> m_tried;
    std::optional<ForwardingPeer> m_current;
    HostName m_lastPeer;
    Duration m_statedRetryAfter { 0 };
    bool m_targetsRefused = false;
};

} // namespace ggv
