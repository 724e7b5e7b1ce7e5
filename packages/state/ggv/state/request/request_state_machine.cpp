#include <ggv/state/request/request_state_machine.hpp>

#include <ggv/state/request/http_status.hpp>
#include <ggv/state/request/retry_after.hpp>

#include <array>
#include <cstddef>

namespace ggv {

//! Transitions of RequestStateMachine, one function per event.
struct RequestTransitions
{
    using Claim = RequestStateMachine::Claim;
    using Handler = void (RequestTransitions::*)();

    struct Row
    {
        Handler handler;
        bool requiresCurrentAttempt; // Events of earlier attempts are ignored.
    };

    RequestStateMachine &request;
    const RequestEvent &event;
    const RequestEventContext &context;
    RequestActions actions;

    [[nodiscard]] static const Row &rowOf(RequestEventKind kind) noexcept;

    void dispatch();
    void headParsed();
    void received();
    void refused();
    void claimDecided();
    void claimUnconfirmed();
    void targetChosen();
    void connectFailed();
    void connected();
    void targetRefused();
    void answerHeadReceived();
    void answerForwardingStarted();
    void bodyChunk();
    void answerEnded();
    void connectionLost();
    void deadlinePassed();
    void callerDisconnected();
    void hostStopping();

    [[nodiscard]] bool hasEnded() const noexcept { return request.m_phase == RequestPhase::Ended; }
    [[nodiscard]] bool isBeforeSending() const noexcept
    {
        return request.m_phase < RequestPhase::Sent;
    }
    [[nodiscard]] bool isAtTarget() const noexcept
    {
        return request.m_phase == RequestPhase::Sent || request.m_phase == RequestPhase::Answering;
    }
    [[nodiscard]] bool needsClaim() const noexcept
    {
        return request.m_kind == RequestKind::NonIdempotent;
    }
    [[nodiscard]] Verdict verdictOf(ResultCode code) const noexcept;
    [[nodiscard]] bool mayRetry() const noexcept;
    void retryOrFinish(ResultCode code);
    void releaseOrAbandonClaim(Verdict verdict);
    void cancelOrReadLateAnswer();
    void finish(ResultCode code, Verdict verdict);
    void finish(ResultCode code) { finish(code, verdictOf(code)); }
};

namespace {

using Row = RequestTransitions::Row;

// Indexed by RequestEventKind.
constexpr std::array Rows {
    Row { &RequestTransitions::headParsed, false },
    Row { &RequestTransitions::received, false },
    Row { &RequestTransitions::refused, false },
    Row { &RequestTransitions::claimDecided, false },
    Row { &RequestTransitions::claimUnconfirmed, false },
    Row { &RequestTransitions::targetChosen, false },
    Row { &RequestTransitions::connectFailed, true },
    Row { &RequestTransitions::connected, true },
    Row { &RequestTransitions::targetRefused, true },
    Row { &RequestTransitions::answerHeadReceived, true },
    Row { &RequestTransitions::answerForwardingStarted, true },
    Row { &RequestTransitions::bodyChunk, true },
    Row { &RequestTransitions::answerEnded, true },
    Row { &RequestTransitions::connectionLost, true }, // AnswerTruncated
    Row { &RequestTransitions::connectionLost, true }, // ConnectionReset
    Row { &RequestTransitions::connectionLost, true }, // TargetTimedOut
    Row { &RequestTransitions::deadlinePassed, false },
    Row { &RequestTransitions::callerDisconnected, false },
    Row { &RequestTransitions::hostStopping, false },
};

static_assert(Rows.size() == static_cast<std::size_t>(RequestEventKind::HostStopping) + 1);

// Returns true for rejections of requests without a usable key; these cannot have been executed
// through another entry host.
bool hasNoKey(ResultCode code) noexcept
{
    return code == ResultCode::MalformedRequest || code == ResultCode::HeaderTooLarge
        || code == ResultCode::IdempotencyKeyMissing || code == ResultCode::IdempotencyKeyInvalid;
}

// Result for a request whose claim was not granted.
struct ClaimRefusal
{
    ResultCode code;
    Verdict verdict;
};

ClaimRefusal refusalOf(ClaimDecision decision, bool answerStored) noexcept
{
    switch (decision) {
    case ClaimDecision::Finished:
        return { answerStored ? ResultCode::Ok : ResultCode::ResultNotKept, Verdict::Done };
    case ClaimDecision::FingerprintMismatch:
        return { ResultCode::IdempotencyKeyReused, Verdict::Unknown };
    case ClaimDecision::Expired:
        return { ResultCode::IdempotencyKeyExpired, Verdict::Unknown };
    case ClaimDecision::Full:
        return { ResultCode::ClaimStoreFull, Verdict::Unknown };
    case ClaimDecision::Stale:
        return { ResultCode::ClaimUnavailable, Verdict::Unknown };
    case ClaimDecision::Granted:
    case ClaimDecision::Unresolved:
        break;
    }
    return { ResultCode::ClaimUnresolved, Verdict::Unknown };
}

} // namespace

const Row &RequestTransitions::rowOf(RequestEventKind kind) noexcept
{
    return Rows.at(static_cast<std::size_t>(kind));
}

void RequestTransitions::dispatch()
{
    const auto &row = rowOf(event.kind);
    if (row.requiresCurrentAttempt && event.attempt != request.m_attempt)
        return;
    // After a suspension of the process, other events may be handled before the deadline timer.
    if (!hasEnded() && isBeforeSending() && context.now >= request.m_deadline)
        deadlinePassed();
    (this->*row.handler)();
}

// Returns NotRun only if this holds for the idempotency key on all entry hosts.
Verdict RequestTransitions::verdictOf(ResultCode code) const noexcept
{
    if (request.m_mayHaveRun || request.m_attemptSent)
        return Verdict::Unknown;
    if (hasNoKey(code))
        return Verdict::NotRun;
    if (!request.m_headParsed)
        return Verdict::Unknown;
    if (needsClaim() && request.m_claim != Claim::Granted)
        return Verdict::Unknown;
    return Verdict::NotRun;
}

void RequestTransitions::headParsed()
{
    if (request.m_phase != RequestPhase::Reading)
        return;
    request.m_kind = event.requestKind;
    request.m_headParsed = true;
}

void RequestTransitions::received()
{
    if (request.m_phase != RequestPhase::Reading || !request.m_headParsed)
        return;
    if (needsClaim()) {
        request.m_phase = RequestPhase::Claiming;
        request.m_claim = Claim::Requested;
        actions.requestClaim = true;
        return;
    }
    request.m_phase = RequestPhase::Queued;
    actions.chooseTarget = true;
}

void RequestTransitions::refused()
{
    if (hasEnded() || !isBeforeSending())
        return;
    actions.cancelTarget = request.m_phase == RequestPhase::Connecting;
    finish(event.code);
}

void RequestTransitions::claimDecided()
{
    const bool granted = event.decision == ClaimDecision::Granted;
    if (hasEnded()) {
        actions.releaseClaim = granted && request.m_claim == Claim::Requested;
        return;
    }
    if (request.m_phase != RequestPhase::Claiming)
        return;
    if (granted) {
        request.m_claim = Claim::Granted;
        request.m_phase = RequestPhase::Queued;
        actions.chooseTarget = true;
        return;
    }
    request.m_claim = Claim::Refused;
    const auto refusal = refusalOf(event.decision, event.answerStored);
    finish(refusal.code, refusal.verdict);
}

void RequestTransitions::claimUnconfirmed()
{
    if (request.m_phase == RequestPhase::Claiming)
        finish(ResultCode::ClaimUnconfirmed);
}

void RequestTransitions::targetChosen()
{
    if (request.m_phase != RequestPhase::Queued)
        return;
    ++request.m_attempt;
    request.m_phase = RequestPhase::Connecting;
    actions.connect = true;
}

void RequestTransitions::connectFailed()
{
    if (request.m_phase != RequestPhase::Connecting)
        return;
    actions.cancelTarget = true;
    retryOrFinish(ResultCode::TargetUnreachable);
}

void RequestTransitions::connected()
{
    if (request.m_phase != RequestPhase::Connecting)
        return;
    if (needsClaim() && request.m_claim != Claim::Granted)
        return;
    request.m_phase = RequestPhase::Sent;
    request.m_attemptSent = true;
    actions.send = true;
}

void RequestTransitions::targetRefused()
{
    if (hasEnded()) {
        actions.releaseClaim = request.m_readsLateAnswer && !request.m_forwarding;
        request.m_readsLateAnswer = false;
        return;
    }
    if (!isAtTarget() || request.m_forwarding)
        return;
    request.m_attemptSent = false;
    if (needsClaim()) {
        finish(ResultCode::TargetRefused);
        return;
    }
    retryOrFinish(ResultCode::TargetRefused);
}

void RequestTransitions::answerHeadReceived()
{
    if (request.m_phase != RequestPhase::Sent)
        return;
    request.m_phase = RequestPhase::Answering;
}

void RequestTransitions::answerForwardingStarted()
{
    if (request.m_phase != RequestPhase::Answering)
        return;
    request.m_forwarding = true;
    actions.forwardHead = true;
}

void RequestTransitions::bodyChunk()
{
    actions.forwardBody = request.m_phase == RequestPhase::Answering && request.m_forwarding;
}

void RequestTransitions::answerEnded()
{
    if (hasEnded()) {
        actions.completeClaim = request.m_readsLateAnswer;
        request.m_readsLateAnswer = false;
        return;
    }
    if (request.m_phase != RequestPhase::Answering)
        return;
    request.m_phase = RequestPhase::Ended;
    request.m_result = RequestResult { ResultCode::Ok, Verdict::Done };
    actions.forwardHead = !request.m_forwarding;
    actions.completeAnswer = true;
    actions.completeClaim = needsClaim();
}

void RequestTransitions::connectionLost()
{
    request.m_readsLateAnswer = false;
    if (!isAtTarget())
        return;
    actions.cancelTarget = true;
    const bool hasAnswerHead = request.m_phase == RequestPhase::Answering;
    retryOrFinish(hasAnswerHead ? ResultCode::TargetAnswerTruncated
                                : ResultCode::TargetConnectionLost);
}

bool RequestTransitions::mayRetry() const noexcept
{
    if (request.m_forwarding)
        return false;
    return !needsClaim() || !request.m_attemptSent;
}

// Retries with another target if this is allowed; otherwise ends the request with the code.
void RequestTransitions::retryOrFinish(ResultCode code)
{
    if (mayRetry() && event.retry == RetryPermit::Allowed) {
        request.m_mayHaveRun = request.m_mayHaveRun || request.m_attemptSent;
        request.m_attemptSent = false;
        request.m_phase = RequestPhase::Queued;
        actions.chooseTarget = true;
        return;
    }
    const bool isBudgetSpent = mayRetry() && event.retry == RetryPermit::BudgetSpent;
    finish(isBudgetSpent ? ResultCode::RetryBudgetSpent : code);
}

void RequestTransitions::deadlinePassed()
{
    if (hasEnded())
        return;
    cancelOrReadLateAnswer();
    if (request.m_phase == RequestPhase::Claiming)
        finish(ResultCode::ClaimUnconfirmed);
    else if (request.m_phase == RequestPhase::Reading)
        finish(ResultCode::RequestTimedOut);
    else if (isBeforeSending())
        finish(ResultCode::DeadlineExceededInQueue);
    else
        finish(ResultCode::DeadlineExceededAtTarget);
}

void RequestTransitions::callerDisconnected()
{
    if (hasEnded())
        return;
    request.m_callerDisconnected = true;
    cancelOrReadLateAnswer();
    finish(ResultCode::CallerCancelled);
}

void RequestTransitions::hostStopping()
{
    if (hasEnded())
        return;
    actions.cancelTarget = request.m_phase >= RequestPhase::Connecting;
    finish(ResultCode::EntryHostLeaving);
}

// Cancels the attempt. If a non-idempotent request was already sent, its answer is read instead, to
// be recorded with the claim and replayed when the caller resends the request.
void RequestTransitions::cancelOrReadLateAnswer()
{
    if (isAtTarget() && needsClaim()) {
        request.m_readsLateAnswer = true;
        actions.readLateAnswer = true;
        return;
    }
    actions.cancelTarget = request.m_phase >= RequestPhase::Connecting;
}

void RequestTransitions::releaseOrAbandonClaim(Verdict verdict)
{
    if (!needsClaim())
        return;
    if (request.m_claim == Claim::Requested)
        actions.abandonClaim = true;
    if (request.m_claim == Claim::Granted && verdict == Verdict::NotRun)
        actions.releaseClaim = true;
}

void RequestTransitions::finish(ResultCode code, Verdict verdict)
{
    releaseOrAbandonClaim(verdict);
    request.m_phase = RequestPhase::Ended;
    request.m_result = RequestResult { code, verdict };
    if (request.m_callerDisconnected)
        return;
    if (request.m_forwarding) {
        actions.abortCallerConnection = true;
        return;
    }
    if (code == ResultCode::Ok) {
        actions.replay = true;
        return;
    }
    const auto delay = retryAfter(code, context.overload, context.random);
    actions.answer = FinalAnswer { httpStatusOf(code), code, verdict, delay };
}

RequestActions RequestStateMachine::apply(const RequestEvent &event,
                                          const RequestEventContext &context)
{
    RequestTransitions transitions { *this, event, context, {} };
    transitions.dispatch();
    return transitions.actions;
}

} // namespace ggv
