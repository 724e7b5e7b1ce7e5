#include <ggv/coordination/entry/request_driver.hpp>

#include <ggv/coordination/entry/headers.hpp>
#include <ggv/coordination/entry/system_answer.hpp>
#include <ggv/coordination/observability/metrics.hpp>
#include <ggv/state/log/event_log.hpp>

#include <algorithm>
#include <array>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <xxhash.h>

namespace ggv {

namespace asio = boost::asio;

namespace {

//! Largest part of the body of an idempotent request that is buffered for retries.
constexpr std::size_t MaxRetryBufferBytes = 64UL * 1024;
//! Largest response body that is stored for replay.
constexpr std::size_t MaxStoredAnswerBytes = 1024UL * 1024;
constexpr std::size_t ChunkBytes = 16UL * 1024;
constexpr std::uint64_t BitsPerByte = 8;
constexpr std::uint64_t BitsPerKilobit = 1000;
constexpr Duration ConnectTimeout = std::chrono::milliseconds(500);
//! A reused connection counts as dead after silence of this many expected response times.
constexpr int SilenceTimeoutFactor = 8;
constexpr Duration MinSilenceTimeout = std::chrono::milliseconds(300);
//! Time after the deadline during which the result of a claimed request is still awaited.
constexpr Duration LateAnswerTimeout = std::chrono::seconds(30);

bool isNotExecutedAnswer(const HttpAnswerHead &head)
{
    const auto *value = findHeader(head.headers, NotExecutedHeader);
    return head.status == NotExecutedStatus && value != nullptr && *value == NotExecutedValue;
}

bool isSystemHeader(std::string_view name)
{
    constexpr std::array<std::string_view, 4> Names { ServiceHeader, TimeoutHeader, ResultHeader,
                                                      VerdictHeader };
    return std::any_of(Names.begin(), Names.end(),
                       [name](std::string_view it) { return equalsIgnoreCase(it, name); });
}

std::string outcomeName(TargetOutcome outcome)
{
    switch (outcome) {
    case TargetOutcome::Success:
        return "success";
    case TargetOutcome::Overloaded:
        return "overloaded";
    case TargetOutcome::Refused:
        return "refused";
    case TargetOutcome::TimedOut:
        return "timed out";
    case TargetOutcome::Reset:
        return "reset";
    }
    return "unlisted";
}

bool isTraceHeader(std::string_view name)
{
    return equalsIgnoreCase(name, TraceparentHeader) || equalsIgnoreCase(name, TracestateHeader);
}

// A request with several traceparent headers is treated as if it had none.
const std::string *traceparentOf(const HttpHeaders &headers)
{
    const auto count = std::count_if(headers.begin(), headers.end(), [](const HttpHeader &header) {
        return equalsIgnoreCase(header.name, TraceparentHeader);
    });
    return count == 1 ? findHeader(headers, TraceparentHeader) : nullptr;
}

TargetOutcome outcomeOf(RequestEventKind kind)
{
    switch (kind) {
    case RequestEventKind::ConnectFailed:
        return TargetOutcome::Refused;
    case RequestEventKind::TargetTimedOut:
    case RequestEventKind::DeadlinePassed:
        return TargetOutcome::TimedOut;
    case RequestEventKind::TargetRefused:
        return TargetOutcome::Overloaded;
    default:
        return TargetOutcome::Reset;
    }
}

} // namespace

RequestDriver::RequestDriver(EntryContext &context, EntryLoop &loop,
                             std::shared_ptr<const EntryView> view, ServerExchange &caller)
    : m_context(context)
    , m_loop(loop)
    , m_view(std::move(view))
    , m_caller(caller)
    , m_startedAt(monotonicNow())
    , m_trace(context.tracer.get(), traceparentOf(caller.head().headers))
    , m_plan(planRequest(*m_view, caller.head()))
    , m_outcome(m_startedAt + m_plan.remainingTime)
{
    if (m_plan.route != nullptr && m_plan.route->service->claimGroup) {
        m_claimGroup = m_plan.route->service->claimGroup->text();
        m_seenPosition = m_context.control->seenPosition(m_claimGroup);
    }
}

RequestActions RequestDriver::apply(RequestEvent event)
{
    event.attempt = m_outcome.attempt();
    return m_outcome.apply(event, { monotonicNow(), m_overload, m_loop.random()() });
}

RequestActions RequestDriver::apply(RequestEventKind kind) { return apply(RequestEvent { kind }); }

RequestActions RequestDriver::refuse(ResultCode code, std::string message)
{
    m_message = std::move(message);
    RequestEvent event { RequestEventKind::Refused };
    event.code = code;
    return apply(event);
}

RetryPermit RequestDriver::retryPermit()
{
    const bool canRetry = m_bodyComplete && m_loop.hasOtherTarget(*m_plan.route, m_tried);
    if (!canRetry)
        return RetryPermit::NoOtherTarget;
    return m_loop.tryRetry(*m_plan.route) ? RetryPermit::Allowed : RetryPermit::BudgetSpent;
}

RequestActions RequestDriver::finishAttempt(RequestEventKind kind)
{
    observe(outcomeOf(kind));
    RequestEvent event { kind };
    event.retry = retryPermit();
    return apply(event);
}

bool RequestDriver::isNonIdempotent() const noexcept
{
    return m_plan.kind == RequestKind::NonIdempotent;
}

asio::awaitable<void> RequestDriver::run()
{
    RequestActions actions = co_await receive();
    if (actions.requestClaim)
        actions = co_await claim();
    while (actions.chooseTarget)
        actions = co_await attempt();
    co_await completeRequest(actions);
}

asio::awaitable<RequestActions> RequestDriver::receive()
{
    RequestEvent parsed { RequestEventKind::HeadParsed };
    parsed.requestKind = m_plan.kind;
    (void)apply(parsed);
    if (m_plan.refusal != ResultCode::Ok)
        co_return refuse(m_plan.refusal, m_plan.message);
    m_loop.onRequest(*m_plan.route);
    std::optional<Error> failure;
    try {
        co_await bufferBody();
    } catch (const Error &error) {
        failure = error;
    }
    if (failure && failure->code() == ResultCode::CallerCancelled)
        co_return apply(RequestEventKind::CallerDisconnected);
    if (failure)
        co_return refuse(failure->code(), failure->what());
    if (m_bodyComplete)
        notifyOnDisconnect();
    co_return apply(RequestEventKind::Received);
}

// A non-idempotent request is buffered completely, because its fingerprint covers the body.
asio::awaitable<void> RequestDriver::bufferBody()
{
    const auto maxBytes = m_plan.route->service->maxBodyBytes;
    m_caller.setBodyLimit(maxBytes);
    if (m_caller.head().contentLength.value_or(0) > maxBytes)
        throw Error(ResultCode::BodyTooLarge, "request body is larger than the service allows");
    const std::size_t wanted = isNonIdempotent() ? SIZE_MAX : MaxRetryBufferBytes;
    std::array<std::uint8_t, ChunkBytes> chunk;
    while (m_body.size() < wanted) {
        const std::size_t n = co_await m_caller.readBody(chunk);
        if (n == 0) {
            m_bodyComplete = true;
            co_return;
        }
        m_body.insert(m_body.end(), chunk.begin(), chunk.begin() + static_cast<std::ptrdiff_t>(n));
    }
}

ClaimRequest RequestDriver::claimRequest() const
{
    const auto &head = m_caller.head();
    ClaimRequest request;
    request.key = m_key;
    request.keyTime = timestampOfKey(m_plan.key);
    request.seenPosition = m_seenPosition;
    std::uint64_t digest = XXH3_64bits(head.method.data(), head.method.size());
    digest = XXH3_64bits_withSeed(head.target.data(), head.target.size(), digest);
    request.fingerprint = XXH3_64bits_withSeed(m_body.data(), m_body.size(), digest);
    return request;
}

asio::awaitable<RequestActions> RequestDriver::claim()
{
    m_trace.beginHop("claim");
    m_key = digestKey(m_plan.route->service->name, m_plan.key);
    ClaimAnswer answer = co_await awaitClaim(m_loop.context(), *m_context.control, m_claimGroup,
                                             claimRequest(), m_startedAt + m_plan.remainingTime);
    m_trace.endHop();
    m_claim = answer.claim;
    if (!answer.outcome) {
        m_message = "the claim group did not answer";
        co_return apply(RequestEventKind::ClaimUnconfirmed);
    }
    RequestEvent event { RequestEventKind::ClaimDecided };
    event.decision = answer.outcome->decision;
    if (answer.outcome->answer) {
        m_storedAnswer = std::move(*answer.outcome->answer);
        event.answerStored = m_storedAnswer.complete;
    }
    co_return apply(event);
}

asio::awaitable<RequestActions> RequestDriver::attempt()
{
    endExchange(false);
    AdmissionRefusal refusal;
    m_trace.beginHop("admission");
    m_target
        = co_await m_loop.admit(m_view, *m_plan.route, m_tried, m_startedAt + m_plan.remainingTime,
                                m_callerDisconnected, refusal);
    m_trace.endHop();
    if (*m_callerDisconnected)
        co_return apply(RequestEventKind::CallerDisconnected);
    if (m_target.route == nullptr) {
        if (auto *service = metrics())
            service->onShed();
        m_overload = std::chrono::duration<double>(refusal.retryAfter).count();
        co_return refuse(refusal.code, "no target can take the request now");
    }
    const auto chosen = apply(RequestEventKind::TargetChosen);
    if (!chosen.connect)
        co_return chosen;
    m_tried.insert(m_target.route->state->number());
    m_sentAt = monotonicNow();
    m_attemptStartedAt = m_sentAt;
    m_trace.beginHop("attempt");
    m_trace.tagHop("target", m_target.route->target->name.text());
    if (auto *service = metrics(); service != nullptr && m_outcome.attempt() > 1)
        service->onRetry();
    m_headReceived = false;
    m_receivedBytes = 0;
    const Instant deadline
        = std::min(m_startedAt + m_plan.remainingTime, m_sentAt + ConnectTimeout);
    bool connected = false;
    try {
        m_exchange = co_await m_loop.pool().open(m_target.route->target->endpoint,
                                                 isNonIdempotent(), deadline);
        connected = true;
    } catch (const Error &error) {
        m_message = error.what();
    }
    if (!connected)
        co_return finishAttempt(RequestEventKind::ConnectFailed);
    if (*m_callerDisconnected)
        co_return apply(RequestEventKind::CallerDisconnected);
    const auto sending = apply(RequestEventKind::Connected);
    if (!sending.send)
        co_return sending;
    co_return co_await exchange();
}

asio::awaitable<RequestActions> RequestDriver::exchange()
{
    std::optional<Error> failure;
    try {
        co_await sendRequest();
        co_return co_await forwardAnswer();
    } catch (const Error &error) {
        failure = error;
    }
    co_return onExchangeFailed(*failure);
}

// A reused connection that the peer has already dropped never answers. The wait for a response on
// it is therefore bounded by a multiple of the expected response time of the target.
Instant RequestDriver::stepDeadline() const
{
    const Instant deadline = m_startedAt + m_plan.remainingTime;
    if (m_headReceived || !m_exchange->reused())
        return deadline;
    const Duration expected = m_target.route->state->serviceTime() + m_target.route->roundTrip;
    return std::min(deadline,
                    m_sentAt + std::max(SilenceTimeoutFactor * expected, MinSilenceTimeout));
}

HttpRequestHead RequestDriver::forwardedHead() const
{
    HttpRequestHead head = m_caller.head();
    const HopByHopHeaders hopByHop(head.headers);
    std::erase_if(head.headers, [&hopByHop](const HttpHeader &header) {
        return isSystemHeader(header.name) || hopByHop.contains(header.name)
            || equalsIgnoreCase(header.name, "Expect");
    });
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        m_startedAt + m_plan.remainingTime - monotonicNow());
    head.headers.push_back(
        { std::string(TimeoutHeader), std::to_string(std::max<std::int64_t>(left.count(), 1)) });
    addTraceHeaders(head.headers);
    head.headers.push_back({ "X-Forwarded-For", m_caller.peerAddress() });
    return head;
}

