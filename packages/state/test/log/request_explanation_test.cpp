#include <ggv/state/log/request_explanation.hpp>

#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using ggv::LoggedEvent;
using ggv::RequestExplanation;
using Fields = std::map<std::string, std::string>;

LoggedEvent makeEvent(std::int64_t millis, const std::string &process, const std::string &event,
                      Fields fields = {})
{
    // Each process has a different offset of its monotonic clock.
    const std::int64_t uptime
        = millis * 1000 + static_cast<std::int64_t>(process.size()) * 7'000'000;
    return { millis, uptime, process, event, std::move(fields) };
}

RequestExplanation explain(const std::string &id, const std::vector<LoggedEvent> &log)
{
    return ggv::explainRequest(id, [&log](const auto &reader) {
        for (const auto &it : log)
            reader(it);
    });
}

bool hasEvidence(const RequestExplanation &explanation, const std::string &text)
{
    return std::any_of(explanation.evidence.begin(), explanation.evidence.end(),
                       [&text](const auto &it) { return it.find(text) != std::string::npos; });
}

class RequestExplanationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestExplanationTest);
    CPPUNIT_TEST(parsesLines);
    CPPUNIT_TEST(unknownRequestHasNoLines);
    CPPUNIT_TEST(reportsLostTarget);
    CPPUNIT_TEST(reportsOutdatedConfiguration);
    CPPUNIT_TEST(reportsFullService);
    CPPUNIT_TEST(ignoresEarlierAndLaterRuns);
    CPPUNIT_TEST_SUITE_END();

public:
    void parsesLines()
    {
        const auto event = LoggedEvent::parse(
            R"([info] {"time_ms":5,"uptime_us":6,"process":"p","event":"e","n":7,"t":"x"})");
        CPPUNIT_ASSERT(event.has_value());
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 5 }, event->timeMs);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 7 }, event->number("n"));
        CPPUNIT_ASSERT_EQUAL(std::string("x"), event->text("t"));
        CPPUNIT_ASSERT(!LoggedEvent::parse("{\"time_ms\":5").has_value());
        CPPUNIT_ASSERT(!LoggedEvent::parse("[]").has_value());
        CPPUNIT_ASSERT(!LoggedEvent::parse("").has_value());
    }

    void unknownRequestHasNoLines()
    {
        CPPUNIT_ASSERT(explain("r", { makeEvent(1, "e", "process-started") }).lines.empty());
    }

    void reportsLostTarget()
    {
        const auto explanation = explain(
            "r",
            { makeEvent(100, "e", "target-list-in-force", { { "targets", "9" } }),
              makeEvent(900, "other", "attempt-failed", { { "request", "q" }, { "target", "t" } }),
              makeEvent(950, "e", "attempt-failed", { { "request", "r" }, { "target", "t" } }),
              makeEvent(951, "e", "request-failed",
                        { { "request", "r" }, { "target", "t" }, { "reason", "target-lost" } }),
              makeEvent(9000, "e", "target-belief",
                        { { "target", "t" }, { "belief", "delisted" } }) });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, explanation.lines.size());
        CPPUNIT_ASSERT(explanation.cause.find("after it was sent") != std::string::npos);
        CPPUNIT_ASSERT(hasEvidence(explanation, "1 other attempt failed at t"));
        CPPUNIT_ASSERT(hasEvidence(explanation, "t was delisted 8.0 s later"));
        CPPUNIT_ASSERT(ggv::Duration(851'000) == explanation.recordedStates.front().age);
    }

    void reportsOutdatedConfiguration()
    {
        const auto explanation = explain(
            "r",
            { makeEvent(100, "c", "configuration-ordered",
                        { { "version", "7" }, { "outcome", "ok" } }),
              makeEvent(150, "c", "configuration-ordered",
                        { { "version", "8" }, { "outcome", "version-conflict" } }),
              makeEvent(200, "e", "control-host-lost", { { "state_age_ms", "1500" } }),
              makeEvent(900, "e", "request-refused",
                        { { "request", "r" }, { "version", "4" }, { "reason", "no-route" } }),
              makeEvent(950, "c", "configuration-ordered",
                        { { "version", "9" }, { "outcome", "ok" } }) });
        CPPUNIT_ASSERT(explanation.cause.find("no route") != std::string::npos);
        CPPUNIT_ASSERT(hasEvidence(explanation, "version 4 although version 7"));
        CPPUNIT_ASSERT(hasEvidence(explanation, "lost its control host, with state of 1.5 s"));
    }

    void reportsFullService()
    {
        const auto explanation = explain(
            "r",
            { makeEvent(100, "e", "target-belief",
                        { { "target", "t1" }, { "service", "s" }, { "belief", "down" } }),
              makeEvent(110, "e", "target-belief",
                        { { "target", "t2" },
                          { "service", "s" },
                          { "belief", "cold" },
                          { "lasts_ms", "5000" } }),
              makeEvent(120, "e", "target-belief",
                        { { "target", "t3" },
                          { "service", "s" },
                          { "belief", "cold" },
                          { "lasts_ms", "100" } }),
              makeEvent(
                  900, "e", "request-refused",
                  { { "request", "r" }, { "service", "s" }, { "reason", "targets-full" } }) });
        CPPUNIT_ASSERT(explanation.cause.find("longer queue") != std::string::npos);
        CPPUNIT_ASSERT(hasEvidence(explanation, "1 target of s down"));
        CPPUNIT_ASSERT(hasEvidence(explanation, "1 target of s cold"));
    }

    // The monotonic clock of a machine restarts after a power loss, so that lines of earlier and
    // later runs of the process must not be ordered by it.
    void ignoresEarlierAndLaterRuns()
    {
        auto earlier = makeEvent(10, "e", "configuration-in-force", { { "version", "1" } });
        earlier.uptimeUs = 5;
        auto later = makeEvent(9000, "e", "target-list-in-force");
        later.uptimeUs = 1;
        const auto explanation
            = explain("r",
                      { earlier, makeEvent(100, "e", "process-started"),
                        makeEvent(900, "e", "request-refused",
                                  { { "request", "r" }, { "reason", "no-configuration" } }),
                        makeEvent(8999, "e", "process-started"), later });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, explanation.recordedStates.size());
        CPPUNIT_ASSERT_EQUAL(std::string("process-started"),
                             explanation.recordedStates.front().event.event);
        CPPUNIT_ASSERT(ggv::Duration(800'000) == explanation.recordedStates.front().age);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestExplanationTest);

} // namespace
