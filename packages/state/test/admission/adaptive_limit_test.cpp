#include <ggv/state/admission/adaptive_limit.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <vector>

namespace {

using namespace ggv;

constexpr std::uint32_t Leased = 20;
constexpr auto BaselineLatency = Duration(20'000);
constexpr auto Step = Duration(100'000);

void succeed(AdaptiveLimit &limit, Duration latency, int times, Instant &now)
{
    for (int n = 0; n < times; ++n) {
        now += Step;
        limit.onSuccess(latency, now);
    }
}

class AdaptiveLimitTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdaptiveLimitTest);
    CPPUNIT_TEST(limitIsBetweenOneAndTheLease);
    CPPUNIT_TEST(overloadLowersAndSuccessesRaiseTheLimit);
    CPPUNIT_TEST(highLatencyLowersTheLimit);
    CPPUNIT_TEST(coldTargetRampsUp);
    CPPUNIT_TEST(missingReportsNeverRaiseTheLimit);
    CPPUNIT_TEST_SUITE_END();

public:
    void limitIsBetweenOneAndTheLease()
    {
        CPPUNIT_ASSERT(rc::check("1 <= limit <= leased slots", [] {
            auto limit = AdaptiveLimit::warm();
            Instant now {};
            for (const auto event :
                 *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40))) {
                now += Step;
                if (event < 10)
                    limit.onOverload(now);
                else if (event < 20)
                    limit.onReport({ Leased, static_cast<std::uint32_t>(event) * 2 }, now);
                else
                    limit.onSuccess(BaselineLatency * event, now);
            }
            const auto leased = *rc::gen::inRange<std::uint32_t>(0, 50);
            RC_ASSERT(limit.limit(leased) <= leased);
            RC_ASSERT(leased == 0 || limit.limit(leased) >= 1);
        }));
    }

    void overloadLowersAndSuccessesRaiseTheLimit()
    {
        auto limit = AdaptiveLimit::warm();
        Instant now {};
        succeed(limit, BaselineLatency, 10, now);
        limit.onOverload(now);
        limit.onOverload(now);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 14 }, limit.limit(Leased));
        succeed(limit, BaselineLatency, 10, now);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 16 }, limit.limit(Leased));
        succeed(limit, BaselineLatency, 30, now);
        CPPUNIT_ASSERT_EQUAL(Leased, limit.limit(Leased));
    }

    void highLatencyLowersTheLimit()
    {
        auto limit = AdaptiveLimit::warm();
        Instant now {};
        succeed(limit, BaselineLatency, 100, now);
        succeed(limit, 6 * BaselineLatency, 20, now);
        CPPUNIT_ASSERT(limit.limit(Leased) < Leased / 2);
        for (int n = 0; n < 10; ++n)
            succeed(limit, BaselineLatency * (1 << n), 10, now);
        CPPUNIT_ASSERT(limit.limit(Leased) >= 2 * Leased / 5);
    }

    void coldTargetRampsUp()
    {
        auto limit = AdaptiveLimit::cold();
        Instant now {};
        CPPUNIT_ASSERT_EQUAL(Leased / 4, limit.limit(Leased));
        succeed(limit, BaselineLatency, 100, now);
        CPPUNIT_ASSERT_EQUAL(Leased, limit.limit(Leased));
        limit.reset();
        CPPUNIT_ASSERT_EQUAL(Leased / 4, limit.limit(Leased));
    }

    void missingReportsNeverRaiseTheLimit()
    {
        auto limit = AdaptiveLimit::warm();
        Instant now {};
        limit.onReport({ 3, 0 }, now);
        succeed(limit, BaselineLatency, 1'000, now);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 3 }, limit.limit(Leased));
        limit.onReport({ 100, 0 }, now);
        CPPUNIT_ASSERT_EQUAL(Leased, limit.limit(Leased));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdaptiveLimitTest);

} // namespace
