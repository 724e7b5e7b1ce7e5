#include <ggv/coordination/gateway/gateway_request.hpp>

#include <ggv/coordination/gateway/completion_reasons.hpp>
#include <ggv/coordination/gateway/header_values.hpp>
#include <ggv/state/log/event_log.hpp>
#include <ggv/state/routing/target_affinity.hpp>

#include <algorithm>
#include <array>

namespace ggv {

namespace asio = boost::asio;
using namespace detail;

namespace {

constexpr Duration ConnectTimeout = std::chrono::milliseconds(400);
//! Time reserved for sending the response to the caller.
constexpr Duration DeadlineMargin = std::chrono::milliseconds(10);
//! A request waits for the first or the newest route table for at most its time-out divided by this
//! value, and never longer than MaxRoutesWait.
constexpr int RoutesWaitDivisor = 3;
constexpr Duration MaxRoutesWait = std::chrono::seconds(1);
//! Minimum remaining time for sending a request to a target or peer.
constexpr Duration MinAttemptTime = std::chrono::milliseconds(30);
constexpr std::uint32_t MaxConnectFailures = 3;
constexpr std::uint32_t MaxNotExecuted = 3;

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

} // namespace

GatewayRequest::GatewayRequest(GatewayContext &context, ServerExchange &caller,
                               RequestOrigin origin)
    : m_context(context)
    , m_caller(caller)
    , m_origin(origin)
    , m_peers(context.forwardingPeers())
    , m_startedAt(monotonicNow())
    , m_routes(context.routes())
    , m_bodyMemory(context.bodyMemory().reservation())
{
    if (const auto *id = findHeader(caller.head().headers, context.headers().requestId))
        m_requestId = *id;
}

bool GatewayRequest::idempotent() const { return m_route->kind == RouteKind::Idempotent; }

Duration GatewayRequest::remainingTime() const { return m_deadline - monotonicNow(); }

// True if the process may end before the request's deadline.
bool GatewayRequest::outlastsProcess() const { return m_deadline > m_context.shutdownDeadline(); }

bool GatewayRequest::hasTimeForAttempt() const { return remainingTime() >= MinAttemptTime; }

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
    const Instant until = m_startedAt + maxRoutesWait();
    co_await m_context.waitForRoutes(until);
    m_routes = m_context.routes();
    if (!m_routes) {
        co_await reject(StatusUnavailable, NoConfiguration);
        co_return;
    }
    co_await findRoute();
    if (m_route == nullptr) {
        co_await rejectUnknownRoute();
        co_return;
    }
    if (outlastsProcess()) {
        co_await reject(StatusUnavailable, HostLeaving);
        co_return;
    }
    if (!co_await receiveBody())
        co_return;
    co_await forward();
}

// Selects the route; while none matches, waits for a newer route table if one was accepted.
asio::awaitable<void> GatewayRequest::findRoute()
{
    const Instant until = m_startedAt + maxRoutesWait();
    while (!selectRoute() && !m_context.areRoutesNewest() && monotonicNow() < until) {
        co_await m_context.waitForNewerRoutes(m_routes, until);
        m_routes = m_context.routes();
    }
}

asio::awaitable<void> GatewayRequest::rejectUnknownRoute()
{
    if (!m_context.areRoutesNewest()) {
        co_await reject(StatusUnavailable, RoutesOutdated);
        co_return;
    }
    logCompletion(LogLevel::Warning, "request-refused", StatusNotFound, "no-route");
    HttpAnswer answer { StatusNotFound, {}, "no route\n" };
    co_await m_caller.answer(std::move(answer));
}

// Maximum time that the request waits for the first or the newest route table.
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
    if (remainingQuarantine()) {
        co_await reject(StatusUnavailable, RequestQuarantined);
        co_return;
    }
    // A request that goes to a peer is recorded there, once it is sent to a target.
    if (m_origin == RequestOrigin::Caller && !m_context.isCutOff())
        recordArrival();
    while (true) {
        const auto end = co_await attempt();
        if (!shouldRetry(end)) {
            co_await completeRequest(end);
            co_return;
        }
        logRetry(end);
    }
}

