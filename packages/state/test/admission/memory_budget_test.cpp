#include <ggv/state/admission/memory_budget.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <optional>

namespace {

using ggv::MemoryBudget;
using ggv::MemoryReservation;

class MemoryBudgetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MemoryBudgetTest);
    CPPUNIT_TEST(sumOfReservationsIsBounded);
    CPPUNIT_TEST(endedReservationIsReturned);
    CPPUNIT_TEST(hugeSizesDoNotOverflow);
    CPPUNIT_TEST_SUITE_END();

public:
    void sumOfReservationsIsBounded()
    {
        const MemoryBudget budget(100);
        auto one = budget.reservation();
        auto other = budget.reservation();
        CPPUNIT_ASSERT(one.tryGrowTo(60));
        CPPUNIT_ASSERT(one.tryGrowTo(10));
        CPPUNIT_ASSERT(!other.tryGrowTo(41));
        CPPUNIT_ASSERT(other.tryGrowTo(40));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 100 }, budget.used());
    }

    void endedReservationIsReturned()
    {
        const MemoryBudget budget(100);
        {
            auto first = budget.reservation();
            CPPUNIT_ASSERT(first.tryGrowTo(100));
            const MemoryReservation moved(std::move(first));
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, budget.used());
    }

    void hugeSizesDoNotOverflow()
    {
        const MemoryBudget budget(100);
        auto first = budget.reservation();
        CPPUNIT_ASSERT(first.tryGrowTo(1));
        auto second = budget.reservation();
        CPPUNIT_ASSERT(!second.tryGrowTo(std::numeric_limits<std::uint64_t>::max()));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, budget.used());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryBudgetTest);

} // namespace
