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

// How far a request has come when a fault strikes.
enum class Step { Unread, Parsed, Claiming, Queued, Connecting, Sent, HeadSeen, Passing, Count };

constexpr std::array StepNames { "unread",     "parsed", "claiming", "queued",
                                 "connecting", "sent",   "head",     "passing" };

struct Fault
{
    const char *name;
    RequestEvent event;
};

RequestEvent ending(Kind kind, RetryPermit retry)
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

RequestEvent decided(ClaimDecision decision, bool answerStored = false)
{
    RequestEvent event { Kind::ClaimDecided };
    event.decision = decision;
    event.answerStored = answerStored;
    return event;
}

RequestEvent headOf(RequestKind kind)
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
        { "claim unknown", { Kind::ClaimUnconfirmed } },
        { "connect fails", ending(Kind::ConnectFailed, RetryPermit::NoOtherTarget) },
        { "connect fails, retry", ending(Kind::ConnectFailed, RetryPermit::Allowed) },
        { "target refuses", ending(Kind::TargetRefused, RetryPermit::NoOtherTarget) },
        { "target refuses, retry", ending(Kind::TargetRefused, RetryPermit::Allowed) },
        { "reset", ending(Kind::ConnectionReset, RetryPermit::NoOtherTarget) },
        { "reset, retry", ending(Kind::ConnectionReset, RetryPermit::Allowed) },
        { "reset, no budget", ending(Kind::ConnectionReset, RetryPermit::BudgetSpent) },
        { "cut", ending(Kind::AnswerTruncated, RetryPermit::NoOtherTarget) },
        { "silent, retry", ending(Kind::TargetTimedOut, RetryPermit::Allowed) },
        { "deadline", { Kind::DeadlinePassed } },
        { "caller gone", { Kind::CallerDisconnected } },
        { "host stops", { Kind::HostStopping } },
    };
    return all;
}

RequestActions at(RequestChecker &checker, RequestEvent event)
{
    event.attempt = checker.outcome().attempt();
    return checker.apply(event, Start);
}

// Brings a new request to a step; false if requests of its kind do not pass it.
bool bringTo(RequestChecker &checker, RequestKind kind, Step step)
{
    const bool claimed = kind == RequestKind::NonIdempotent;
    if (step == Step::Claiming && !claimed)
        return false;
    std::vector<std::pair<Step, RequestEvent>> way {
        { Step::Parsed, headOf(kind) },
        { claimed ? Step::Claiming : Step::Queued, { Kind::Received } },
        { Step::Queued, decided(ClaimDecision::Granted) },
        { Step::Connecting, { Kind::TargetChosen } },
        { Step::Sent, { Kind::Connected } },
        { Step::HeadSeen, { Kind::AnswerHeadReceived } },
        { Step::Passing, { Kind::AnswerForwardingStarted } },
    };
    for (const auto &[reached, event] : way) {
        if (reached <= step)
            (void)at(checker, event);
    }
    return true;
}

