#include <ggv/state/steering/drain_schedule.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cmath>
#include <vector>

namespace {

using namespace ggv;

constexpr auto Second = Duration(1'000'000);

class DrainScheduleTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DrainScheduleTest);
    CPPUNIT_TEST(weightFallsFromOneToZero);
    CPPUNIT_TEST(lowestWeightOfSeveralDrainsApplies);
    CPPUNIT_TEST(everySecondStaysUnderTheCap);
    CPPUNIT_TEST(rampStartsLowAndGrowsOnlyWithUse);
    CPPUNIT_TEST_SUITE_END();

public:
    void weightFallsFromOneToZero()
    {
        CPPUNIT_ASSERT(rc::check("non-increasing, 1 before startsAt, 0 from emptyAt on", [] {
            const auto startsAt = *rc::gen::inRange<UnixMillis>(0, 100'000);
            const auto length = *rc::gen::inRange<UnixMillis>(0, 100'000);
            const DrainWindow window { startsAt, startsAt + length };
            const auto early = *rc::gen::inRange<UnixMillis>(-10'000, 300'000);
            const auto late = early + *rc::gen::inRange<UnixMillis>(0, 10'000);
            RC_ASSERT(drainWeight(window, late) <= drainWeight(window, early));
            RC_ASSERT(early >= startsAt || drainWeight(window, early) == 1.0);
            RC_ASSERT(late < window.emptyAt || drainWeight(window, late) == 0.0);
            RC_ASSERT(early >= window.emptyAt || drainWeight(window, early) > 0.0);
            RC_ASSERT(drainWeight(window, window.emptyAt) == 0.0);
            RC_ASSERT(drainWeight({ startsAt, startsAt }, startsAt) == 0.0);
        }));
    }

    void lowestWeightOfSeveralDrainsApplies()
    {
        const std::vector<DrainWindow> windows { { 0, 100 }, { 50, 100 } };
        CPPUNIT_ASSERT_EQUAL(0.25, drainWeight(windows, 75));
        CPPUNIT_ASSERT_EQUAL(1.0, drainWeight(std::span<const DrainWindow> {}, 75));
    }

    void everySecondStaysUnderTheCap()
    {
        CPPUNIT_ASSERT(rc::check("shifts in any window of one second are within the cap", [] {
            const auto cap = *rc::gen::inRange(0, 60);
            const auto gaps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 120'000));
            ShiftRamp ramp({ .startRate = 30.0, .growthPerSecond = 1.0 });
            std::vector<Instant> shifted;
            Instant now { Second };
            for (const auto gap : gaps) {
                now += Duration(gap);
                while (ramp.tryShift(cap, now))
                    shifted.push_back(now);
            }
            for (std::size_t n = static_cast<std::size_t>(cap); n < shifted.size(); ++n)
                RC_ASSERT(shifted[n] - shifted[n - static_cast<std::size_t>(cap)] >= Second);
        }));
    }

    void rampStartsLowAndGrowsOnlyWithUse()
    {
        constexpr double Cap = 100.0;
        const ShiftRampPolicy policy { .startRate = 10.0, .growthPerSecond = 0.5 };
        ShiftRamp used(policy);
        ShiftRamp idle(policy);
        for (Instant now { Second }; now < Instant { 20 * Second }; now += Second / 200) {
            (void)used.tryShift(Cap, now);
            if (now.time_since_epoch() % (4 * Second) == Duration::zero())
                (void)idle.tryShift(Cap, now);
        }
        CPPUNIT_ASSERT_EQUAL(Cap, used.allowedRate(Cap));
        CPPUNIT_ASSERT_EQUAL(policy.startRate, idle.allowedRate(Cap));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainScheduleTest);

} // namespace
