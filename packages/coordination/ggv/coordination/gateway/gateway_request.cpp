#include <ggv/coordination/gateway/gateway_request.hpp>

#include <ggv/coordination/gateway/discard_body.hpp>
#include <ggv/coordination/gateway/header_values.hpp>
#include <ggv/state/log/event_log.hpp>
#include <ggv/state/routing/target_affinity.hpp>

#include <algorithm>
#include <array>

namespace ggv {

namespace asio = boost::asio;

namespace {

constexpr Duration ConnectTimeout = std::chrono::milliseconds(400);
//! Time reserved for sending the response to the caller.
constexpr Duration DeadlineMargin = std::chrono::milliseconds(10);
//! Minimum remaining time for sending a request to a target.
constexpr Duration MinTargetTime = std::chrono::milliseconds(30);
//! Responses up to this size are read completely before they are forwarded, so that a truncated
//! one can be replaced by a retry.
constexpr std::size_t MaxBufferedAnswerBytes = 64UL * 1024;
constexpr Duration ShutdownRetryAfter = std::chrono::milliseconds(5);
//! Retry delay for callers of a host that has no configuration yet.
constexpr Duration RetryAfterWithoutRoutes = std::chrono::milliseconds(400);
//! A request waits for the first route table for at most its time-out divided by this value, and
//! never longer than MaxRoutesWait.
constexpr int RoutesWaitDivisor = 3;
constexpr Duration MaxRoutesWait = std::chrono::seconds(1);
constexpr std::size_t ChunkBytes = 4UL * 1024;
constexpr std::uint32_t MaxConnectFailures = 3;
constexpr std::uint32_t MaxNotExecuted = 3;
constexpr std::uint16_t StatusBadRequest = 400;
constexpr std::uint16_t StatusNotFound = 404;
constexpr std::uint16_t StatusMisdirected = 421;
constexpr std::uint16_t StatusBadGateway = 502;
constexpr std::uint16_t StatusUnavailable = 503;
constexpr std::uint16_t StatusGatewayTimeout = 504;
constexpr const char *LeavingValue = "1";
// Values of the log field "reason".
constexpr const char *NoConfiguration = "no-configuration";
constexpr const char *HostLeaving = "host-leaving";
constexpr const char *TargetsFull = "targets-full";
constexpr const char *TargetsBackingOff = "targets-backing-off";
constexpr const char *BodyMemoryFull = "body-memory-full";
constexpr const char *NoTimeLeft = "no-time-left";
constexpr const char *NoTargetListed = "no-target-listed";
constexpr const char *TargetsUnreachable = "targets-unreachable";
constexpr const char *NotExecuted = "not-executed";
constexpr const char *TargetFailed = "target-failed";
constexpr const char *TargetAnswered = "target-answered";
constexpr const char *TargetAnsweredLate = "target-answered-late";

std::string_view attemptOutcomeName(TargetOutcome outcome) noexcept
{
    switch (outcome) {
    case TargetOutcome::Success:
        return "answered";
    case TargetOutcome::Refused:
        return "unreachable";
    case TargetOutcome::Reset:
        return "failed";
    case TargetOutcome::TimedOut:
        return "timed-out";
    case TargetOutcome::Overloaded:
        return "not-executed";
    }
    return "unlisted";
}

// Log event of a request that could not be read or whose response could not be written.
const char *callerErrorEvent(ResultCode code) noexcept
{
    const bool isRefused = code == ResultCode::BodyTooLarge || code == ResultCode::MalformedRequest
        || code == ResultCode::RequestTimedOut;
    return isRefused ? "request-refused" : "request-abandoned";
}

HttpAnswer textAnswer(std::uint16_t status, const char *text)
{
    HttpAnswer answer;
    answer.status = status;
    answer.body = text;
    return answer;
}

} // namespace

GatewayRequest::GatewayRequest(GatewayContext &context, ServerExchange &caller)
    : m_context(context)
    , m_caller(caller)
    , m_startedAt(monotonicNow())
    , m_routes(context.routes())
    , m_bodyMemory(context.bodyMemory().reservation())
{
    if (const auto *id = findHeader(caller.head().headers, context.headers().requestId))
        m_requestId = *id;
}

bool GatewayRequest::idempotent() const { return m_route->kind == RouteKind::Idempotent; }

Duration GatewayRequest::remainingTime() const { return m_deadline - monotonicNow(); }

asio::awaitable<void> GatewayRequest::run()
{
    try {
        co_await serve();
    } catch (const Error &error) {
        if (!m_isCompleted)
            logCompletion(LogLevel::Info, callerErrorEvent(error.code()), 0,
                          resultCodeName(error.code()));
        throw;
    }
}

asio::awaitable<void> GatewayRequest::serve()
{
    co_await m_context.waitForRoutes(m_startedAt + maxRoutesWait());
    m_routes = m_context.routes();
    if (!m_routes) {
        co_await reject(StatusUnavailable, NoConfiguration);
        co_return;
    }
    if (!selectRoute()) {
        logCompletion(LogLevel::Warning, "request-refused", StatusNotFound, "no-route");
        HttpAnswer answer = textAnswer(StatusNotFound, "no route\n");
        co_await m_caller.answer(std::move(answer));
        co_return;
    }
    if (m_deadline > m_context.shutdownDeadline()) {
        co_await reject(StatusUnavailable, HostLeaving);
        co_return;
    }
    if (!co_await receiveBody())
        co_return;
    co_await forward();
}

// Maximum time that the request waits for the first route table after a start of this process.
Duration GatewayRequest::maxRoutesWait() const
{
    const auto *text = findHeader(m_caller.head().headers, m_context.headers().deadline);
    const auto millis = text == nullptr ? std::nullopt : parseInteger(*text);
    if (!millis || *millis <= 0)
        return MaxRoutesWait;
    return std::min<Duration>(MaxRoutesWait,
                              std::chrono::milliseconds(*millis) / RoutesWaitDivisor);
}

bool GatewayRequest::selectRoute()
{
    const auto &head = m_caller.head();
    const auto *host = findHeader(head.headers, "Host");
    m_route = m_routes->find(host == nullptr ? "" : *host, head.target);
    if (m_route == nullptr)
        return false;
    Duration time = m_route->timeout;
    if (const auto *text = findHeader(head.headers, m_context.headers().deadline)) {
        if (const auto millis = parseInteger(*text); millis && *millis > 0)
            time = std::min<Duration>(time, std::chrono::milliseconds(*millis));
    }
    m_deadline = m_startedAt + time - DeadlineMargin;
    m_query.route = m_route;
    m_query.service = chooseService(*m_route, uniformFraction(m_context.random()));
    if (const auto object = findCookie(head.headers, m_context.headers().affinityCookie))
        m_query.object = affinityDigest(*object);
    return true;
}

// Buffers the body. Returns false if the memory for bodies is exhausted.
asio::awaitable<bool> GatewayRequest::bufferBody()
{
    const std::uint64_t limit = m_routes->rules().limits.maxBodyBytes;
    const std::uint64_t announced = m_caller.head().contentLength.value_or(0);
    if (announced > limit)
        throw Error(ResultCode::BodyTooLarge, "the body exceeds the configured size");
    if (!m_bodyMemory.tryGrowTo(announced))
        co_return false;
    m_caller.setBodyLimit(limit);
    m_body.reserve(static_cast<std::size_t>(announced));
    std::array<std::uint8_t, ChunkBytes> chunk;
    while (const std::size_t n = co_await m_caller.readBody(chunk)) {
        if (!m_bodyMemory.tryGrowTo(m_body.size() + n))
            co_return false;
        m_body.insert(m_body.end(), chunk.begin(), chunk.begin() + static_cast<std::ptrdiff_t>(n));
    }
    co_return true;
}

asio::awaitable<bool> GatewayRequest::receiveBody()
{
    if (m_caller.head().hasBody() && !co_await bufferBody()) {
        co_await reject(StatusUnavailable, BodyMemoryFull);
        co_return false;
    }
    m_caller.notifyOnDisconnect([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->onCallerDisconnected();
    });
    co_return true;
}

void GatewayRequest::onCallerDisconnected()
{
    *m_callerDisconnected = true;
    if (m_exchange)
        m_exchange->cancel();
}

asio::awaitable<void> GatewayRequest::forward()
{
    m_context.onRequest(m_query.service, m_startedAt);
    while (true) {
        const auto end = co_await attempt();
        if (!shouldRetry(end)) {
            co_await completeRequest(end);
            co_return;
        }
        logRetry(end);
    }
}

void GatewayRequest::logRetry(AttemptResult end) const
{
    logEvent(LogLevel::Info, "request-retried",
             { { "request", m_requestId },
               { "service", m_query.service.text() },
               { "sends", m_sendCount },
               { "end", static_cast<int>(end) } });
}

bool GatewayRequest::shouldRetry(AttemptResult end)
{
    // A second answer would reach the caller as a part of the first one's body.
    if (m_caller.answerStarted())
        return false;
    if (*m_callerDisconnected || remainingTime() < MinTargetTime)
        return false;
    switch (end) {
    case AttemptResult::NotConnected:
        return m_choice.target != nullptr && ++m_connectFailures < MaxConnectFailures;
    case AttemptResult::NotExecuted:
        // Not limited by maxAttempts, which counts only sends that may have been executed.
        return m_choice.target != nullptr && ++m_notExecutedCount < MaxNotExecuted
            && m_context.tryRetry(m_query.service, monotonicNow());
    case AttemptResult::Failed:
    case AttemptResult::Lost:
        if (!idempotent())
            return false;
        break;
    default:
        return false;
    }
    return m_sendCount - m_notExecutedCount < m_route->maxAttempts
        && m_context.tryRetry(m_query.service, monotonicNow());
}

asio::awaitable<GatewayRequest::AttemptResult> GatewayRequest::attempt()
{
    const Instant now = monotonicNow();
    if (*m_callerDisconnected)
        co_return AttemptResult::CallerDisconnected;
    if (remainingTime() < MinTargetTime)
        co_return m_mayHaveExecuted ? AttemptResult::DeadlinePassed : AttemptResult::NotExecuted;
    m_choice = m_context.targets().choose(m_query, remainingTime(), now, m_context.random());
    if (!m_choice.target)
        co_return AttemptResult::NotConnected;
    m_query.triedInstances.insert(m_choice.target->listing().instance);
    m_sentAt = now;
    const Instant connectBy = std::min(m_deadline, now + ConnectTimeout);
    std::optional<Error> failure;
    try {
        m_exchange = co_await m_context.connections().open(m_choice.target->listing().endpoint,
                                                           false, connectBy);
    } catch (const Error &error) {
        failure = error;
    }
    if (failure) {
        co_return onConnectFailed(*failure);
    }
    // The target may have said that it is leaving or busy while the connection was established.
    if (!m_context.targets().mayReceive(*m_choice.target, monotonicNow())) {
        finishAttempt(std::nullopt, false);
        co_return AttemptResult::NotConnected;
    }
    co_return co_await exchange();
}

GatewayRequest::AttemptResult GatewayRequest::onConnectFailed(const Error &error)
{
    logEvent(LogLevel::Warning, "target-unreachable",
             { { "request", m_requestId },
               { "target", m_choice.target->listing().instance },
               { "reason", error.what() } });
    m_context.targets().observeRestart(*m_choice.target, monotonicNow());
    finishAttempt(TargetOutcome::Refused, false);
    return AttemptResult::NotConnected;
}

HttpRequestHead GatewayRequest::forwardedHead() const
{
    const auto &names = m_context.headers();
    HttpRequestHead head;
    head.method = m_caller.head().method;
    head.target = m_caller.head().target;
    for (const auto &header : m_caller.head().headers) {
        const bool isReplaced = equalsIgnoreCase(header.name, names.deadline)
            || equalsIgnoreCase(header.name, names.targetInstance)
            || equalsIgnoreCase(header.name, "Expect");
        if (!isReplaced)
            head.headers.push_back(header);
    }
    const auto millis
        = std::chrono::duration_cast<std::chrono::milliseconds>(remainingTime()).count();
    head.headers.push_back({ names.deadline, std::to_string(std::max<std::int64_t>(millis, 1)) });
    head.headers.push_back({ names.targetInstance, m_choice.target->listing().instance });
    if (m_caller.head().hasBody())
        head.contentLength = m_body.size();
    return head;
}

asio::awaitable<GatewayRequest::AttemptResult> GatewayRequest::exchange()
{
    ++m_sendCount;
    std::optional<Error> failure;
    try {
        // The caller may have disconnected while the connection was being established.
        if (*m_callerDisconnected)
            throw Error(ResultCode::CallerCancelled, "the caller closed its connection");
        const HttpRequestHead head = forwardedHead();
        co_await m_exchange->sendHead(head, m_deadline);
        if (!m_body.empty())
            co_await m_exchange->sendBody(m_body, m_deadline);
        co_await m_exchange->finishRequest(m_deadline);
        co_return co_await readAnswer();
    } catch (const Error &error) {
        failure = error;
    }
    co_return onAttemptFailed(*failure);
}

GatewayRequest::AttemptResult GatewayRequest::onAttemptFailed(const Error &error)
{
    m_mayHaveExecuted = m_mayHaveExecuted || m_exchange == nullptr || m_exchange->requestStarted();
    logEvent(LogLevel::Warning, "attempt-failed",
             { { "request", m_requestId },
               { "target", m_choice.target ? m_choice.target->listing().instance : "" },
               { "code", std::string(resultCodeName(error.code())) },
               { "reason", error.what() },
               { "reused", m_exchange != nullptr && m_exchange->reused() },
               { "after_ms", (monotonicNow() - m_sentAt).count() / 1000 } });
    if (error.code() == ResultCode::CallerCancelled || *m_callerDisconnected) {
        *m_callerDisconnected = true;
        finishAttempt(std::nullopt, false);
        return AttemptResult::CallerDisconnected;
    }
    if (error.code() == ResultCode::PeerSilent) {
        m_context.connections().closeIdleConnections(m_choice.target->listing().endpoint);
        finishAttempt(TargetOutcome::TimedOut, false);
        return AttemptResult::DeadlinePassed;
    }
    finishAttempt(TargetOutcome::Reset, false);
    return AttemptResult::Lost;
}

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
    return head.status >= 500 ? AttemptResult::Failed : AttemptResult::Answered;
}

