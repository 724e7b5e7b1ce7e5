#include <fleet/membership_simulation.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using ggv::test::MembershipFault;
using ggv::test::MembershipSimulation;

constexpr int Faults = static_cast<int>(MembershipFault::Count);
//! Rounds of the same fault, each of which may leave a lost voter behind.
constexpr std::size_t Rounds = 4;
constexpr std::uint64_t SeedsPerFault = 10;

class MembershipSimulationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MembershipSimulationTest);
    CPPUNIT_TEST(everyFaultInSeries);
    CPPUNIT_TEST(randomSeriesOfFaults);
    CPPUNIT_TEST(hostsOfAnOlderBuildBringNoLostHostBack);
    CPPUNIT_TEST(learnersThatNeverCatchUpKeepNoLostVoter);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against lost hosts that stay in the quorum until a loss within the limits leaves no
    // majority, and against a lost host that is added again on late or relayed reports.
    void everyFaultInSeries()
    {
        for (int n = 0; n < Faults; ++n) {
            for (std::uint64_t seed = 0; seed < SeedsPerFault; ++seed) {
                const std::vector series(Rounds, static_cast<MembershipFault>(n));
                check(seed, series);
            }
        }
    }

    void randomSeriesOfFaults()
    {
        CPPUNIT_ASSERT(rc::check("the voters are the live hosts", [](std::uint64_t seed) {
            const auto faults = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, Faults));
            std::vector<MembershipFault> series;
            series.reserve(faults.size());
            for (const int it : faults)
                series.push_back(static_cast<MembershipFault>(it));
            MembershipSimulation simulation(seed);
            simulation.play(series);
            RC_ASSERT(simulation.alwaysHadMajority());
            RC_ASSERT(simulation.neverAddedLostHost());
            RC_ASSERT(simulation.alwaysSettled());
        }));
    }

    // Guards against what a woken host of an older build, which reads old messages as new, relays.
    void hostsOfAnOlderBuildBringNoLostHostBack()
    {
        constexpr int OldHosts = 3;
        for (std::uint64_t seed = 0; seed < SeedsPerFault; ++seed)
            check(seed, { MembershipFault::ReplaceBesideFreeze }, OldHosts);
    }

    // Guards against a learner that is alive, but too slow, and keeps lost hosts voters.
    void learnersThatNeverCatchUpKeepNoLostVoter()
    {
        for (std::uint64_t seed = 0; seed < SeedsPerFault; ++seed) {
            MembershipSimulation simulation(seed);
            simulation.stopCatchUp();
            simulation.play({ MembershipFault::LoseSuccessor });
            CPPUNIT_ASSERT_EQUAL(std::size_t { 5 }, simulation.voters());
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, simulation.learners());
            CPPUNIT_ASSERT(simulation.alwaysHadMajority());
        }
    }

private:
    static void check(std::uint64_t seed, const std::vector<MembershipFault> &series,
                      int oldHosts = 0)
    {
        MembershipSimulation simulation(seed, oldHosts);
        simulation.play(series);
        const std::string message = "fault " + std::to_string(static_cast<int>(series.front()))
            + ", seed " + std::to_string(seed);
        CPPUNIT_ASSERT_MESSAGE(message, simulation.alwaysHadMajority());
        CPPUNIT_ASSERT_MESSAGE(message, simulation.neverAddedLostHost());
        CPPUNIT_ASSERT_MESSAGE(message, simulation.alwaysSettled());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipSimulationTest);

} // namespace