// Forwards the caller's tracestate only if the trace continues the caller's trace.
void RequestDriver::addTraceHeaders(HttpHeaders &headers) const
{
    const std::string traceparent = m_trace.traceparent();
    if (traceparent.empty())
        return;
    std::erase_if(headers, [this](const HttpHeader &header) {
        return isTraceHeader(header.name)
            && (!m_trace.continuesCallerTrace()
                || equalsIgnoreCase(header.name, TraceparentHeader));
    });
    headers.push_back({ std::string(TraceparentHeader), traceparent });
}

asio::awaitable<void> RequestDriver::sendRequest()
{
    const Instant deadline = m_startedAt + m_plan.remainingTime;
    const HttpRequestHead head = forwardedHead();
    co_await m_exchange->sendHead(head, deadline);
    if (!head.hasBody())
        co_return;
    co_await m_exchange->sendBody(m_body, deadline);
    if (!m_bodyComplete)
        co_await streamRemainingBody();
    co_await m_exchange->finishRequest(deadline);
}

asio::awaitable<void> RequestDriver::streamRemainingBody()
{
    std::array<std::uint8_t, ChunkBytes> chunk;
    while (const std::size_t n = co_await m_caller.readBody(chunk))
        co_await m_exchange->sendBody(std::span(chunk).first(n),
                                      m_startedAt + m_plan.remainingTime);
}