asio::awaitable<GatewayRequest::AttemptResult> GatewayRequest::readAnswer()
{
    HttpAnswerHead head = co_await m_exchange->readHead(m_deadline);
    const auto end = classifyAnswer(head);
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
        const bool isFailure = head.status >= 500;
        finishAttempt(isFailure ? TargetOutcome::Reset : TargetOutcome::Success, true);
        m_bufferedAnswer.emplace(std::move(head), std::move(buffered));
        co_return isFailure ? AttemptResult::Failed : AttemptResult::Answered;
    }
    m_forwardedStatus = head.status;
    co_await m_caller.startAnswer(head);
    co_await m_caller.writeBody(buffered);
    while (const std::size_t n = co_await m_exchange->readBody(chunk, m_deadline))
        co_await m_caller.writeBody(std::span(chunk).first(n));
    finishAttempt(TargetOutcome::Success, true);
    co_await m_caller.finishAnswer();
    co_return AttemptResult::Answered;
}

void GatewayRequest::finishAttempt(std::optional<TargetOutcome> outcome, bool reusable)
{
    m_context.metrics().recordAttempt(outcome ? attemptOutcomeName(*outcome) : "cancelled",
                                      monotonicNow() - m_sentAt);
    if (m_choice.target)
        m_context.targets().finish(m_choice, outcome, m_sentAt, monotonicNow());
    if (m_exchange && reusable)
        m_context.connections().release(std::move(m_exchange));
    m_exchange.reset();
}

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
        // These statuses would tell the caller that the request was not executed, although this
        // target executed it; they are replaced below.
        const bool promisesNotExecuted
            = status == StatusUnavailable || status == 429 || status == 408;
        if (!promisesNotExecuted) {
            logAnswered(status);
            co_await sendBufferedAnswer();
            co_return;
        }
    }
    if (!m_mayHaveExecuted) {
        co_await reject(StatusUnavailable, rejectionReason());
        co_return;
    }
    const bool late = end == AttemptResult::DeadlinePassed;
    const std::uint16_t status = late ? StatusGatewayTimeout : StatusBadGateway;
    logCompletion(LogLevel::Warning, "request-failed", status,
                  late ? "deadline-passed" : "target-lost");
    HttpAnswer answer = textAnswer(status, "the request may have run\n");
    co_await m_caller.answer(std::move(answer));
}