void GatewayRequest::recordArrival()
{
    if (!std::exchange(m_isArrivalRecorded, true))
        m_context.onRequest(m_query.service, m_startedAt);
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
    if (*m_callerDisconnected || !hasTimeForAttempt() || outlastsProcess() || remainingQuarantine())
        return false;
    switch (end) {
    case AttemptResult::NotConnected:
        return mayConnectElsewhere();
    case AttemptResult::NotExecuted:
        return mayResendUnexecuted();
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

bool GatewayRequest::mayConnectElsewhere()
{
    if (m_peers.current())
        return true;
    if (!m_avoidsTargets && mayUsePeers()) {
        m_avoidsTargets = true;
        return true;
    }
    // While the path is lost, one attempt is enough to notice that it is back.
    const bool mayRepeat = !m_context.targetPath().isLost();
    return m_choice.target != nullptr && ++m_connectFailures < MaxConnectFailures && mayRepeat;
}

// Not limited by maxAttempts, which counts only sends that may have been executed.
bool GatewayRequest::mayResendUnexecuted()
{
    ++m_notExecutedCount;
    admitRejectingTarget();
    if (m_peers.current() && !m_peers.targetsRefused())
        return true;
    return (m_peers.current() || m_choice.target) && m_notExecutedCount < MaxNotExecuted
        && m_context.tryRetry(m_query.service, monotonicNow());
}

asio::awaitable<GatewayRequest::AttemptResult> GatewayRequest::attempt()
{
    const Instant now = monotonicNow();
    if (*m_callerDisconnected)
        co_return AttemptResult::CallerDisconnected;
    if (!hasTimeForAttempt())
        co_return m_mayHaveExecuted ? AttemptResult::DeadlinePassed : AttemptResult::NotExecuted;
    // The shutdown may have begun while the body was received or another attempt was made.
    if (outlastsProcess())
        co_return AttemptResult::NotExecuted;
    if (m_avoidsTargets || m_context.isCutOff())
        co_return co_await attemptAtPeer();
    m_peers.leave();
    m_choice = m_context.targets().choose(m_query, remainingTime(), now, m_context.random());
    if (!m_choice.target)
        co_return AttemptResult::NotConnected;
    m_query.triedInstances.insert(m_choice.target->listing().instance);
    const Endpoint endpoint = m_choice.target->listing().endpoint;
    const auto failure = co_await connect(endpoint);
    if (failure)
        co_return onConnectFailed(*failure);
    if (!m_exchange->reused())
        m_context.observeTargetConnection();
    // The target may have said that it is leaving or busy while the connection was established, or
    // the shutdown may have begun.
    const bool mayReceive = m_context.targets().mayReceive(*m_choice.target, monotonicNow());
    if (!mayReceive || outlastsProcess()) {
        finishAttempt(std::nullopt, false);
        co_return AttemptResult::NotConnected;
    }
    recordArrival();
    const auto end = co_await exchange();
    if (end == AttemptResult::Answered)
        recordAnswered();
    co_return end;
}

// The target that rejected the request may be chosen once more if it has served the requested
// object recently: it may reject only some requests, and elsewhere the object has to be loaded. Its
// reported load tells whether it is full.
void GatewayRequest::admitRejectingTarget()
{
    const bool isFirstRejection = m_notExecutedCount == 1;
    if (!isFirstRejection || !m_choice.target || !m_choice.knowsObject)
        return;
    m_rejectingInstance = m_choice.target->listing().instance;
    m_query.triedInstances.erase(m_rejectingInstance);
}

// A target may send its rejection once more, which only the connection tells from the answer to a
// second request with the same id.
bool GatewayRequest::needsNewConnection() const
{
    return m_choice.target && m_choice.target->listing().instance == m_rejectingInstance;
}

// Opens a connection for the exchange. Returns the error if this failed.
asio::awaitable<std::optional<Error>> GatewayRequest::connect(const Endpoint &endpoint)
{
    m_sentAt = monotonicNow();
    const Instant connectBy = std::min(m_deadline, m_sentAt + ConnectTimeout);
    std::optional<Error> failure;
    try {
        m_exchange
            = co_await m_context.connections().open(endpoint, needsNewConnection(), connectBy);
    } catch (const Error &error) {
        failure = error;
    }
    co_return failure;
}

GatewayRequest::AttemptResult GatewayRequest::onConnectFailed(const Error &error)
{
    logEvent(LogLevel::Warning, "target-unreachable",
             { { "request", m_requestId },
               { "target", m_choice.target->listing().instance },
               { "reason", error.what() } });
    const Instant now = monotonicNow();
    const bool isSilent = now >= m_sentAt + ConnectTimeout;
    if (!isSilent && now >= m_deadline) {
        // The request's own time ended before the target could be judged.
        finishAttempt(std::nullopt, false);
        return AttemptResult::NotConnected;
    }
    m_context.observeUnreachable(*m_choice.target,
                                 isSilent ? PathFailure::Silent : PathFailure::Refused, m_sentAt);
    if (m_context.isTargetAtFault(m_sentAt))
        m_context.targets().observeRestart(*m_choice.target, now);
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
    if (m_choice.target)
        head.headers.push_back({ names.targetInstance, m_choice.target->listing().instance });
    if (m_caller.head().hasBody())
        head.contentLength = m_body.size();
    return head;
}

asio::awaitable<GatewayRequest::AttemptResult> GatewayRequest::exchange()
{
    ++m_sendCount;
    m_answerStarted = false;
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
               { "peer", m_peers.lastPeer().text() },
               { "code", std::string(resultCodeName(error.code())) },
               { "reason", error.what() },
               { "fingerprint", fingerprint().text() },
               { "reused", m_exchange != nullptr && m_exchange->reused() },
               { "after_ms", (monotonicNow() - m_sentAt).count() / 1000 } });
    if (error.code() == ResultCode::CallerCancelled || *m_callerDisconnected) {
        *m_callerDisconnected = true;
        finishAttempt(std::nullopt, false);
        return AttemptResult::CallerDisconnected;
    }
    const bool isUnanswered = m_choice.target && !m_answerStarted
        && (error.code() == ResultCode::PeerSilent
            || error.code() == ResultCode::TargetConnectionLost);
    if (isUnanswered)
        m_context.observeUnreachable(*m_choice.target, PathFailure::Silent, m_sentAt);
    if (isUnanswered && error.code() == ResultCode::TargetConnectionLost)
        m_context.observeLostRequest(*m_choice.target, fingerprint());
    if (error.code() == ResultCode::PeerSilent) {
        m_context.connections().closeIdleConnections(receiver());
        finishAttempt(TargetOutcome::TimedOut, false);
        return AttemptResult::DeadlinePassed;
    }
    if (m_peers.current())
        m_peers.onFailed(monotonicNow());
    finishAttempt(TargetOutcome::Reset, false);
    return AttemptResult::Lost;
}

