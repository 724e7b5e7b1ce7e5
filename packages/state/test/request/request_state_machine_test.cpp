#include <ggv/state/request/http_status.hpp>
#include <ggv/state/request/retry_after.hpp>
#include <request/request_checker.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <array>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace {

using namespace ggv;
using test::RequestChecker;
using Kind = RequestEventKind;

constexpr Instant Start { std::chrono::seconds(100) };
constexpr Instant Deadline { std::chrono::seconds(110) };

// Processing step of a request at which a fault is injected.
enum class Step {
    Reading,
    Parsed,
    Claiming,
    Queued,
    Connecting,
    Sent,
    AnswerHead,
    Forwarding,
    Count
};

constexpr std::array StepNames { "unread",     "parsed", "claiming", "queued",
                                 "connecting", "sent",   "head",     "passing" };

struct Fault
{
    const char *name;
    RequestEvent event;
};

RequestEvent attemptEnd(Kind kind, RetryPermit retry)
{
    RequestEvent event { kind };
    event.retry = retry;
    return event;
}

RequestEvent refusal(ResultCode code)
{
    RequestEvent event { Kind::Refused };
    event.code = code;
    return event;
}

RequestEvent claimDecided(ClaimDecision decision, bool answerStored = false)
{
    RequestEvent event { Kind::ClaimDecided };
    event.decision = decision;
    event.answerStored = answerStored;
    return event;
}

RequestEvent headParsed(RequestKind kind)
{
    RequestEvent event { Kind::HeadParsed };
    event.requestKind = kind;
    return event;
}

const std::vector<Fault> &faults()
{
    static const std::vector<Fault> all {
        { "shed", refusal(ResultCode::Overloaded) },
        { "leaving", refusal(ResultCode::EntryHostLeaving) },
        { "slow upload", refusal(ResultCode::RequestTimedOut) },
        { "malformed", refusal(ResultCode::MalformedRequest) },
        { "claim unconfirmed", { Kind::ClaimUnconfirmed } },
        { "connect fails", attemptEnd(Kind::ConnectFailed, RetryPermit::NoOtherTarget) },
        { "connect fails, retry", attemptEnd(Kind::ConnectFailed, RetryPermit::Allowed) },
        { "target refuses", attemptEnd(Kind::TargetRefused, RetryPermit::NoOtherTarget) },
        { "target refuses, retry", attemptEnd(Kind::TargetRefused, RetryPermit::Allowed) },
        { "reset", attemptEnd(Kind::ConnectionReset, RetryPermit::NoOtherTarget) },
        { "reset, retry", attemptEnd(Kind::ConnectionReset, RetryPermit::Allowed) },
        { "reset, no budget", attemptEnd(Kind::ConnectionReset, RetryPermit::BudgetSpent) },
        { "cut", attemptEnd(Kind::AnswerTruncated, RetryPermit::NoOtherTarget) },
        { "time-out, retry", attemptEnd(Kind::TargetTimedOut, RetryPermit::Allowed) },
        { "deadline", { Kind::DeadlinePassed } },
        { "caller disconnected", { Kind::CallerDisconnected } },
        { "host stops", { Kind::HostStopping } },
    };
    return all;
}

RequestActions applyEvent(RequestChecker &checker, RequestEvent event)
{
    event.attempt = checker.stateMachine().attempt();
    return checker.apply(event, Start);
}

// Advances a new request to the step; returns false if requests of this kind skip the step.
bool advanceTo(RequestChecker &checker, RequestKind kind, Step step)
{
    const bool claimed = kind == RequestKind::NonIdempotent;
    if (step == Step::Claiming && !claimed)
        return false;
    std::vector<std::pair<Step, RequestEvent>> path {
        { Step::Parsed, headParsed(kind) },
        { claimed ? Step::Claiming : Step::Queued, { Kind::Received } },
        { Step::Queued, claimDecided(ClaimDecision::Granted) },
        { Step::Connecting, { Kind::TargetChosen } },
        { Step::Sent, { Kind::Connected } },
        { Step::AnswerHead, { Kind::AnswerHeadReceived } },
        { Step::Forwarding, { Kind::AnswerForwardingStarted } },
    };
    for (const auto &[reached, event] : path) {
        if (reached <= step)
            (void)applyEvent(checker, event);
    }
    return true;
}

