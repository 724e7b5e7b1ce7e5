#include <routing/overloaded_fleet.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace {

using ggv::Duration;
using ggv::Instant;
using ggv::test::FleetShape;
using ggv::test::OverloadedFleet;
using ggv::test::PeriodResult;
using std::chrono::seconds;

constexpr std::uint64_t SeedCount = 3;
//! Time for caches to fill before the load of a test begins.
constexpr Duration FillTime = seconds(14);
//! Time within which the deployments' operators expect service to recover from losses.
constexpr Duration RecoveryTime = seconds(15);
//! Time in which empty caches are filled.
constexpr Duration CacheFillTime = seconds(12);
//! Share of requests answered on time that counts as recovered.
constexpr double RecoveredShare = 0.95;

std::string describe(std::uint64_t seed, const PeriodResult &result)
{
    return "seed " + std::to_string(seed) + ": on time " + std::to_string(result.onTime) + ", late "
        + std::to_string(result.late) + ", refused " + std::to_string(result.refused)
        + ", timed out " + std::to_string(result.timedOut);
}

/**
 * Loads under which requests that leave the target with their object cached sustain the overload:
 * elsewhere they run four times as long, time out and take slots from others.
 */
class OverloadedFleetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OverloadedFleetTest);
    CPPUNIT_TEST(surgeEndsWithItsCause);
    CPPUNIT_TEST(surgeWithImpatientCallersEndsWithItsCause);
    CPPUNIT_TEST(surgeIsRefusedAtOnce);
    CPPUNIT_TEST(lossOfAThirdOfTheTargetsIsOvercome);
    CPPUNIT_TEST(emptyCachesFillUnderHighLoad);
    CPPUNIT_TEST(restartOfAllHostsIsOvercome);
    CPPUNIT_TEST(rejectedCallersComeBackWhileTheyCanBeServed);
    CPPUNIT_TEST_SUITE_END();

public:
    // Twice the load that the targets bear, for four seconds.
    void surgeEndsWithItsCause() { checkSurge({}); }

    void surgeWithImpatientCallersEndsWithItsCause()
    {
        FleetShape shape;
        shape.callerAttempts = 3;
        shape.obeysRetryAfter = false;
        checkSurge(shape);
    }

    // Who cannot be served in time is told so, not held until the timeout.
    void surgeIsRefusedAtOnce()
    {
        constexpr double MaxTimedOut = 0.05;
        for (std::uint64_t seed = 1; seed <= SeedCount; ++seed) {
            OverloadedFleet fleet({}, seed);
            fleet.run(FillTime);
            const Instant from = fleet.now();
            fleet.setRequestsPerSecond(SurgeRate);
            fleet.run(SurgeTime);
            const Instant to = fleet.now();
            fleet.run(seconds(5));
            const auto result = fleet.result(from, to);
            CPPUNIT_ASSERT_MESSAGE(describe(seed, result), result.timedOut <= MaxTimedOut);
        }
    }

    void lossOfAThirdOfTheTargetsIsOvercome()
    {
        for (std::uint64_t seed = 1; seed <= SeedCount; ++seed) {
            OverloadedFleet fleet({}, seed);
            fleet.run(FillTime);
            fleet.removeTargets(1.0 / 3.0);
            fleet.run(RecoveryTime);
            checkRecovered(fleet, seed);
        }
    }

    void emptyCachesFillUnderHighLoad()
    {
        FleetShape shape;
        shape.requestsPerSecond = 700.0;
        for (std::uint64_t seed = 1; seed <= SeedCount; ++seed) {
            OverloadedFleet fleet(shape, seed);
            fleet.run(CacheFillTime);
            checkRecovered(fleet, seed);
        }
    }

    // New hosts know neither loads nor which target has which object.
    void restartOfAllHostsIsOvercome()
    {
        for (std::uint64_t seed = 1; seed <= SeedCount; ++seed) {
            OverloadedFleet fleet({}, seed);
            fleet.run(FillTime);
            fleet.restartHosts();
            fleet.run(seconds(2));
            checkRecovered(fleet, seed);
        }
    }

    // Targets reject more than half of the requests although they have room. In each of a caller's
    // two attempts, two requests reach the target that has the object and the third one loads it
    // elsewhere: 0.70 are on time at the first attempt, and 0.70 of the 0.17 that return.
    void rejectedCallersComeBackWhileTheyCanBeServed()
    {
        constexpr double RejectedShare = 0.55;
        constexpr double MinOnTime = 0.81;
        FleetShape shape;
        shape.requestsPerSecond = 300.0;
        for (std::uint64_t seed = 1; seed <= SeedCount; ++seed) {
            OverloadedFleet fleet(shape, seed);
            fleet.run(FillTime);
            fleet.setRejectedShare(RejectedShare);
            const Instant from = fleet.now();
            fleet.run(seconds(10));
            const Instant to = fleet.now();
            fleet.run(seconds(5));
            const auto result = fleet.result(from, to);
            CPPUNIT_ASSERT_MESSAGE(describe(seed, result), result.onTime >= MinOnTime);
        }
    }

private:
    static constexpr double SurgeRate = 1300.0;
    static constexpr Duration SurgeTime = seconds(4);

    static void checkSurge(const FleetShape &shape)
    {
        for (std::uint64_t seed = 1; seed <= SeedCount; ++seed) {
            OverloadedFleet fleet(shape, seed);
            fleet.run(FillTime);
            fleet.setRequestsPerSecond(SurgeRate);
            fleet.run(SurgeTime);
            fleet.setRequestsPerSecond(shape.requestsPerSecond);
            fleet.run(seconds(3));
            checkRecovered(fleet, seed);
        }
    }

    // Checks the requests of the next four seconds.
    static void checkRecovered(OverloadedFleet &fleet, std::uint64_t seed)
    {
        const Instant from = fleet.now();
        fleet.run(seconds(4));
        const Instant to = fleet.now();
        fleet.run(seconds(5));
        const auto result = fleet.result(from, to);
        CPPUNIT_ASSERT_MESSAGE(describe(seed, result), result.onTime >= RecoveredShare);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadedFleetTest);

} // namespace