HttpAnswerHead RequestDriver::answerHead(const HttpAnswerHead &head) const
{
    HttpAnswerHead forwarded = head;
    const HopByHopHeaders hopByHop(head.headers);
    std::erase_if(forwarded.headers, [&hopByHop](const HttpHeader &header) {
        return isSystemHeader(header.name) || hopByHop.contains(header.name)
            || equalsIgnoreCase(header.name, TargetStateHeader);
    });
    forwarded.headers.push_back({ std::string(ResultHeader), "0 ok" });
    forwarded.headers.push_back(
        { std::string(VerdictHeader), std::string(verdictName(Verdict::Done)) });
    return forwarded;
}

asio::awaitable<RequestActions> RequestDriver::forwardAnswer()
{
    const HttpAnswerHead head = co_await m_exchange->readHead(stepDeadline());
    m_headReceived = true;
    if (const auto *state = findHeader(head.headers, TargetStateHeader)) {
        const auto stamp = static_cast<std::uint64_t>(m_sentAt.time_since_epoch().count());
        m_context.targetTable->observeLeaving(m_target.route->state->number(),
                                              EvidenceSource::Target, stamp, *state == "leaving");
    }
    if (isNotExecutedAnswer(head)) {
        m_message = "the target refused the request";
        co_return finishAttempt(RequestEventKind::TargetRefused);
    }
    (void)apply(RequestEventKind::AnswerHeadReceived);
    storeAnswer(head);
    if (!*m_callerDisconnected && apply(RequestEventKind::AnswerForwardingStarted).forwardHead)
        co_await m_caller.startAnswer(answerHead(head));
    std::array<std::uint8_t, ChunkBytes> chunk;
    while (const std::size_t n = co_await m_exchange->readBody(chunk, stepDeadline())) {
        const auto bytes = std::span(chunk).first(n);
        m_receivedBytes += n;
        storeAnswer(bytes);
        if (apply(RequestEventKind::BodyChunk).forwardBody)
            co_await m_caller.writeBody(bytes);
    }
    co_return onAnswerEnded();
}

