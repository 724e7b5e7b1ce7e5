#pragma once

#include <ggv/state/request/request_state_machine.hpp>

#include <stdexcept>
#include <string>
#include <utility>

namespace ggv::test {

//! Drives a RequestStateMachine and checks its invariants after each event.
class RequestChecker
{
public:
    explicit RequestChecker(Instant deadline)
        : m_stateMachine(deadline)
    { }

    RequestActions apply(RequestEvent event, Instant now)
    {
        const bool isCurrentAttempt = event.attempt == m_stateMachine.attempt();
        const auto before = m_stateMachine.result();
        recordEvent(event, isCurrentAttempt);
        const auto actions = m_stateMachine.apply(event, { now, 1.0, 0 });
        checkSend(actions);
        checkRetry(actions);
        checkClaim(event, actions, isCurrentAttempt);
        checkCaller(actions);
        if (before)
            require(m_stateMachine.result() == before,
                    "the verdict changed after the request had ended");
        else if (m_stateMachine.result())
            checkResult(*m_stateMachine.result(), event, actions, isCurrentAttempt);
        return actions;
    }

    [[nodiscard]] const RequestStateMachine &stateMachine() const noexcept
    {
        return m_stateMachine;
    }
    [[nodiscard]] bool hasUnresolvedSend() const noexcept
    {
        return m_isEarlierUnresolved || m_isAttemptUnresolved;
    }

    //! Checks that the request has ended and that the caller, unless disconnected, received exactly
    //! one final answer.
    void checkEnd() const
    {
        require(m_stateMachine.result().has_value(), "the request has no verdict");
        const bool isDisconnected = m_stateMachine.result()->code == ResultCode::CallerCancelled;
        require(m_finalAnswers == (isDisconnected ? 0 : 1),
                "the caller did not receive exactly one final answer");
    }

private:
    static void require(bool condition, const std::string &message)
    {
        if (!condition)
            throw std::logic_error(message);
    }

    void recordEvent(const RequestEvent &event, bool isCurrentAttempt)
    {
        if (m_stateMachine.phase() == RequestPhase::Reading
            && event.kind == RequestEventKind::HeadParsed)
            m_kind = event.requestKind, m_headParsed = true;
        if (event.kind == RequestEventKind::TargetRefused && isCurrentAttempt
            && m_isAttemptUnresolved && !m_forwarding)
            m_isAttemptUnresolved = false;
        if (event.kind == RequestEventKind::ClaimDecided && m_claimRequested
            && event.decision == ClaimDecision::Granted)
            m_claimGranted = true;
    }

    void checkSend(const RequestActions &actions)
    {
        if (!actions.send)
            return;
        require(m_stateMachine.phase() == RequestPhase::Sent,
                "request sent outside the phase Sent");
        if (m_kind == RequestKind::NonIdempotent) {
            require(m_claimGranted, "non-idempotent request sent without a granted claim");
            require(m_sends == 0, "non-idempotent request sent twice");
        }
        ++m_sends;
        m_isEarlierUnresolved = m_isEarlierUnresolved || m_isAttemptUnresolved;
        m_isAttemptUnresolved = true;
    }

    void checkRetry(const RequestActions &actions) const
    {
        if (!actions.chooseTarget)
            return;
        require(!m_forwarding, "retried after part of the answer was forwarded");
        require(m_kind == RequestKind::Idempotent || m_sends == 0,
                "non-idempotent request retried after its first byte");
    }

    void checkClaim(const RequestEvent &event, const RequestActions &actions, bool isCurrentAttempt)
    {
        m_claimRequested = m_claimRequested || actions.requestClaim;
        if (actions.requestClaim || actions.completeClaim || actions.releaseClaim)
            require(m_kind == RequestKind::NonIdempotent, "claim action for an idempotent request");
        if (actions.releaseClaim)
            require(m_claimGranted && !hasUnresolvedSend(),
                    "claim released without a grant or after the first byte");
        if (actions.completeClaim)
            require(event.kind == RequestEventKind::AnswerEnded && isCurrentAttempt && m_sends == 1,
                    "claim completed without a complete answer");
    }

    void checkCaller(const RequestActions &actions)
    {
        m_forwarding = m_forwarding || actions.forwardHead;
        m_finalAnswers += actions.answer.has_value() ? 1 : 0;
        m_finalAnswers += (actions.completeAnswer ? 1 : 0) + (actions.replay ? 1 : 0);
        m_finalAnswers += actions.abortCallerConnection ? 1 : 0;
        require(m_finalAnswers <= 1, "the caller received more than one final answer");
        if (actions.answer || actions.replay)
            require(!m_forwarding, "second answer sent after part of the first one");
    }

    void checkResult(const RequestResult &result, const RequestEvent &event,
                     const RequestActions &actions, bool isCurrentAttempt) const
    {
        const bool finished = event.kind == RequestEventKind::ClaimDecided
            && event.decision == ClaimDecision::Finished;
        if (result.verdict == Verdict::Done)
            require(actions.completeAnswer ? isCurrentAttempt : finished,
                    "verdict Done without a complete answer");
        if (actions.completeAnswer)
            require(event.kind == RequestEventKind::AnswerEnded,
                    "truncated answer reported as complete");
        if (result.verdict != Verdict::NotRun)
            return;
        require(!hasUnresolvedSend(), "NotRun although a target may have the request");
        const bool hasNoKey = result.code == ResultCode::MalformedRequest
            || result.code == ResultCode::IdempotencyKeyMissing;
        const bool claimKnown = m_kind == RequestKind::Idempotent || m_claimGranted;
        require(hasNoKey || (m_headParsed && claimKnown), "verdict NotRun without a granted claim");
    }

    RequestStateMachine m_stateMachine;
    RequestKind m_kind = RequestKind::Idempotent;
    bool m_headParsed = false;
    bool m_claimRequested = false;
    bool m_claimGranted = false;
    bool m_isAttemptUnresolved
        = false; // The current attempt was sent and not refused by the target.
    bool m_isEarlierUnresolved
        = false; // An earlier attempt was sent and not refused by the target.
    bool m_forwarding = false;
    int m_sends = 0;
    int m_finalAnswers = 0;
};

} // namespace ggv::test