// Describes the result and the actions of an event as text.
std::string describe(const RequestStateMachine &stateMachine, const RequestActions &actions)
{
    std::string text = "-";
    if (const auto &result = stateMachine.result()) {
        text = resultCodeName(result->code);
        text += ", ";
        text += verdictName(result->verdict);
    }
    const std::pair<bool, const char *> flags[] {
        { actions.chooseTarget, "retry" },
        { actions.releaseClaim, "release" },
        { actions.abandonClaim, "abandon" },
        { actions.readLateAnswer, "read late answer" },
        { actions.abortCallerConnection, "abort caller" },
    };
    for (const auto &[set, name] : flags) {
        if (set)
            text += std::string(" + ") + name;
    }
    return text;
}

struct MatrixRow
{
    const char *step;
    const char *fault;
    const char *idempotent;
    const char *nonIdempotent;
};

// Expected effect of every fault at every step; pairs that are not listed have no effect.
const MatrixRow Matrix[] {
    { "unread", "shed", "overloaded, unknown", "overloaded, unknown" },
    { "unread", "leaving", "entry-host-leaving, unknown", "entry-host-leaving, unknown" },
    { "unread", "slow upload", "request-timed-out, unknown", "request-timed-out, unknown" },
    { "unread", "malformed", "malformed-request, not run", "malformed-request, not run" },
    { "unread", "deadline", "request-timed-out, unknown", "request-timed-out, unknown" },
    { "unread", "caller disconnected", "caller-cancelled, unknown", "caller-cancelled, unknown" },
    { "unread", "host stops", "entry-host-leaving, unknown", "entry-host-leaving, unknown" },

    { "parsed", "shed", "overloaded, not run", "overloaded, unknown" },
    { "parsed", "leaving", "entry-host-leaving, not run", "entry-host-leaving, unknown" },
    { "parsed", "slow upload", "request-timed-out, not run", "request-timed-out, unknown" },
    { "parsed", "malformed", "malformed-request, not run", "malformed-request, not run" },
    { "parsed", "deadline", "request-timed-out, not run", "request-timed-out, unknown" },
    { "parsed", "caller disconnected", "caller-cancelled, not run", "caller-cancelled, unknown" },
    { "parsed", "host stops", "entry-host-leaving, not run", "entry-host-leaving, unknown" },

    { "claiming", "shed", "", "overloaded, unknown + abandon" },
    { "claiming", "leaving", "", "entry-host-leaving, unknown + abandon" },
    { "claiming", "slow upload", "", "request-timed-out, unknown + abandon" },
    { "claiming", "malformed", "", "malformed-request, not run + abandon" },
    { "claiming", "claim unconfirmed", "", "claim-unconfirmed, unknown + abandon" },
    { "claiming", "deadline", "", "claim-unconfirmed, unknown + abandon" },
    { "claiming", "caller disconnected", "", "caller-cancelled, unknown + abandon" },
    { "claiming", "host stops", "", "entry-host-leaving, unknown + abandon" },

    { "queued", "shed", "overloaded, not run", "overloaded, not run + release" },
    { "queued", "leaving", "entry-host-leaving, not run", "entry-host-leaving, not run + release" },
    { "queued", "slow upload", "request-timed-out, not run",
      "request-timed-out, not run + release" },
    { "queued", "malformed", "malformed-request, not run", "malformed-request, not run + release" },
    { "queued", "deadline", "deadline-exceeded-in-queue, not run",
      "deadline-exceeded-in-queue, not run + release" },
    { "queued", "caller disconnected", "caller-cancelled, not run",
      "caller-cancelled, not run + release" },
    { "queued", "host stops", "entry-host-leaving, not run",
      "entry-host-leaving, not run + release" },

    { "connecting", "shed", "overloaded, not run", "overloaded, not run + release" },
    { "connecting", "leaving", "entry-host-leaving, not run",
      "entry-host-leaving, not run + release" },
    { "connecting", "slow upload", "request-timed-out, not run",
      "request-timed-out, not run + release" },
    { "connecting", "malformed", "malformed-request, not run",
      "malformed-request, not run + release" },
    { "connecting", "connect fails", "target-unreachable, not run",
      "target-unreachable, not run + release" },
    { "connecting", "connect fails, retry", "- + retry", "- + retry" },
    { "connecting", "deadline", "deadline-exceeded-in-queue, not run",
      "deadline-exceeded-in-queue, not run + release" },
    { "connecting", "caller disconnected", "caller-cancelled, not run",
      "caller-cancelled, not run + release" },
    { "connecting", "host stops", "entry-host-leaving, not run",
      "entry-host-leaving, not run + release" },

    { "sent", "target refuses", "target-refused, not run", "target-refused, not run + release" },
    { "sent", "target refuses, retry", "- + retry", "target-refused, not run + release" },
    { "sent", "reset", "target-connection-lost, unknown", "target-connection-lost, unknown" },
    { "sent", "reset, retry", "- + retry", "target-connection-lost, unknown" },
    { "sent", "reset, no budget", "retry-budget-spent, unknown",
      "target-connection-lost, unknown" },
    { "sent", "cut", "target-connection-lost, unknown", "target-connection-lost, unknown" },
    { "sent", "time-out, retry", "- + retry", "target-connection-lost, unknown" },
    { "sent", "deadline", "deadline-exceeded-at-target, unknown",
      "deadline-exceeded-at-target, unknown + read late answer" },
    { "sent", "caller disconnected", "caller-cancelled, unknown",
      "caller-cancelled, unknown + read late answer" },
    { "sent", "host stops", "entry-host-leaving, unknown", "entry-host-leaving, unknown" },

    { "head", "target refuses", "target-refused, not run", "target-refused, not run + release" },
    { "head", "target refuses, retry", "- + retry", "target-refused, not run + release" },
    { "head", "reset", "target-answer-truncated, unknown", "target-answer-truncated, unknown" },
    { "head", "reset, retry", "- + retry", "target-answer-truncated, unknown" },
    { "head", "reset, no budget", "retry-budget-spent, unknown",
      "target-answer-truncated, unknown" },
    { "head", "cut", "target-answer-truncated, unknown", "target-answer-truncated, unknown" },
    { "head", "time-out, retry", "- + retry", "target-answer-truncated, unknown" },
    { "head", "deadline", "deadline-exceeded-at-target, unknown",
      "deadline-exceeded-at-target, unknown + read late answer" },
    { "head", "caller disconnected", "caller-cancelled, unknown",
      "caller-cancelled, unknown + read late answer" },
    { "head", "host stops", "entry-host-leaving, unknown", "entry-host-leaving, unknown" },

    { "passing", "reset", "target-answer-truncated, unknown + abort caller",
      "target-answer-truncated, unknown + abort caller" },
    { "passing", "reset, retry", "target-answer-truncated, unknown + abort caller",
      "target-answer-truncated, unknown + abort caller" },
    { "passing", "reset, no budget", "target-answer-truncated, unknown + abort caller",
      "target-answer-truncated, unknown + abort caller" },
    { "passing", "cut", "target-answer-truncated, unknown + abort caller",
      "target-answer-truncated, unknown + abort caller" },
    { "passing", "time-out, retry", "target-answer-truncated, unknown + abort caller",
      "target-answer-truncated, unknown + abort caller" },
    { "passing", "deadline", "deadline-exceeded-at-target, unknown + abort caller",
      "deadline-exceeded-at-target, unknown + read late answer + abort caller" },
    { "passing", "caller disconnected", "caller-cancelled, unknown",
      "caller-cancelled, unknown + read late answer" },
    { "passing", "host stops", "entry-host-leaving, unknown + abort caller",
      "entry-host-leaving, unknown + abort caller" },
};