RequestActions RequestDriver::onAnswerEnded()
{
    observe(m_storedAnswer.status >= 500 ? TargetOutcome::Overloaded : TargetOutcome::Success);
    const auto actions = apply(RequestEventKind::AnswerEnded);
    endExchange(true);
    return actions;
}

RequestActions RequestDriver::onExchangeFailed(const Error &error)
{
    m_message = error.what();
    const bool deadlinePassed = monotonicNow() >= m_startedAt + m_plan.remainingTime;
    switch (error.code()) {
    case ResultCode::PeerSilent:
        if (deadlinePassed) {
            observe(TargetOutcome::TimedOut);
            return apply(RequestEventKind::DeadlinePassed);
        }
        m_loop.pool().closeIdleConnections(m_target.route->target->endpoint);
        return finishAttempt(RequestEventKind::TargetTimedOut);
    case ResultCode::TargetAnswerTruncated:
        return finishAttempt(RequestEventKind::AnswerTruncated);
    case ResultCode::CallerCancelled:
        *m_callerDisconnected = true;
        return apply(RequestEventKind::CallerDisconnected);
    case ResultCode::TargetConnectionLost:
        return finishAttempt(RequestEventKind::ConnectionReset);
    default:
        // The body could not be read completely; the target received only a part of it.
        return apply(RequestEventKind::CallerDisconnected);
    }
}

