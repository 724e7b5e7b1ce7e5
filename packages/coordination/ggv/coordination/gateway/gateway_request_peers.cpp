#include <ggv/coordination/gateway/gateway_request.hpp>
#include <ggv/state/log/event_log.hpp>

namespace ggv {

namespace asio = boost::asio;

bool GatewayRequest::mayUsePeers()
{
    return m_origin == RequestOrigin::Caller
        && m_context.targetPath().state() != TargetPathState::Open
        && m_peers.hasNext(*m_route, monotonicNow(), m_context.random());
}

asio::awaitable<GatewayRequest::AttemptResult> GatewayRequest::attemptAtPeer()
{
    m_choice = {};
    if (m_origin == RequestOrigin::Peer
        || !m_peers.selectNext(*m_route, monotonicNow(), m_context.random()))
        co_return AttemptResult::NotConnected;
    const auto failure = co_await connect(m_peers.current()->endpoint);
    if (failure)
        co_return onPeerUnreachable(*failure);
    co_return co_await exchange();
}

GatewayRequest::AttemptResult GatewayRequest::onPeerUnreachable(const Error &error)
{
    logEvent(LogLevel::Warning, "forwarding-peer-unreachable",
             { { "request", m_requestId },
               { "peer", m_peers.lastPeer().text() },
               { "reason", error.what() } });
    m_peers.onFailed(monotonicNow());
    finishAttempt(TargetOutcome::Refused, false);
    return AttemptResult::NotConnected;
}

GatewayRequest::AttemptResult GatewayRequest::classifyPeerAnswer(const HttpAnswerHead &head)
{
    if (!m_peers.isRefusal(head, m_requestId, m_context.headers()))
        return AttemptResult::Answered;
    m_peers.onRefused(head, monotonicNow());
    return AttemptResult::NotExecuted;
}

} // namespace ggv
