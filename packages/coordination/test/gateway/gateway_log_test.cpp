#include <gateway/gateway_fixture.hpp>
#include <log/captured_output.hpp>

#include <ggv/state/log/request_explanation.hpp>

#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using namespace ggv::test;
using ggv::LoggedEvent;
using ggv::RequestKind;

constexpr std::string_view CallerId = "1";

const std::vector<ScriptedTarget::Script> &scripts()
{
    static const std::vector<ScriptedTarget::Script> all { good,       refused,   failing, lost,
                                                           cut,        foreign,   moved,   unsealed,
                                                           busyButRan, untilClose };
    return all;
}

bool isEnd(const LoggedEvent &event)
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

// A failure is played; only its log is kept.
std::string playedCause(ScriptedTarget::Script script, const std::string &timeLeft = "300",
                        const std::string &path = "/a/1")
{
    const CapturedOutput output;
    GatewayFixture world;
    world.addTarget(std::move(script));
    world.start(RequestKind::NonIdempotent, 2);
    (void)world.call(timeLeft, path);
    return causeOf(output.events());
}

std::string closedCause()
{
    const CapturedOutput output;
    GatewayFixture world;
    world.addClosedTarget();
    world.start(RequestKind::NonIdempotent, 2);
    (void)world.call();
    return causeOf(output.events());
}

class GatewayLogTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayLogTest);
    CPPUNIT_TEST(eachAnswerHasOneLineWithItsReason);
    CPPUNIT_TEST(aLargeAnswerHasItsLine);
    CPPUNIT_TEST(theLogAloneNamesTheCause);
    CPPUNIT_TEST_SUITE_END();

public:
    void eachAnswerHasOneLineWithItsReason()
    {
        CPPUNIT_ASSERT(rc::check("one line ends each request", [] {
            const auto numbers = *rc::gen::nonEmpty(rc::gen::container<std::vector<std::size_t>>(
                rc::gen::inRange<std::size_t>(0, scripts().size())));
            const bool once = *rc::gen::arbitrary<bool>();
            const auto path = *rc::gen::element<std::string>("/a/1", "/a/2", "/none/1");
            const auto time = *rc::gen::element<std::string>("2000", "20");
            const CapturedOutput output;
            GatewayFixture world;
            for (std::size_t n = 0; n < std::min<std::size_t>(numbers.size(), MaxTargets); ++n)
                world.addTarget(scripts()[numbers[n]]);
            world.start(once ? RequestKind::NonIdempotent : RequestKind::Idempotent, 2);
            const auto text = world.call(time, path);
            const auto events = output.events();
            RC_ASSERT(std::count_if(events.begin(), events.end(), isEnd) == 1);
            const auto end = std::find_if(events.begin(), events.end(), isEnd);
            RC_ASSERT(end->text("status") == text.substr(9, 3));
            RC_ASSERT(!end->text("reason").empty());
            RC_ASSERT(causeOf(events).find("no line says") == std::string::npos);
        }));
    }

    void aLargeAnswerHasItsLine()
    {
        const CapturedOutput output;
        GatewayFixture world;
        const std::string body(200'000, 'x');
        world.addTarget([&body](const std::string &) {
            return ScriptedAnswer { answer("200", Id + Seal, body), false, false };
        });
        world.start(RequestKind::Idempotent, 2);
        CPPUNIT_ASSERT(world.call().ends_with(body));
        const auto events = output.events();
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t { 1 },
                             std::count_if(events.begin(), events.end(), isEnd));
    }

    void theLogAloneNamesTheCause()
    {
        assertNames("ended or garbled the exchange after it was sent", playedCause(lost));
        assertNames("ended or garbled the exchange after it was sent", playedCause(foreign));
        assertNames("gave no answer in the request's time", playedCause(silent));
        assertNames("targets refused it", playedCause(refused));
        assertNames("no connection to the targets", closedCause());
        assertNames("answered with a failure", playedCause(failing));
        assertNames("too little of its time", playedCause(good, "20"));
        assertNames("no route", playedCause(good, "300", "/none/1"));
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