const char *GatewayRequest::rejectionReason() const
{
    if (m_notExecutedCount > 0)
        return NotExecuted;
    if (m_connectFailures > 0)
        return TargetsUnreachable;
    if (remainingTime() < MinTargetTime)
        return NoTimeLeft;
    switch (m_choice.reason) {
    case NoTargetReason::AllFull:
        return TargetsFull;
    case NoTargetReason::AllBackingOff:
        return TargetsBackingOff;
    case NoTargetReason::NoneListed:
        break;
    }
    return NoTargetListed;
}

RetryDelay GatewayRequest::retryDelay(const char *reason) const
{
    // A host that shuts down asks for an early retry: another entry host can serve the request.
    if (reason == HostLeaving)
        return { ShutdownRetryAfter, ShutdownRetryAfter };
    if (m_route == nullptr)
        return { RetryAfterWithoutRoutes, RetryAfterWithoutRoutes };
    return m_context.targets().retryDelay(m_query, monotonicNow());
}

asio::awaitable<void> GatewayRequest::reject(std::uint16_t status, const char *reason)
{
    logCompletion(LogLevel::Warning, "request-refused", status, reason);
    const RetryDelay delay = retryDelay(reason);
    const double jitter
        = uniformFraction(m_context.random()) * static_cast<double>(delay.spread.count());
    const Duration wait = delay.earliest + Duration(static_cast<Duration::rep>(jitter));
    HttpAnswer answer = textAnswer(status, "the request has not run\n");
    answer.headers.push_back(HttpHeader { "Retry-After", formatSeconds(wait) });
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
               { "load", m_choice.load },
               { "rank", m_choice.rank },
               { "knows_object", m_choice.knowsObject },
               { "expected_wait_ms", m_choice.expectedWait.count() / 1000 },
               { "sends", m_sendCount },
               { "may_have_run", m_mayHaveExecuted },
               { "version", m_routes ? m_routes->version() : 0 },
               { "state_age_ms", m_context.stateAge().count() / 1000 },
               { "list_age_ms", m_context.listAge().count() / 1000 },
               { "lines_left_out", m_context.logRateLimiter().takeSuppressedLines() },
               { "elapsed_ms", (monotonicNow() - m_startedAt).count() / 1000 } });
}

} // namespace ggv