void RequestDriver::observe(TargetOutcome outcome)
{
    if (m_target.route == nullptr)
        return;
    m_trace.tagHop("outcome", outcomeName(outcome));
    m_context.targetTable->observe(
        { m_target.route->state->number(), outcome, m_sentAt, monotonicNow() });
}

// Charges the link for the part of an exchange that exceeds the typical size, which admission has
// charged already. Of the request body, only the buffered part counts.
void RequestDriver::chargeLink()
{
    if (m_target.route == nullptr || !m_target.route->path)
        return;
    const auto &path = *m_target.route->path;
    const std::uint64_t sent = m_body.size() * BitsPerByte / BitsPerKilobit;
    const std::uint64_t received = m_receivedBytes * BitsPerByte / BitsPerKilobit;
    const Instant now = monotonicNow();
    if (sent > 1)
        path.outboundLink->charge(sent - 1, now);
    if (received > path.typicalKilobits)
        path.inboundLink->charge(received - path.typicalKilobits, now);
}

void RequestDriver::endExchange(bool reusable)
{
    chargeLink();
    if (m_attemptStartedAt)
        m_targetTime += monotonicNow() - *m_attemptStartedAt;
    m_attemptStartedAt.reset();
    m_trace.endHop();
    if (m_exchange && reusable)
        m_loop.pool().release(std::move(m_exchange));
    m_exchange.reset();
    m_target = {};
    m_loop.dispatchQueuedRequests();
}

ServiceMetrics *RequestDriver::metrics() const
{
    if (m_plan.route != nullptr)
        return m_plan.route->state->metrics.load(std::memory_order_relaxed);
    return m_context.metrics == nullptr ? nullptr : &m_context.metrics->service(ServiceName());
}

void RequestDriver::recordResult()
{
    const auto &result = m_outcome.result();
    if (!result)
        return;
    m_trace.endRequest(result->code, result->verdict);
    auto *service = metrics();
    if (service == nullptr)
        return;
    const Instant now = monotonicNow();
    const Duration current = m_attemptStartedAt ? now - *m_attemptStartedAt : Duration(0);
    service->onRequest(*result, now - m_startedAt, m_targetTime + current);
}

