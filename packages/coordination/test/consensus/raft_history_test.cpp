#include "history.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using namespace ggv;
using namespace ggv::test;

class RaftHistoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RaftHistoryTest);
    CPPUNIT_TEST(keepsPromisesWithoutFaults);
    CPPUNIT_TEST(keepsPromisesThroughCrashes);
    CPPUNIT_TEST(keepsPromisesThroughPartitions);
    CPPUNIT_TEST(keepsPromisesThroughFreezesAndClockDrift);
    CPPUNIT_TEST(keepsPromisesThroughMembershipChanges);
    CPPUNIT_TEST(keepsPromisesThroughEverything);
    CPPUNIT_TEST_SUITE_END();

public:
    void keepsPromisesWithoutFaults() { check({}); }

    void keepsPromisesThroughCrashes() { check({ .crashes = true, .lossyNetwork = true }); }

    void keepsPromisesThroughPartitions() { check({ .partitions = true, .lossyNetwork = true }); }

    void keepsPromisesThroughFreezesAndClockDrift()
    {
        check({ .partitions = true, .freezes = true, .clockDrift = 5 });
    }

    void keepsPromisesThroughMembershipChanges()
    {
        check({ .partitions = true, .membership = true });
    }

    void keepsPromisesThroughEverything()
    {
        check({ .crashes = true,
                .partitions = true,
                .freezes = true,
                .lossyNetwork = true,
                .membership = true,
                .clockDrift = 5 });
    }

private:
    static constexpr int Events = 150;

    static void check(HistoryShape shape)
    {
        for (const std::size_t members : { 3, 5 }) {
            shape.members = members;
            std::size_t histories = 0;
            std::size_t accepted = 0;
            std::size_t reads = 0;
            CPPUNIT_ASSERT(rc::check([&, shape](std::uint64_t seed) {
                History history(shape, seed);
                const Cluster &cluster = history.runEvents(Events);
                ++histories;
                accepted += cluster.accepted();
                reads += cluster.confirmedReads();
            }));
            CPPUNIT_ASSERT(accepted > 5 * histories && reads > histories);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RaftHistoryTest);

} // namespace
