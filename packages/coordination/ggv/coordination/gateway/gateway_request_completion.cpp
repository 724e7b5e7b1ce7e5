#include <ggv/coordination/gateway/completion_reasons.hpp>
#include <ggv/coordination/gateway/gateway_request.hpp>
#include <ggv/coordination/gateway/header_values.hpp>
#include <ggv/state/log/event_log.hpp>

#include <algorithm>

namespace ggv {

namespace asio = boost::asio;
using namespace detail;

namespace {

constexpr Duration ShutdownRetryAfter = std::chrono::milliseconds(5);
//! Retry delay for callers of a host that reaches neither targets nor peers.
constexpr Duration PathLostRetryAfter = std::chrono::milliseconds(20);
//! Added to the time until the end of a request's quarantine.
constexpr Duration QuarantineRetrySpread = std::chrono::seconds(1);
//! Retry delay for callers if targets cannot be reached and no other host is known to reach them.
constexpr Duration RetryAfterUnreachable = std::chrono::milliseconds(400);
//! Retry delay for callers of a host that has no configuration yet or an outdated one.
constexpr Duration RetryAfterWithoutRoutes = std::chrono::milliseconds(400);

} // namespace

asio::awaitable<void> GatewayRequest::sendBufferedAnswer()
{
    const auto &[head, body] = *m_bufferedAnswer;
    co_await m_caller.startAnswer(head);
    if (!body.empty())
        co_await m_caller.writeBody(body);
    co_await m_caller.finishAnswer();
}

asio::awaitable<void> GatewayRequest::completeRequest(AttemptResult end)
{
    if (end == AttemptResult::CallerDisconnected || *m_callerDisconnected) {
        logCompletion(LogLevel::Info, "request-abandoned", 0, "caller-gone");
        m_caller.abort();
        co_return;
    }
    if (m_caller.answerStarted()) {
        if (end == AttemptResult::Answered) {
            logAnswered(m_forwardedStatus);
        } else {
            logCompletion(LogLevel::Warning, "request-failed", 0, "answer-cut");
            m_caller.abort();
        }
        co_return;
    }
    if (m_bufferedAnswer) {
        const auto status = m_bufferedAnswer->first.status;
        // This target executed the request; a status that denies it is replaced below.
        if (!promisesNotExecuted(status)) {
            logAnswered(status);
            co_await sendBufferedAnswer();
            co_return;
        }
    }
    if (!m_mayHaveExecuted) {
        const char *reason = rejectionReason();
        co_await reject(StatusUnavailable, reason);
        co_return;
    }
    const bool late = end == AttemptResult::DeadlinePassed;
    const std::uint16_t status = late ? StatusGatewayTimeout : StatusBadGateway;
    logCompletion(LogLevel::Warning, "request-failed", status,
                  late ? DeadlinePassed : lossReason());
    HttpAnswer answer { status, {}, "the request may have run\n" };
    co_await m_caller.answer(std::move(answer));
}

const char *GatewayRequest::lossReason() const
{
    return m_peers.lastPeer().empty() ? TargetLost : PeerLost;
}

const char *GatewayRequest::rejectionReason() const
{
    if (outlastsProcess())
        return HostLeaving;
    if (!m_peers.lastPeer().empty())
        return PeersUnavailable;
    if (m_notExecutedCount > 0)
        return NotExecuted;
    if (m_context.targetPath().isLost())
        return PathLost;
    if (m_connectFailures > 0)
        return TargetsUnreachable;
    if (!hasTimeForAttempt())
        return NoTimeLeft;
    switch (m_choice.reason) {
    case NoTargetReason::AllFull:
        return TargetsFull;
    case NoTargetReason::AllBackingOff:
        return TargetsBackingOff;
    case NoTargetReason::AllRateLimited:
        return TargetsRateLimited;
    case NoTargetReason::NoneListed:
        break;
    }
    return NoTargetListed;
}

RetryDelay GatewayRequest::retryDelay(std::string_view reason)
{
    if (reason == RequestQuarantined)
        return { remainingQuarantine().value_or(Duration(0)), QuarantineRetrySpread };
    // Another entry host can serve the request.
    if (reason == HostLeaving)
        return { ShutdownRetryAfter, ShutdownRetryAfter };
    if (reason == PathLost && m_context.isCutOff())
        return { PathLostRetryAfter, PathLostRetryAfter };
    if (reason == PeersUnavailable)
        return { std::max(PathLostRetryAfter, m_peers.statedRetryAfter()), PathLostRetryAfter };
    if (m_route == nullptr)
        return { RetryAfterWithoutRoutes, RetryAfterWithoutRoutes };
    RetryDelay delay = m_context.targets().retryDelay(m_query, monotonicNow(), m_context.random());
    if (reason == PathLost || reason == TargetsUnreachable) {
        delay.earliest = std::max(delay.earliest, RetryAfterUnreachable);
        delay.spread = std::max(delay.spread, RetryAfterUnreachable);
    }
    return delay;
}

asio::awaitable<void> GatewayRequest::reject(std::uint16_t status, const char *reason)
{
    logCompletion(LogLevel::Warning, "request-refused", status, reason);
    const RetryDelay delay = retryDelay(reason);
    const double jitter
        = uniformFraction(m_context.random()) * static_cast<double>(delay.spread.count());
    const Duration wait = delay.earliest + Duration(static_cast<Duration::rep>(jitter));
    HttpAnswer answer { status, {}, "the request has not run\n" };
    answer.headers.push_back(HttpHeader { "Retry-After", formatSeconds(wait) });
    if (m_origin == RequestOrigin::Peer)
        answer.headers.push_back(HttpHeader { RefusalReasonHeader, reason });
    co_await m_caller.answer(std::move(answer));
}

void GatewayRequest::logAnswered(std::uint16_t status)
{
    const Instant now = monotonicNow();
    if (status >= StatusBadRequest)
        logCompletion(LogLevel::Warning, "request-answered", status, TargetFailed);
    else if (m_context.logRateLimiter().tryAcquire(now))
        logCompletion(LogLevel::Info, "request-answered", status, successReason(now));
    else
        recordCompletion("request-answered", successReason(now));
}

const char *GatewayRequest::successReason(Instant now) const
{
    return now - m_startedAt > m_route->latencyObjective ? TargetAnsweredLate : TargetAnswered;
}

void GatewayRequest::recordCompletion(const char *event, std::string_view reason)
{
    m_isCompleted = true;
    m_context.metrics().recordRequest(event, reason, monotonicNow() - m_startedAt);
}

void GatewayRequest::logCompletion(LogLevel level, const char *event, std::uint16_t status,
                                   std::string_view reason)
{
    recordCompletion(event, reason);
    const auto *target = m_choice.target.get();
    logEvent(level, event,
             { { "request", m_requestId },
               { "status", status },
               { "reason", reason },
               { "route", m_route == nullptr ? "" : m_route->name },
               { "service", m_query.service.text() },
               { "target", target == nullptr ? "" : target->listing().instance },
               { "peer", m_peers.lastPeer().text() },
               { "load", m_choice.load },
               { "rank", m_choice.rank },
               { "knows_object", m_choice.knowsObject },
               { "expected_wait_ms", m_choice.expectedWait.count() / 1000 },
               { "sends", m_sendCount },
               { "may_have_run", m_mayHaveExecuted },
               { "version", m_routes ? m_routes->version() : 0 },
               { "newest_version", m_context.newestVersion() },
               { "state_age_ms", m_context.stateAge().count() / 1000 },
               { "list_age_ms", m_context.listAge().count() / 1000 },
               { "lines_left_out", m_context.logRateLimiter().takeSuppressedLines() },
               { "elapsed_ms", (monotonicNow() - m_startedAt).count() / 1000 } });
}

} // namespace ggv
