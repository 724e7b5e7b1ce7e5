#include <gateway/gateway_fixture.hpp>
#include <log/captured_output.hpp>

#include <ggv/state/log/request_explanation.hpp>

#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using namespace ggv::test;
using ggv::LoggedEvent;
using ggv::RouteKind;

constexpr std::string_view CallerId = "1";

const std::vector<ScriptedTarget::Script> &scripts()
{
    static const std::vector<ScriptedTarget::Script> all {
        success,        notExecuted,         serverError,
        connectionLost, truncated,           wrongRequestId,
        replacedTarget, answerWithoutMarker, unavailableAfterExecution,
        closeDelimited
    };
    return all;
}

bool isCompletion(const LoggedEvent &event)
{
    return event.text("request") == CallerId
        && (event.event == "request-answered" || event.event == "request-refused"
            || event.event == "request-failed" || event.event == "request-abandoned");
}

std::string causeOf(const std::vector<LoggedEvent> &log)
{
    return ggv::explainRequest(std::string(CallerId),
                               [&log](const auto &reader) {
                                   for (const auto &it : log)
                                       reader(it);
                               })
        .cause;
}

// Runs a request against the scripted target and explains the outcome from the log alone.
std::string loggedCause(ScriptedTarget::Script script, const std::string &remainingTime = "300",
                        const std::string &path = "/a/1")
{
    const CapturedOutput output;
    GatewayFixture fixture;
    fixture.addTarget(std::move(script));
    fixture.start(RouteKind::NonIdempotent, 2);
    (void)fixture.call(remainingTime, path);
    return causeOf(output.events());
}

std::string loggedCauseOfClosedTarget()
{
    const CapturedOutput output;
    GatewayFixture fixture;
    fixture.addClosedTarget();
    fixture.start(RouteKind::NonIdempotent, 2);
    (void)fixture.call();
    return causeOf(output.events());
}

class GatewayLogTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayLogTest);
    CPPUNIT_TEST(eachRequestLogsOneCompletionWithReason);
    CPPUNIT_TEST(streamedAnswerLogsOneCompletion);
    CPPUNIT_TEST(logExplainsTheCause);
    CPPUNIT_TEST_SUITE_END();

public:
    void eachRequestLogsOneCompletionWithReason()
    {
        CPPUNIT_ASSERT(rc::check("exactly one completion event is logged per request", [] {
            const auto numbers = *rc::gen::nonEmpty(rc::gen::container<std::vector<std::size_t>>(
                rc::gen::inRange<std::size_t>(0, scripts().size())));
            const bool isNonIdempotent = *rc::gen::arbitrary<bool>();
            const auto path = *rc::gen::element<std::string>("/a/1", "/a/2", "/none/1");
            const auto time = *rc::gen::element<std::string>("2000", "20");
            const CapturedOutput output;
            GatewayFixture fixture;
            for (std::size_t n = 0; n < std::min<std::size_t>(numbers.size(), MaxTargets); ++n)
                fixture.addTarget(scripts()[numbers[n]]);
            fixture.start(isNonIdempotent ? RouteKind::NonIdempotent : RouteKind::Idempotent, 2);
            const auto text = fixture.call(time, path);
            const auto events = output.events();
            RC_ASSERT(std::count_if(events.begin(), events.end(), isCompletion) == 1);
            const auto end = std::find_if(events.begin(), events.end(), isCompletion);
            RC_ASSERT(end->text("status") == text.substr(9, 3));
            RC_ASSERT(!end->text("reason").empty());
            RC_ASSERT(causeOf(events).find("no line says") == std::string::npos);
        }));
    }

    void streamedAnswerLogsOneCompletion()
    {
        const CapturedOutput output;
        GatewayFixture fixture;
        const std::string body(200'000, 'x');
        fixture.addTarget([&body](const std::string &) {
            return ScriptedAnswer { answer("200", IdHeader + MarkerHeader, body), false, false };
        });
        fixture.start(RouteKind::Idempotent, 2);
        CPPUNIT_ASSERT(fixture.call().ends_with(body));
        const auto events = output.events();
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t { 1 },
                             std::count_if(events.begin(), events.end(), isCompletion));
    }

    void logExplainsTheCause()
    {
        assertNames("ended or garbled the exchange after it was sent", loggedCause(connectionLost));
        assertNames("ended or garbled the exchange after it was sent", loggedCause(wrongRequestId));
        assertNames("gave no answer in the request's time", loggedCause(noAnswer));
        assertNames("targets refused it", loggedCause(notExecuted));
        assertNames("no connection to the targets", loggedCauseOfClosedTarget());
        assertNames("answered with a failure", loggedCause(serverError));
        assertNames("too little of its time", loggedCause(success, "20"));
        assertNames("no route", loggedCause(success, "300", "/none/1"));
    }

private:
    static constexpr std::size_t MaxTargets = 3;

    static void assertNames(const std::string &expected, const std::string &cause)
    {
        CPPUNIT_ASSERT_MESSAGE(cause, cause.find(expected) != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayLogTest);

} // namespace