std::string expected(RequestKind kind, Step step, const Fault &fault)
{
    for (const auto &row : Matrix) {
        if (row.step == std::string(StepNames.at(static_cast<std::size_t>(step)))
            && row.fault == std::string(fault.name))
            return kind == RequestKind::Idempotent ? row.idempotent : row.nonIdempotent;
    }
    return "-";
}

template <typename Visitor>
void forEachStep(Visitor visitor)
{
    for (const auto kind : { RequestKind::Idempotent, RequestKind::NonIdempotent }) {
        for (int it = 0; it < static_cast<int>(Step::Count); ++it) {
            RequestChecker checker(Deadline);
            if (advanceTo(checker, kind, static_cast<Step>(it)))
                visitor(kind, static_cast<Step>(it), checker);
        }
    }
}

class RequestStateMachineTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestStateMachineTest);
    CPPUNIT_TEST(everyFaultAtEveryStep);
    CPPUNIT_TEST(everyPairOfFaultsAtEveryStep);
    CPPUNIT_TEST(everyClaimDecision);
    CPPUNIT_TEST(completeAnswerIsDone);
    CPPUNIT_TEST(lateAnswersAreRecordedOnce);
    CPPUNIT_TEST(lateGrantIsReleased);
    CPPUNIT_TEST(nothingIsSentAfterTheDeadline);
    CPPUNIT_TEST(answersOfEarlierAttemptsAreIgnored);
    CPPUNIT_TEST(randomEventsPreserveInvariants);
    CPPUNIT_TEST(retryAfterGrowsWithOverloadAndHasJitter);
    CPPUNIT_TEST(failuresHaveErrorStatuses);
    CPPUNIT_TEST_SUITE_END();

