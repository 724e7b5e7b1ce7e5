#include <ggv/coordination/gateway/peer_forwarding.hpp>

#include <ggv/coordination/gateway/completion_reasons.hpp>
#include <ggv/coordination/gateway/header_values.hpp>
#include <ggv/state/core/error.hpp>

#include <algorithm>
#include <array>

namespace ggv {

namespace {

//! Reasons of a peer that refuses other requests alike.
constexpr std::array UnusablePeerReasons {
    detail::PathLost,
    detail::HostLeaving,
    detail::NoConfiguration,
};

bool isUnusable(std::string_view reason)
{
    return std::find(UnusablePeerReasons.begin(), UnusablePeerReasons.end(), reason)
        != UnusablePeerReasons.end();
}

} // namespace

bool PeerForwarding::hasNext(const Route &route, Instant now, RandomSource &random) const
{
    return m_tried.size() < MaxPeers
        && m_peers.choose(route.allowedRegions, m_tried, now, random) != nullptr;
}

bool PeerForwarding::selectNext(const Route &route, Instant now, RandomSource &random)
{
    m_current.reset();
    m_targetsRefused = false;
    if (m_tried.size() >= MaxPeers)
        return false;
    const auto *peer = m_peers.choose(route.allowedRegions, m_tried, now, random);
    if (peer == nullptr)
        return false;
    m_current = *peer;
    m_lastPeer = peer->name;
    m_tried.insert(peer->name);
    return true;
}

void PeerForwarding::leave() noexcept
{
    m_current.reset();
    m_lastPeer = {};
}

void PeerForwarding::onFailed(Instant now) { m_peers.observeFailure(m_current->name, now); }

bool PeerForwarding::isRefusal(const HttpAnswerHead &head, std::string_view requestId,
                               const ForwardingHeaders &names) const
{
    const auto *id = findHeader(head.headers, names.requestId);
    if (!requestId.empty() && id != nullptr && *id != requestId)
        throw Error(ResultCode::ProtocolViolation,
                    "answer of a peer has the id of another request");
    const bool hasMarker = findHeader(head.headers, names.integrityMarker) != nullptr;
    // A target's answer has the request id; a peer's own has not.
    const bool isOwnAnswer = !requestId.empty() && id == nullptr;
    if (detail::promisesNotExecuted(head.status))
        return id == nullptr && !hasMarker;
    if (isOwnAnswer && head.status < detail::StatusBadRequest)
        throw Error(ResultCode::ProtocolViolation, "answer of a peer has no request id");
    if (head.status >= 200 && head.status < 300 && !hasMarker)
        throw Error(ResultCode::ProtocolViolation, "answer of a peer has no integrity marker");
    // A peer's own 4xx may be due to an older configuration; its 502 and 504 may have been
    // executed.
    return isOwnAnswer && head.status < detail::StatusServerError;
}

void PeerForwarding::onRefused(const HttpAnswerHead &head, Instant now)
{
    if (const auto *text = findHeader(head.headers, "Retry-After"))
        m_statedRetryAfter
            = std::max(m_statedRetryAfter, parseSeconds(*text).value_or(Duration(0)));
    const auto *reason = findHeader(head.headers, RefusalReasonHeader);
    if (reason == nullptr)
        return;
    m_targetsRefused = *reason == detail::NotExecuted;
    if (isUnusable(*reason))
        m_peers.observeFailure(m_current->name, now);
}

} // namespace ggv
