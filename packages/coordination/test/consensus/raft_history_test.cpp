#include "history.hpp"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using namespace ggv;
using namespace ggv::test;

class RaftHistoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RaftHistoryTest);
    CPPUNIT_TEST(propertiesHoldWithoutFaults);
    CPPUNIT_TEST(propertiesHoldUnderCrashes);
    CPPUNIT_TEST(propertiesHoldUnderPartitions);
    CPPUNIT_TEST(propertiesHoldUnderFreezesAndClockDrift);
    CPPUNIT_TEST(propertiesHoldUnderMembershipChanges);
    CPPUNIT_TEST(propertiesHoldUnderAllFaults);
    CPPUNIT_TEST_SUITE_END();

public:
    void propertiesHoldWithoutFaults() { check({}); }

    void propertiesHoldUnderCrashes() { check({ .crashes = true, .lossyNetwork = true }); }

    void propertiesHoldUnderPartitions() { check({ .partitions = true, .lossyNetwork = true }); }

    void propertiesHoldUnderFreezesAndClockDrift()
    {
        check({ .partitions = true, .freezes = true, .clockDrift = 5 });
    }

    void propertiesHoldUnderMembershipChanges()
    {
        check({ .partitions = true, .membership = true });
    }

    void propertiesHoldUnderAllFaults()
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