public:
    void everyFaultAtEveryStep()
    {
        forEachStep([](RequestKind kind, Step step, const RequestChecker &reached) {
            for (const auto &fault : faults()) {
                auto checker = reached;
                const auto actions = applyEvent(checker, fault.event);
                const auto name = std::string(StepNames.at(static_cast<std::size_t>(step))) + " / "
                    + fault.name + (kind == RequestKind::Idempotent ? " / idempotent" : "");
                CPPUNIT_ASSERT_EQUAL_MESSAGE(name, expected(kind, step, fault),
                                             describe(checker.stateMachine(), actions));
            }
        });
    }

    void everyPairOfFaultsAtEveryStep()
    {
        int pairs = 0;
        forEachStep([&pairs](RequestKind, Step, const RequestChecker &reached) {
            for (const auto &first : faults()) {
                for (const auto &second : faults()) {
                    auto checker = reached;
                    (void)applyEvent(checker, first.event);
                    const bool sent = checker.hasUnresolvedSend();
                    (void)applyEvent(checker, second.event);
                    (void)applyEvent(checker, { Kind::HostStopping });
                    checker.checkEnd();
                    const bool notRun = checker.stateMachine().result()->verdict == Verdict::NotRun;
                    CPPUNIT_ASSERT(!notRun || !sent || !checker.hasUnresolvedSend());
                    ++pairs;
                }
            }
        });
        CPPUNIT_ASSERT_EQUAL(15 * 17 * 17, pairs);
    }

    void everyClaimDecision()
    {
        const std::pair<RequestEvent, const char *> rows[] {
            { claimDecided(ClaimDecision::Granted), "- + retry" },
            { claimDecided(ClaimDecision::Finished, true), "ok, done" },
            { claimDecided(ClaimDecision::Finished), "result-not-kept, done" },
            { claimDecided(ClaimDecision::Unresolved), "claim-unresolved, unknown" },
            { claimDecided(ClaimDecision::FingerprintMismatch), "idempotency-key-reused, unknown" },
            { claimDecided(ClaimDecision::Expired), "idempotency-key-expired, unknown" },
            { claimDecided(ClaimDecision::Full), "claim-store-full, unknown" },
            { claimDecided(ClaimDecision::Stale), "claim-unavailable, unknown" },
        };
        for (const auto &[event, text] : rows) {
            RequestChecker checker(Deadline);
            advanceTo(checker, RequestKind::NonIdempotent, Step::Claiming);
            const auto actions = applyEvent(checker, event);
            CPPUNIT_ASSERT_EQUAL(std::string(text), describe(checker.stateMachine(), actions));
            CPPUNIT_ASSERT_EQUAL(event.answerStored, actions.replay);
        }
    }

    void completeAnswerIsDone()
    {
        for (const auto step : { Step::AnswerHead, Step::Forwarding }) {
            RequestChecker checker(Deadline);
            advanceTo(checker, RequestKind::NonIdempotent, step);
            CPPUNIT_ASSERT_EQUAL(step == Step::Forwarding,
                                 applyEvent(checker, { Kind::BodyChunk }).forwardBody);
            const auto actions = applyEvent(checker, { Kind::AnswerEnded });
            CPPUNIT_ASSERT(actions.completeAnswer && actions.completeClaim);
            CPPUNIT_ASSERT_EQUAL(step == Step::AnswerHead, actions.forwardHead);
            CPPUNIT_ASSERT(checker.stateMachine().result()->verdict == Verdict::Done);
            checker.checkEnd();
        }
    }

    void lateAnswersAreRecordedOnce()
    {
        for (const auto fault : { Kind::DeadlinePassed, Kind::CallerDisconnected }) {
            RequestChecker checker(Deadline);
            advanceTo(checker, RequestKind::NonIdempotent, Step::Sent);
            CPPUNIT_ASSERT(applyEvent(checker, { fault }).readLateAnswer);
            auto refused = checker;
            auto truncated = checker;
            CPPUNIT_ASSERT(applyEvent(checker, { Kind::AnswerEnded }).completeClaim);
            CPPUNIT_ASSERT(!applyEvent(checker, { Kind::AnswerEnded }).completeClaim);
            CPPUNIT_ASSERT(applyEvent(refused, { Kind::TargetRefused }).releaseClaim);
            CPPUNIT_ASSERT(!applyEvent(refused, { Kind::TargetRefused }).releaseClaim);
            (void)applyEvent(truncated, { Kind::AnswerTruncated });
            CPPUNIT_ASSERT(!applyEvent(truncated, { Kind::AnswerEnded }).completeClaim);
        }
    }

    void lateGrantIsReleased()
    {
        RequestChecker checker(Deadline);
        advanceTo(checker, RequestKind::NonIdempotent, Step::Claiming);
        (void)applyEvent(checker, { Kind::ClaimUnconfirmed });
        const auto actions = applyEvent(checker, claimDecided(ClaimDecision::Granted));
        CPPUNIT_ASSERT(actions.releaseClaim);
        CPPUNIT_ASSERT(!actions.chooseTarget);
        (void)applyEvent(checker, { Kind::TargetChosen });
        CPPUNIT_ASSERT(!applyEvent(checker, { Kind::Connected }).send);
    }

    // After a suspension of the process, any event may be handled before the deadline timer.
    void nothingIsSentAfterTheDeadline()
    {
        forEachStep([](RequestKind, Step step, const RequestChecker &reached) {
            const std::array events { RequestEvent { Kind::Received },
                                      headParsed(RequestKind::Idempotent),
                                      claimDecided(ClaimDecision::Granted),
                                      RequestEvent { Kind::TargetChosen },
                                      RequestEvent { Kind::Connected } };
            for (auto event : events) {
                auto checker = reached;
                event.attempt = checker.stateMachine().attempt();
                const auto actions = checker.apply(event, Deadline);
                CPPUNIT_ASSERT(!actions.send && !actions.connect && !actions.chooseTarget);
                CPPUNIT_ASSERT_EQUAL(step < Step::Sent,
                                     checker.stateMachine().result().has_value());
            }
        });
    }

    void answersOfEarlierAttemptsAreIgnored()
    {
        RequestChecker checker(Deadline);
        advanceTo(checker, RequestKind::Idempotent, Step::Sent);
        (void)applyEvent(checker, attemptEnd(Kind::TargetTimedOut, RetryPermit::Allowed));
        (void)applyEvent(checker, { Kind::TargetChosen });
        (void)applyEvent(checker, { Kind::Connected });
        for (const auto kind : { Kind::AnswerHeadReceived, Kind::AnswerForwardingStarted,
                                 Kind::AnswerEnded, Kind::AnswerTruncated, Kind::TargetRefused }) {
            RequestEvent late { kind };
            late.attempt = 1;
            CPPUNIT_ASSERT(checker.apply(late, Start) == RequestActions {});
        }
        CPPUNIT_ASSERT(checker.stateMachine().phase() == RequestPhase::Sent);
        (void)applyEvent(checker, attemptEnd(Kind::TargetRefused, RetryPermit::NoOtherTarget));
        // The second target did not execute the request, but the first one may have.
        CPPUNIT_ASSERT(checker.stateMachine().result()->verdict == Verdict::Unknown);
    }

    void randomEventsPreserveInvariants()
    {
        CPPUNIT_ASSERT(rc::check("invariants hold and there is one verdict", [] {
            RequestChecker checker(Deadline);
            const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
                rc::gen::arbitrary<std::uint32_t>());
            auto now = Start;
            for (const auto bits : steps) {
                now += std::chrono::milliseconds(bits >> 24U);
                (void)checker.apply(randomEvent(bits, checker.stateMachine()), now);
            }
            (void)checker.apply({ Kind::HostStopping }, now);
            checker.checkEnd();
        }));
    }

    void retryAfterGrowsWithOverloadAndHasJitter()
    {
        const auto code = ResultCode::Overloaded;
        constexpr auto Most = ~std::uint64_t { 0 };
        CPPUNIT_ASSERT(retryAfter(code, 1.0, 0) == std::chrono::seconds(1));
        CPPUNIT_ASSERT(retryAfter(code, 1.0, Most) == std::chrono::seconds(3));
        CPPUNIT_ASSERT(retryAfter(code, 4.0, 0) == std::chrono::seconds(4));
        CPPUNIT_ASSERT(retryAfter(code, 1e9, Most) == std::chrono::seconds(48));
        CPPUNIT_ASSERT(retryAfter(code, 0.0 / 0.0, 0) == std::chrono::seconds(1));
        CPPUNIT_ASSERT(!retryAfter(ResultCode::IdempotencyKeyReused, 4.0, 0));
        CPPUNIT_ASSERT(!retryAfter(ResultCode::MalformedRequest, 4.0, 0));
    }

    void failuresHaveErrorStatuses()
    {
        for (std::uint16_t number = 101; number < 200; ++number) {
            const auto code = static_cast<ResultCode>(number);
            if (resultCodeName(code) == "unlisted")
                continue;
            const auto status = httpStatusOf(code);
            CPPUNIT_ASSERT(status >= 400 && status < 600 && status != 500);
            if (retryAfter(code, 1.0, 0))
                CPPUNIT_ASSERT(status == 408 || status == 409 || status >= 502);
        }
    }

