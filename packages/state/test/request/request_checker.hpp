#pragma once

#include <ggv/state/request/request_state_machine.hpp>

#include <stdexcept>
#include <string>
#include <utility>

namespace ggv::test {

//! Runs a request and checks, event by event, what must hold for every history.
class RequestChecker
{
public:
    explicit RequestChecker(Instant deadline)
        : m_outcome(deadline)
    { }

    RequestActions apply(RequestEvent event, Instant now)
    {
        const bool ofNow = event.attempt == m_outcome.attempt();
        const auto before = m_outcome.result();
        note(event, ofNow);
        const auto actions = m_outcome.apply(event, { now, 1.0, 0 });
        checkSend(actions);
        checkRetry(actions);
        checkClaim(event, actions, ofNow);
        checkCaller(actions);
        if (before)
            require(m_outcome.result() == before, "the verdict changed");
        else if (m_outcome.result())
            checkResult(*m_outcome.result(), event, actions, ofNow);
        return actions;
    }

    [[nodiscard]] const RequestStateMachine &outcome() const noexcept { return m_outcome; }
    [[nodiscard]] bool hasUnresolvedSend() const noexcept { return m_unresolved || m_open; }

    //! The request has ended and its caller got exactly one end, unless it is gone.
    void checkEnd() const
    {
        require(m_outcome.result().has_value(), "no verdict");
        const bool gone = m_outcome.result()->code == ResultCode::CallerCancelled;
        require(m_ends == (gone ? 0 : 1), "the caller got no end");
    }

private:
    static void require(bool condition, const std::string &what)
    {
        if (!condition)
            throw std::logic_error(what);
    }

    void note(const RequestEvent &event, bool ofNow)
    {
        if (m_outcome.phase() == RequestPhase::Reading
            && event.kind == RequestEventKind::HeadParsed)
            m_kind = event.requestKind, m_parsed = true;
        if (event.kind == RequestEventKind::TargetRefused && ofNow && m_open && !m_forwarding)
            m_open = false;
        if (event.kind == RequestEventKind::ClaimDecided && m_asked
            && event.decision == ClaimDecision::Granted)
            m_granted = true;
    }

    void checkSend(const RequestActions &actions)
    {
        if (!actions.send)
            return;
        require(m_outcome.phase() == RequestPhase::Sent, "sent in another phase");
        if (m_kind == RequestKind::NonIdempotent) {
            require(m_granted, "sent without a claim");
            require(m_sends == 0, "sent twice");
        }
        ++m_sends;
        m_unresolved = m_unresolved || m_open;
        m_open = true;
    }

    void checkRetry(const RequestActions &actions) const
    {
        if (!actions.chooseTarget)
            return;
        require(!m_forwarding, "retried after a part of the answer went to the caller");
        require(m_kind == RequestKind::Idempotent || m_sends == 0, "retried after the first byte");
    }

    void checkClaim(const RequestEvent &event, const RequestActions &actions, bool ofNow)
    {
        m_asked = m_asked || actions.requestClaim;
        if (actions.requestClaim || actions.completeClaim || actions.releaseClaim)
            require(m_kind == RequestKind::NonIdempotent, "claim of an idempotent request");
        if (actions.releaseClaim)
            require(m_granted && !hasUnresolvedSend(), "released after the first byte");
        if (actions.completeClaim)
            require(event.kind == RequestEventKind::AnswerEnded && ofNow && m_sends == 1,
                    "recorded an answer that is not there");
    }

    void checkCaller(const RequestActions &actions)
    {
        m_forwarding = m_forwarding || actions.forwardHead;
        m_ends += actions.answer.has_value() ? 1 : 0;
        m_ends += (actions.completeAnswer ? 1 : 0) + (actions.replay ? 1 : 0);
        m_ends += actions.abortCallerConnection ? 1 : 0;
        require(m_ends <= 1, "the caller got two ends");
        if (actions.answer || actions.replay)
            require(!m_forwarding, "a second answer within the first one");
    }

    void checkResult(const RequestResult &result, const RequestEvent &event,
                     const RequestActions &actions, bool ofNow) const
    {
        const bool finished = event.kind == RequestEventKind::ClaimDecided
            && event.decision == ClaimDecision::Finished;
        if (result.verdict == Verdict::Done)
            require(actions.completeAnswer ? ofNow : finished, "done without a result");
        if (actions.completeAnswer)
            require(event.kind == RequestEventKind::AnswerEnded, "neat end of a cut answer");
        if (result.verdict != Verdict::NotRun)
            return;
        require(!hasUnresolvedSend(), "not run after the first byte");
        const bool hasNoKey = result.code == ResultCode::MalformedRequest
            || result.code == ResultCode::IdempotencyKeyMissing;
        const bool claimKnown = m_kind == RequestKind::Idempotent || m_granted;
        require(hasNoKey || (m_parsed && claimKnown), "not run without the claim group's word");
    }

    RequestStateMachine m_outcome;
    RequestKind m_kind = RequestKind::Idempotent;
    bool m_parsed = false;
    bool m_asked = false;
    bool m_granted = false;
    bool m_open = false; // The current attempt was sent and not refused.
    bool m_unresolved = false; // An earlier one was.
    bool m_forwarding = false;
    int m_sends = 0;
    int m_ends = 0;
};

} // namespace ggv::test