RequestFingerprint GatewayRequest::fingerprint()
{
    if (!m_fingerprint) {
        const auto &head = m_caller.head();
        const auto *host = findHeader(head.headers, "Host");
        m_fingerprint = RequestFingerprint::of(head.method, host == nullptr ? "" : *host,
                                               head.target, m_body);
    }
    return *m_fingerprint;
}

// Returns the time until the request's quarantine ends; std::nullopt if it may be served.
std::optional<Duration> GatewayRequest::remainingQuarantine()
{
    auto &quarantine = m_context.quarantine();
    if (!quarantine.isActive())
        return std::nullopt;
    return quarantine.remaining(fingerprint(), monotonicNow());
}

void GatewayRequest::recordAnswered()
{
    if (m_context.quarantine().isActive())
        m_context.quarantine().observeAnswer(fingerprint(), monotonicNow());
}

const Endpoint &GatewayRequest::receiver() const
{
    return m_choice.target ? m_choice.target->listing().endpoint : m_peers.current()->endpoint;
}

void GatewayRequest::finishAttempt(std::optional<TargetOutcome> outcome, bool reusable)
{
    const auto name = outcome ? attemptOutcomeName(*outcome) : "cancelled";
    if (m_peers.current())
        m_context.metrics().recordForwarding(name);
    else
        m_context.metrics().recordAttempt(name, monotonicNow() - m_sentAt);
    const bool isEvidence = !outcome || !isFailure(*outcome) || m_context.isTargetAtFault(m_sentAt);
    if (m_choice.target)
        m_context.targets().finish(m_choice, isEvidence ? outcome : std::nullopt, m_sentAt,
                                   monotonicNow());
    if (m_exchange && reusable)
        m_context.connections().release(std::move(m_exchange));
    m_exchange.reset();
}

} // namespace ggv