private:
    // Usually the next event of a request without faults, otherwise any event.
    static RequestEvent randomEvent(std::uint32_t bits, const RequestStateMachine &stateMachine)
    {
        static constexpr std::array ExpectedKinds {
            Kind::HeadParsed, Kind::ClaimDecided,       Kind::TargetChosen,
            Kind::Connected,  Kind::AnswerHeadReceived, Kind::AnswerForwardingStarted,
            Kind::AnswerEnded
        };
        RequestEvent event;
        if (bits % 4 == 0)
            event.kind = static_cast<Kind>(bits / 4 % 19);
        else if (stateMachine.phase() == RequestPhase::Reading && bits % 8 < 4)
            event.kind = Kind::Received;
        else
            event.kind = ExpectedKinds.at(static_cast<std::size_t>(stateMachine.phase()));
        event.attempt
            = stateMachine.attempt() - (bits / 128 % 8 == 0 && stateMachine.attempt() > 0 ? 1 : 0);
        event.requestKind = static_cast<RequestKind>(bits / 1024 % 2);
        event.code = bits / 2048 % 2 == 0 ? ResultCode::Overloaded : ResultCode::MalformedRequest;
        const auto decision = bits / 4096 % 16;
        event.decision = static_cast<ClaimDecision>(decision < 7 ? decision : 0);
        event.answerStored = bits / 65536 % 2 == 0;
        event.retry = static_cast<RetryPermit>(bits / 131072 % 3);
        return event;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestStateMachineTest);

} // namespace