void RequestDriver::storeAnswer(const HttpAnswerHead &head)
{
    m_storedAnswer = {};
    m_storedAnswer.status = head.status;
    if (!isNonIdempotent())
        return;
    const HopByHopHeaders hopByHop(head.headers);
    for (const auto &[name, value] : head.headers) {
        if (!hopByHop.contains(name) && !equalsIgnoreCase(name, "Content-Length"))
            m_storedAnswer.headers.emplace_back(name, value);
    }
}

void RequestDriver::storeAnswer(std::span<const std::uint8_t> bytes)
{
    if (!isNonIdempotent() || !m_storedAnswer.complete)
        return;
    if (m_storedAnswer.body.size() + bytes.size() > MaxStoredAnswerBytes) {
        m_storedAnswer.complete = false;
        m_storedAnswer.body.clear();
        return;
    }
    m_storedAnswer.body.insert(m_storedAnswer.body.end(), bytes.begin(), bytes.end());
}

void RequestDriver::notifyOnDisconnect()
{
    m_caller.notifyOnDisconnect([weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->onCallerDisconnected();
    });
}

void RequestDriver::onCallerDisconnected()
{
    *m_callerDisconnected = true;
    // A claimed request is not cancelled: its result is stored and answers a resend.
    if (m_exchange && !isNonIdempotent())
        m_exchange->cancel();
}

void RequestDriver::settleClaim(const RequestActions &actions)
{
    if (actions.releaseClaim)
        m_context.control->releaseClaim(m_claimGroup, { m_key, m_claim });
    if (actions.completeClaim)
        m_context.control->completeClaim(m_claimGroup, { m_key, m_claim, m_storedAnswer });
}

asio::awaitable<void> RequestDriver::completeRequest(RequestActions actions)
{
    recordResult();
    if (!actions.readLateAnswer)
        m_trace.endHop();
    settleClaim(actions);
    if (actions.cancelTarget)
        endExchange(false);
    if (actions.readLateAnswer)
        asio::co_spawn(
            m_loop.context(), [self = shared_from_this()] { return self->readLateAnswer(); },
            asio::detached);
    if (actions.completeAnswer)
        co_await m_caller.finishAnswer();
    if (actions.replay)
        co_await replay();
    if (actions.answer)
        co_await m_caller.answer(systemAnswer(*actions.answer, m_message));
    if (actions.abortCallerConnection || *m_callerDisconnected)
        m_caller.abort();
}

asio::awaitable<void> RequestDriver::readLateAnswer()
{
    const Instant deadline = m_startedAt + m_plan.remainingTime + LateAnswerTimeout;
    try {
        if (!m_headReceived) {
            const HttpAnswerHead head = co_await m_exchange->readHead(deadline);
            if (isNotExecutedAnswer(head)) {
                settleClaim(apply(RequestEventKind::TargetRefused));
                endExchange(false);
                co_return;
            }
            storeAnswer(head);
        }
        std::array<std::uint8_t, ChunkBytes> chunk;
        while (const std::size_t n = co_await m_exchange->readBody(chunk, deadline))
            storeAnswer(std::span(chunk).first(n));
        settleClaim(apply(RequestEventKind::AnswerEnded));
    } catch (const Error &error) {
        logEvent(LogLevel::Info, "late-answer-lost", { { "reason", error.what() } });
    }
    endExchange(false);
}

asio::awaitable<void> RequestDriver::replay()
{
    HttpAnswerHead head;
    head.status = m_storedAnswer.status;
    for (const auto &[name, value] : m_storedAnswer.headers)
        head.headers.push_back({ name, value });
    head.contentLength = m_storedAnswer.body.size();
    head.noBody = head.status == 204 || head.status == 304;
    co_await m_caller.startAnswer(answerHead(head));
    co_await m_caller.writeBody(m_storedAnswer.body);
    co_await m_caller.finishAnswer();
}

} // namespace ggv