// What came of an event, for people.
std::string described(const RequestStateMachine &outcome, const RequestActions &actions)
{
    std::string text = "-";
    if (const auto &result = outcome.result()) {
        text = resultCodeName(result->code);
        text += ", ";
        text += verdictName(result->verdict);
    }
    const std::pair<bool, const char *> flags[] {
        { actions.chooseTarget, "retry" },
        { actions.releaseClaim, "release" },
        { actions.abandonClaim, "abandon" },
        { actions.readLateAnswer, "read on" },
        { actions.abortCallerConnection, "cut the caller" },
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

// Every fault at every step; a pair that is not listed has no effect.
const MatrixRow Matrix[] {
    { "unread", "shed", "overloaded, unknown", "overloaded, unknown" },
    { "unread", "leaving", "entry-host-leaving, unknown", "entry-host-leaving, unknown" },
    { "unread", "slow upload", "request-timed-out, unknown", "request-timed-out, unknown" },
    { "unread", "malformed", "malformed-request, not run", "malformed-request, not run" },
    { "unread", "deadline", "request-timed-out, unknown", "request-timed-out, unknown" },
    { "unread", "caller gone", "caller-cancelled, unknown", "caller-cancelled, unknown" },
    { "unread", "host stops", "entry-host-leaving, unknown", "entry-host-leaving, unknown" },

    { "parsed", "shed", "overloaded, not run", "overloaded, unknown" },
    { "parsed", "leaving", "entry-host-leaving, not run", "entry-host-leaving, unknown" },
    { "parsed", "slow upload", "request-timed-out, not run", "request-timed-out, unknown" },
    { "parsed", "malformed", "malformed-request, not run", "malformed-request, not run" },
    { "parsed", "deadline", "request-timed-out, not run", "request-timed-out, unknown" },
    { "parsed", "caller gone", "caller-cancelled, not run", "caller-cancelled, unknown" },
    { "parsed", "host stops", "entry-host-leaving, not run", "entry-host-leaving, unknown" },

    { "claiming", "shed", "", "overloaded, unknown + abandon" },
    { "claiming", "leaving", "", "entry-host-leaving, unknown + abandon" },
    { "claiming", "slow upload", "", "request-timed-out, unknown + abandon" },
    { "claiming", "malformed", "", "malformed-request, not run + abandon" },
    { "claiming", "claim unknown", "", "claim-unconfirmed, unknown + abandon" },
    { "claiming", "deadline", "", "claim-unconfirmed, unknown + abandon" },
    { "claiming", "caller gone", "", "caller-cancelled, unknown + abandon" },
    { "claiming", "host stops", "", "entry-host-leaving, unknown + abandon" },

    { "queued", "shed", "overloaded, not run", "overloaded, not run + release" },
    { "queued", "leaving", "entry-host-leaving, not run", "entry-host-leaving, not run + release" },
    { "queued", "slow upload", "request-timed-out, not run",
      "request-timed-out, not run + release" },
    { "queued", "malformed", "malformed-request, not run", "malformed-request, not run + release" },
    { "queued", "deadline", "deadline-exceeded-in-queue, not run",
      "deadline-exceeded-in-queue, not run + release" },
    { "queued", "caller gone", "caller-cancelled, not run", "caller-cancelled, not run + release" },
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
    { "connecting", "caller gone", "caller-cancelled, not run",
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
    { "sent", "silent, retry", "- + retry", "target-connection-lost, unknown" },
    { "sent", "deadline", "deadline-exceeded-at-target, unknown",
      "deadline-exceeded-at-target, unknown + read on" },
    { "sent", "caller gone", "caller-cancelled, unknown", "caller-cancelled, unknown + read on" },
    { "sent", "host stops", "entry-host-leaving, unknown", "entry-host-leaving, unknown" },

    { "head", "target refuses", "target-refused, not run", "target-refused, not run + release" },
    { "head", "target refuses, retry", "- + retry", "target-refused, not run + release" },
    { "head", "reset", "target-answer-truncated, unknown", "target-answer-truncated, unknown" },
    { "head", "reset, retry", "- + retry", "target-answer-truncated, unknown" },
    { "head", "reset, no budget", "retry-budget-spent, unknown",
      "target-answer-truncated, unknown" },
    { "head", "cut", "target-answer-truncated, unknown", "target-answer-truncated, unknown" },
    { "head", "silent, retry", "- + retry", "target-answer-truncated, unknown" },
    { "head", "deadline", "deadline-exceeded-at-target, unknown",
      "deadline-exceeded-at-target, unknown + read on" },
    { "head", "caller gone", "caller-cancelled, unknown", "caller-cancelled, unknown + read on" },
    { "head", "host stops", "entry-host-leaving, unknown", "entry-host-leaving, unknown" },

    { "passing", "reset", "target-answer-truncated, unknown + cut the caller",
      "target-answer-truncated, unknown + cut the caller" },
    { "passing", "reset, retry", "target-answer-truncated, unknown + cut the caller",
      "target-answer-truncated, unknown + cut the caller" },
    { "passing", "reset, no budget", "target-answer-truncated, unknown + cut the caller",
      "target-answer-truncated, unknown + cut the caller" },
    { "passing", "cut", "target-answer-truncated, unknown + cut the caller",
      "target-answer-truncated, unknown + cut the caller" },
    { "passing", "silent, retry", "target-answer-truncated, unknown + cut the caller",
      "target-answer-truncated, unknown + cut the caller" },
    { "passing", "deadline", "deadline-exceeded-at-target, unknown + cut the caller",
      "deadline-exceeded-at-target, unknown + read on + cut the caller" },
    { "passing", "caller gone", "caller-cancelled, unknown",
      "caller-cancelled, unknown + read on" },
    { "passing", "host stops", "entry-host-leaving, unknown + cut the caller",
      "entry-host-leaving, unknown + cut the caller" },
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
            if (bringTo(checker, kind, static_cast<Step>(it)))
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
    CPPUNIT_TEST(wholeAnswerIsDone);
    CPPUNIT_TEST(lateAnswersAreRecordedOnce);
    CPPUNIT_TEST(lateGrantIsReleased);
    CPPUNIT_TEST(suspendedPastTheDeadline);
    CPPUNIT_TEST(answersOfEarlierAttemptsAreIgnored);
    CPPUNIT_TEST(randomHistories);
    CPPUNIT_TEST(retryAfterGrowsAndSpreads);
    CPPUNIT_TEST(statusesFitVerdicts);
    CPPUNIT_TEST_SUITE_END();

public:
    void everyFaultAtEveryStep()
    {
        forEachStep([](RequestKind kind, Step step, const RequestChecker &reached) {
            for (const auto &fault : faults()) {
                auto checker = reached;
                const auto actions = at(checker, fault.event);
                const auto name = std::string(StepNames.at(static_cast<std::size_t>(step))) + " / "
                    + fault.name + (kind == RequestKind::Idempotent ? " / idempotent" : "");
                CPPUNIT_ASSERT_EQUAL_MESSAGE(name, expected(kind, step, fault),
                                             described(checker.outcome(), actions));
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
                    (void)at(checker, first.event);
                    const bool sent = checker.hasUnresolvedSend();
                    (void)at(checker, second.event);
                    (void)at(checker, { Kind::HostStopping });
                    checker.checkEnd();
                    const bool notRun = checker.outcome().result()->verdict == Verdict::NotRun;
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
            { decided(ClaimDecision::Granted), "- + retry" },
            { decided(ClaimDecision::Finished, true), "ok, done" },
            { decided(ClaimDecision::Finished), "result-not-kept, done" },
            { decided(ClaimDecision::Unresolved), "claim-unresolved, unknown" },
            { decided(ClaimDecision::FingerprintMismatch), "idempotency-key-reused, unknown" },
            { decided(ClaimDecision::Expired), "idempotency-key-expired, unknown" },
            { decided(ClaimDecision::Full), "claim-store-full, unknown" },
            { decided(ClaimDecision::Stale), "claim-unavailable, unknown" },
        };
        for (const auto &[event, text] : rows) {
            RequestChecker checker(Deadline);
            bringTo(checker, RequestKind::NonIdempotent, Step::Claiming);
            const auto actions = at(checker, event);
            CPPUNIT_ASSERT_EQUAL(std::string(text), described(checker.outcome(), actions));
            CPPUNIT_ASSERT_EQUAL(event.answerStored, actions.replay);
        }
    }

    void wholeAnswerIsDone()
    {
        for (const auto step : { Step::HeadSeen, Step::Passing }) {
            RequestChecker checker(Deadline);
            bringTo(checker, RequestKind::NonIdempotent, step);
            CPPUNIT_ASSERT_EQUAL(step == Step::Passing,
                                 at(checker, { Kind::BodyChunk }).forwardBody);
            const auto actions = at(checker, { Kind::AnswerEnded });
            CPPUNIT_ASSERT(actions.completeAnswer && actions.completeClaim);
            CPPUNIT_ASSERT_EQUAL(step == Step::HeadSeen, actions.forwardHead);
            CPPUNIT_ASSERT(checker.outcome().result()->verdict == Verdict::Done);
            checker.checkEnd();
        }
    }

    void lateAnswersAreRecordedOnce()
    {
        for (const auto fault : { Kind::DeadlinePassed, Kind::CallerDisconnected }) {
            RequestChecker checker(Deadline);
            bringTo(checker, RequestKind::NonIdempotent, Step::Sent);
            CPPUNIT_ASSERT(at(checker, { fault }).readLateAnswer);
            auto refused = checker;
            auto cut = checker;
            CPPUNIT_ASSERT(at(checker, { Kind::AnswerEnded }).completeClaim);
            CPPUNIT_ASSERT(!at(checker, { Kind::AnswerEnded }).completeClaim);
            CPPUNIT_ASSERT(at(refused, { Kind::TargetRefused }).releaseClaim);
            CPPUNIT_ASSERT(!at(refused, { Kind::TargetRefused }).releaseClaim);
            (void)at(cut, { Kind::AnswerTruncated });
            CPPUNIT_ASSERT(!at(cut, { Kind::AnswerEnded }).completeClaim);
        }
    }

    void lateGrantIsReleased()
    {
        RequestChecker checker(Deadline);
        bringTo(checker, RequestKind::NonIdempotent, Step::Claiming);
        (void)at(checker, { Kind::ClaimUnconfirmed });
        const auto actions = at(checker, decided(ClaimDecision::Granted));
        CPPUNIT_ASSERT(actions.releaseClaim);
        CPPUNIT_ASSERT(!actions.chooseTarget);
        (void)at(checker, { Kind::TargetChosen });
        CPPUNIT_ASSERT(!at(checker, { Kind::Connected }).send);
    }

    // A process that was suspended may handle any event before its own timer.
    void suspendedPastTheDeadline()
    {
        forEachStep([](RequestKind, Step step, const RequestChecker &reached) {
            const std::array events { RequestEvent { Kind::Received },
                                      headOf(RequestKind::Idempotent),
                                      decided(ClaimDecision::Granted),
                                      RequestEvent { Kind::TargetChosen },
                                      RequestEvent { Kind::Connected } };
            for (auto event : events) {
                auto checker = reached;
                event.attempt = checker.outcome().attempt();
                const auto actions = checker.apply(event, Deadline);
                CPPUNIT_ASSERT(!actions.send && !actions.connect && !actions.chooseTarget);
                CPPUNIT_ASSERT_EQUAL(step < Step::Sent, checker.outcome().result().has_value());
            }
        });
    }

    void answersOfEarlierAttemptsAreIgnored()
    {
        RequestChecker checker(Deadline);
        bringTo(checker, RequestKind::Idempotent, Step::Sent);
        (void)at(checker, ending(Kind::TargetTimedOut, RetryPermit::Allowed));
        (void)at(checker, { Kind::TargetChosen });
        (void)at(checker, { Kind::Connected });
        for (const auto kind : { Kind::AnswerHeadReceived, Kind::AnswerForwardingStarted,
                                 Kind::AnswerEnded, Kind::AnswerTruncated, Kind::TargetRefused }) {
            RequestEvent late { kind };
            late.attempt = 1;
            CPPUNIT_ASSERT(checker.apply(late, Start) == RequestActions {});
        }
        CPPUNIT_ASSERT(checker.outcome().phase() == RequestPhase::Sent);
        (void)at(checker, ending(Kind::TargetRefused, RetryPermit::NoOtherTarget));
        // The second target did not execute it, but the silent first one may have.
        CPPUNIT_ASSERT(checker.outcome().result()->verdict == Verdict::Unknown);
    }

    void randomHistories()
    {
        CPPUNIT_ASSERT(rc::check("every history keeps the rules and ends in one verdict", [] {
            RequestChecker checker(Deadline);
            const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
                rc::gen::arbitrary<std::uint32_t>());
            auto now = Start;
            for (const auto bits : steps) {
                now += std::chrono::milliseconds(bits >> 24U);
                (void)checker.apply(randomEvent(bits, checker.outcome()), now);
            }
            (void)checker.apply({ Kind::HostStopping }, now);
            checker.checkEnd();
        }));
    }

    void retryAfterGrowsAndSpreads()
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

    void statusesFitVerdicts()
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
    // Mostly the next event of an undisturbed request, else any event at all.
    static RequestEvent randomEvent(std::uint32_t bits, const RequestStateMachine &outcome)
    {
        static constexpr std::array Usual { Kind::HeadParsed,         Kind::ClaimDecided,
                                            Kind::TargetChosen,       Kind::Connected,
                                            Kind::AnswerHeadReceived, Kind::AnswerForwardingStarted,
                                            Kind::AnswerEnded };
        RequestEvent event;
        if (bits % 4 == 0)
            event.kind = static_cast<Kind>(bits / 4 % 19);
        else if (outcome.phase() == RequestPhase::Reading && bits % 8 < 4)
            event.kind = Kind::Received;
        else
            event.kind = Usual.at(static_cast<std::size_t>(outcome.phase()));
        event.attempt = outcome.attempt() - (bits / 128 % 8 == 0 && outcome.attempt() > 0 ? 1 : 0);
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
