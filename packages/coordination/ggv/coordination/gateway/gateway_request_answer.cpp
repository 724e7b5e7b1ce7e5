#include <ggv/coordination/gateway/completion_reasons.hpp>
#include <ggv/coordination/gateway/discard_body.hpp>
#include <ggv/coordination/gateway/gateway_request.hpp>
#include <ggv/coordination/gateway/header_values.hpp>
#include <ggv/state/log/event_log.hpp>

#include <array>

namespace ggv {

namespace asio = boost::asio;
using namespace detail;

namespace {

//! Responses up to this size are read completely before they are forwarded, so that a truncated
//! one can be replaced by a retry.
constexpr std::size_t MaxBufferedAnswerBytes = 64UL * 1024;
constexpr const char *LeavingValue = "1";

} // namespace

// Applies what a response of the chosen instance says about the instance itself.
void GatewayRequest::recordTargetState(const HttpAnswerHead &head)
{
    const auto &names = m_context.headers();
    const Instant now = monotonicNow();
    if (const auto *text = findHeader(head.headers, names.targetLoad)) {
        if (const auto load = parseLoad(*text))
            m_context.targets().observeLoad(*m_choice.target, *load, now);
    }
    const auto *leaving = findHeader(head.headers, names.targetLeaving);
    if (leaving != nullptr && *leaving == LeavingValue)
        m_context.targets().observeLeaving(*m_choice.target, now);
    if (head.status == StatusUnavailable)
        recordRetryAfter(head);
    recordRateLimit(head);
}

// Rejections without a limit are no evidence of its end: a target may state it only in answers to
// requests that it executed.
void GatewayRequest::recordRateLimit(const HttpAnswerHead &head)
{
    const auto &names = m_context.headers();
    const auto *text = findHeader(head.headers, names.targetRateLimit);
    if (text == nullptr && findHeader(head.headers, names.notExecuted) != nullptr)
        return;
    const auto perSecond = text == nullptr ? std::nullopt : parseNonNegative(*text);
    if (text == nullptr || perSecond) {
        m_context.targets().observeRateLimit(*m_choice.target, perSecond, m_sentAt, monotonicNow());
        return;
    }
    logEvent(LogLevel::Warning, "rate-limit-unreadable",
             { { "request", m_requestId },
               { "target", m_choice.target->listing().instance },
               { "value", *text } });
}

void GatewayRequest::recordRetryAfter(const HttpAnswerHead &head)
{
    const auto *text = findHeader(head.headers, "Retry-After");
    if (text == nullptr)
        return;
    if (const auto retryAfter = parseSeconds(*text)) {
        m_context.targets().observeRetryAfter(*m_choice.target, *retryAfter, monotonicNow());
        return;
    }
    logEvent(LogLevel::Warning, "retry-after-unreadable",
             { { "request", m_requestId },
               { "target", m_choice.target->listing().instance },
               { "value", *text } });
}

// Checks that a response belongs to this request, and classifies it.
GatewayRequest::AttemptResult GatewayRequest::classifyAnswer(const HttpAnswerHead &head)
{
    const auto &names = m_context.headers();
    const auto *id = findHeader(head.headers, names.requestId);
    const bool isForeign = !m_requestId.empty() && id != nullptr && *id != m_requestId;
    if (isForeign)
        throw Error(ResultCode::ProtocolViolation, "response carries the id of another request");
    // It may belong to an earlier request on this connection.
    if (!m_requestId.empty() && id == nullptr && m_exchange->reused())
        throw Error(ResultCode::ProtocolViolation,
                    "response on a reused connection carries no request id");
    if (head.status == StatusMisdirected) {
        m_context.targets().observeReplaced(*m_choice.target, monotonicNow());
        return AttemptResult::NotExecuted;
    }
    recordTargetState(head);
    if (findHeader(head.headers, names.notExecuted) != nullptr)
        return AttemptResult::NotExecuted;
    if (!m_requestId.empty() && id == nullptr)
        throw Error(ResultCode::ProtocolViolation, "response carries no request id");
    const bool success = head.status >= 200 && head.status < 300;
    if (success && findHeader(head.headers, names.integrityMarker) == nullptr)
        throw Error(ResultCode::ProtocolViolation,
                    "successful response without the target's integrity marker");
    return head.status >= StatusServerError ? AttemptResult::Failed : AttemptResult::Answered;
}

asio::awaitable<GatewayRequest::AttemptResult> GatewayRequest::readAnswer()
{
    HttpAnswerHead head = co_await m_exchange->readHead(m_deadline);
    m_answerStarted = true;
    if (m_choice.target)
        m_context.observeTargetAnswer();
    const auto end = m_peers.current() ? classifyPeerAnswer(head) : classifyAnswer(head);
    if (end == AttemptResult::NotExecuted) {
        if (const auto failure = co_await discardBody(*m_exchange, head, m_deadline))
            logUnreadBody(*failure);
        finishAttempt(TargetOutcome::Overloaded, true);
        co_return end;
    }
    m_mayHaveExecuted = true;
    co_return co_await forwardAnswer(std::move(head));
}

void GatewayRequest::logUnreadBody(const Error &error) const
{
    logEvent(LogLevel::Info, "rejection-body-unread",
             { { "request", m_requestId },
               { "target", m_choice.target ? m_choice.target->listing().instance : "" },
               { "code", std::string(resultCodeName(error.code())) },
               { "reason", error.what() } });
}

asio::awaitable<GatewayRequest::AttemptResult> GatewayRequest::forwardAnswer(HttpAnswerHead head)
{
    Bytes buffered;
    bool isComplete = false;
    std::array<std::uint8_t, ChunkBytes> chunk;
    while (!isComplete && buffered.size() < MaxBufferedAnswerBytes) {
        const std::size_t n = co_await m_exchange->readBody(chunk, m_deadline);
        buffered.insert(buffered.end(), chunk.begin(),
                        chunk.begin() + static_cast<std::ptrdiff_t>(n));
        isComplete = n == 0;
    }
    if (isComplete) {
        if (!head.noBody)
            head.contentLength = buffered.size();
        // A peer has made the attempts that the route allows.
        const bool isFailure = head.status >= StatusServerError && !m_peers.current();
        finishAttempt(isFailure ? TargetOutcome::Reset : TargetOutcome::Success, true);
        m_bufferedAnswer.emplace(std::move(head), std::move(buffered));
        co_return isFailure ? AttemptResult::Failed : AttemptResult::Answered;
    }
    if (promisesNotExecuted(head.status))
        throw Error(ResultCode::ProtocolViolation,
                    "a long response states that the request was not executed");
    m_forwardedStatus = head.status;
    co_await m_caller.startAnswer(head);
    co_await m_caller.writeBody(buffered);
    while (const std::size_t n = co_await m_exchange->readBody(chunk, m_deadline))
        co_await m_caller.writeBody(std::span(chunk).first(n));
    finishAttempt(TargetOutcome::Success, true);
    co_await m_caller.finishAnswer();
    co_return AttemptResult::Answered;
}

} // namespace ggv
