#include <ggv/state/request/request_state_machine.hpp>

#include <ggv/state/request/http_status.hpp>
#include <ggv/state/request/retry_after.hpp>

#include <array>
#include <cstddef>

namespace ggv {

//! Reactions of RequestStateMachine, one function an event.
struct RequestTransitions
{
    using Claim = RequestStateMachine::Claim;
    using Handler = void (RequestTransitions::*)();

    struct Row
    {
        Handler handler;
        bool ofAttempt; // Ignored unless it belongs to the current attempt.
    };

    RequestStateMachine &request;
    const RequestEvent &event;
    const RequestEventContext &context;
    RequestActions actions;

    [[nodiscard]] static const Row &rowOf(RequestEventKind kind) noexcept;

    void run();
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
    void answerPassing();
    void bodyChunk();
    void answerEnded();
    void connectionLost();
    void deadlinePassed();
    void callerGone();
    void hostStopping();

    [[nodiscard]] bool ended() const noexcept { return request.m_phase == RequestPhase::Ended; }
    [[nodiscard]] bool beforeSending() const noexcept
    {
        return request.m_phase < RequestPhase::Sent;
    }
    [[nodiscard]] bool atTarget() const noexcept
    {
        return request.m_phase == RequestPhase::Sent || request.m_phase == RequestPhase::Answering;
    }
    [[nodiscard]] bool isClaimed() const noexcept
    {
        return request.m_kind == RequestKind::NonIdempotent;
    }
    [[nodiscard]] Verdict verdictOf(ResultCode code) const noexcept;
    [[nodiscard]] bool maySendAgain() const noexcept;
    void retryOr(ResultCode code);
    void settleClaim(Verdict verdict);
    void leaveTarget();
    void finish(ResultCode code, Verdict verdict);
    void finish(ResultCode code) { finish(code, verdictOf(code)); }
};

namespace {

using Row = RequestTransitions::Row;

// In the order of RequestEventKind.
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
    Row { &RequestTransitions::answerPassing, true },
    Row { &RequestTransitions::bodyChunk, true },
    Row { &RequestTransitions::answerEnded, true },
    Row { &RequestTransitions::connectionLost, true }, // AnswerTruncated
    Row { &RequestTransitions::connectionLost, true }, // ConnectionReset
    Row { &RequestTransitions::connectionLost, true }, // TargetTimedOut
    Row { &RequestTransitions::deadlinePassed, false },
    Row { &RequestTransitions::callerGone, false },
    Row { &RequestTransitions::hostStopping, false },
};

static_assert(Rows.size() == static_cast<std::size_t>(RequestEventKind::HostStopping) + 1);

// Refusals of requests that have no usable key, so that none of them can have run elsewhere.
bool hasNoKey(ResultCode code) noexcept
{
    return code == ResultCode::MalformedRequest || code == ResultCode::HeaderTooLarge
        || code == ResultCode::IdempotencyKeyMissing || code == ResultCode::IdempotencyKeyInvalid;
}

// Answer to a caller whose claim was not granted.
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

void RequestTransitions::run()
{
    const auto &row = rowOf(event.kind);
    if (row.ofAttempt && event.attempt != request.m_attempt)
        return;
    // A process that was suspended may see other events before its own timer.
    if (!ended() && beforeSending() && context.now >= request.m_deadline)
        deadlinePassed();
    (this->*row.handler)();
}

// "Not run" must hold for the key, not only for what this entry host did.
Verdict RequestTransitions::verdictOf(ResultCode code) const noexcept
{
    if (request.m_mayHaveRun || request.m_attemptSent)
        return Verdict::Unknown;
    if (hasNoKey(code))
        return Verdict::NotRun;
    if (!request.m_headParsed)
        return Verdict::Unknown;
    if (isClaimed() && request.m_claim != Claim::Granted)
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
    if (isClaimed()) {
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
    if (ended() || !beforeSending())
        return;
    actions.cancelTarget = request.m_phase == RequestPhase::Connecting;
    finish(event.code);
}

void RequestTransitions::claimDecided()
{
    const bool granted = event.decision == ClaimDecision::Granted;
    if (ended()) {
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
    retryOr(ResultCode::TargetUnreachable);
}

void RequestTransitions::connected()
{
    if (request.m_phase != RequestPhase::Connecting)
        return;
    if (isClaimed() && request.m_claim != Claim::Granted)
        return;
    request.m_phase = RequestPhase::Sent;
    request.m_attemptSent = true;
    actions.send = true;
}

void RequestTransitions::targetRefused()
{
    if (ended()) {
        actions.releaseClaim = request.m_readsLateAnswer && !request.m_forwarding;
        request.m_readsLateAnswer = false;
        return;
    }
    if (!atTarget() || request.m_forwarding)
        return;
    request.m_attemptSent = false;
    if (isClaimed()) {
        finish(ResultCode::TargetRefused);
        return;
    }
    retryOr(ResultCode::TargetRefused);
}

void RequestTransitions::answerHeadReceived()
{
    if (request.m_phase != RequestPhase::Sent)
        return;
    request.m_phase = RequestPhase::Answering;
}

void RequestTransitions::answerPassing()
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
    if (ended()) {
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
    actions.completeClaim = isClaimed();
}

void RequestTransitions::connectionLost()
{
    request.m_readsLateAnswer = false;
    if (!atTarget())
        return;
    actions.cancelTarget = true;
    const bool headSeen = request.m_phase == RequestPhase::Answering;
    retryOr(headSeen ? ResultCode::TargetAnswerTruncated : ResultCode::TargetConnectionLost);
}

bool RequestTransitions::maySendAgain() const noexcept
{
    if (request.m_forwarding)
        return false;
    return !isClaimed() || !request.m_attemptSent;
}

// Tries another target or ends the request with a code.
void RequestTransitions::retryOr(ResultCode code)
{
    if (maySendAgain() && event.retry == RetryPermit::Allowed) {
        request.m_mayHaveRun = request.m_mayHaveRun || request.m_attemptSent;
        request.m_attemptSent = false;
        request.m_phase = RequestPhase::Queued;
        actions.chooseTarget = true;
        return;
    }
    const bool spent = maySendAgain() && event.retry == RetryPermit::BudgetSpent;
    finish(spent ? ResultCode::RetryBudgetSpent : code);
}

void RequestTransitions::deadlinePassed()
{
    if (ended())
        return;
    leaveTarget();
    if (request.m_phase == RequestPhase::Claiming)
        finish(ResultCode::ClaimUnconfirmed);
    else if (request.m_phase == RequestPhase::Reading)
        finish(ResultCode::RequestTimedOut);
    else if (beforeSending())
        finish(ResultCode::DeadlineExceededInQueue);
    else
        finish(ResultCode::DeadlineExceededAtTarget);
}

void RequestTransitions::callerGone()
{
    if (ended())
        return;
    request.m_callerDisconnected = true;
    leaveTarget();
    finish(ResultCode::CallerCancelled);
}

void RequestTransitions::hostStopping()
{
    if (ended())
        return;
    actions.cancelTarget = request.m_phase >= RequestPhase::Connecting;
    finish(ResultCode::EntryHostLeaving);
}

// The result of a claimed request is worth waiting for: a resend gets it.
void RequestTransitions::leaveTarget()
{
    if (atTarget() && isClaimed()) {
        request.m_readsLateAnswer = true;
        actions.readLateAnswer = true;
        return;
    }
    actions.cancelTarget = request.m_phase >= RequestPhase::Connecting;
}

void RequestTransitions::settleClaim(Verdict verdict)
{
    if (!isClaimed())
        return;
    if (request.m_claim == Claim::Requested)
        actions.abandonClaim = true;
    if (request.m_claim == Claim::Granted && verdict == Verdict::NotRun)
        actions.releaseClaim = true;
}

void RequestTransitions::finish(ResultCode code, Verdict verdict)
{
    settleClaim(verdict);
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
    transitions.run();
    return transitions.actions;
}

} // namespace ggv
