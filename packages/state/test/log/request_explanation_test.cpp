#include <ggv/state/log/request_explanation.hpp>

#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using ggv::LoggedEvent;
using ggv::RequestExplanation;
using Fields = std::map<std::string, std::string>;

LoggedEvent at(std::int64_t millis, const std::string &process, const std::string &event,
               Fields fields = {})
{
    // Each process has its own uptime.
    const std::int64_t uptime
        = millis * 1000 + static_cast<std::int64_t>(process.size()) * 7'000'000;
    return { millis, uptime, process, event, std::move(fields) };
}

RequestExplanation tell(const std::string &id, const std::vector<LoggedEvent> &log)
{
    return ggv::explainRequest(id, [&log](const auto &reader) {
        for (const auto &it : log)
            reader(it);
    });
}

bool says(const RequestExplanation &story, const std::string &text)
{
    return std::any_of(story.evidence.begin(), story.evidence.end(),
                       [&text](const auto &it) { return it.find(text) != std::string::npos; });
}

class RequestExplanationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestExplanationTest);
    CPPUNIT_TEST(readsLines);
    CPPUNIT_TEST(nothingIsToldOfAnUnknownRequest);
    CPPUNIT_TEST(aLostTargetIsNamed);
    CPPUNIT_TEST(anOldConfigurationIsNamed);
    CPPUNIT_TEST(aFullServiceIsNamed);
    CPPUNIT_TEST(earlierAndLaterStartsSayNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void readsLines()
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

    void nothingIsToldOfAnUnknownRequest()
    {
        CPPUNIT_ASSERT(tell("r", { at(1, "e", "process-started") }).lines.empty());
    }

    void aLostTargetIsNamed()
    {
        const auto story = tell(
            "r",
            { at(100, "e", "target-list-in-force", { { "targets", "9" } }),
              at(900, "other", "attempt-failed", { { "request", "q" }, { "target", "t" } }),
              at(950, "e", "attempt-failed", { { "request", "r" }, { "target", "t" } }),
              at(951, "e", "request-failed",
                 { { "request", "r" }, { "target", "t" }, { "reason", "target-lost" } }),
              at(9000, "e", "target-belief", { { "target", "t" }, { "belief", "delisted" } }) });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, story.lines.size());
        CPPUNIT_ASSERT(story.cause.find("after it was sent") != std::string::npos);
        CPPUNIT_ASSERT(says(story, "1 other attempt failed at t"));
        CPPUNIT_ASSERT(says(story, "t was delisted 8.0 s later"));
        CPPUNIT_ASSERT(ggv::Duration(851'000) == story.beliefs.front().age);
    }

    void anOldConfigurationIsNamed()
    {
        const auto story = tell(
            "r",
            { at(100, "c", "configuration-ordered", { { "version", "7" }, { "outcome", "ok" } }),
              at(150, "c", "configuration-ordered",
                 { { "version", "8" }, { "outcome", "version-conflict" } }),
              at(200, "e", "control-host-lost", { { "state_age_ms", "1500" } }),
              at(900, "e", "request-refused",
                 { { "request", "r" }, { "version", "4" }, { "reason", "no-route" } }),
              at(950, "c", "configuration-ordered", { { "version", "9" }, { "outcome", "ok" } }) });
        CPPUNIT_ASSERT(story.cause.find("no route") != std::string::npos);
        CPPUNIT_ASSERT(says(story, "version 4 although version 7"));
        CPPUNIT_ASSERT(says(story, "lost its control host, with state of 1.5 s"));
    }

    void aFullServiceIsNamed()
    {
        const auto story = tell(
            "r",
            { at(100, "e", "target-belief",
                 { { "target", "t1" }, { "service", "s" }, { "belief", "down" } }),
              at(110, "e", "target-belief",
                 { { "target", "t2" },
                   { "service", "s" },
                   { "belief", "cold" },
                   { "lasts_ms", "5000" } }),
              at(120, "e", "target-belief",
                 { { "target", "t3" },
                   { "service", "s" },
                   { "belief", "cold" },
                   { "lasts_ms", "100" } }),
              at(900, "e", "request-refused",
                 { { "request", "r" }, { "service", "s" }, { "reason", "targets-full" } }) });
        CPPUNIT_ASSERT(story.cause.find("longer queue") != std::string::npos);
        CPPUNIT_ASSERT(says(story, "1 target of s down"));
        CPPUNIT_ASSERT(says(story, "1 target of s cold"));
    }

    // The clock of a machine that lost power begins anew.
    void earlierAndLaterStartsSayNothing()
    {
        auto earlier = at(10, "e", "configuration-in-force", { { "version", "1" } });
        earlier.uptimeUs = 5;
        auto later = at(9000, "e", "target-list-in-force");
        later.uptimeUs = 1;
        const auto story = tell("r",
                                { earlier, at(100, "e", "process-started"),
                                  at(900, "e", "request-refused",
                                     { { "request", "r" }, { "reason", "no-configuration" } }),
                                  at(8999, "e", "process-started"), later });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, story.beliefs.size());
        CPPUNIT_ASSERT_EQUAL(std::string("process-started"), story.beliefs.front().event.event);
        CPPUNIT_ASSERT(ggv::Duration(800'000) == story.beliefs.front().age);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestExplanationTest);

} // namespace
