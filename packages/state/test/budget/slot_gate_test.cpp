#include <ggv/state/budget/slot_gate.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <atomic>
#include <thread>
#include <vector>

namespace {

using ggv::BudgetUnits;
using ggv::Instant;
using ggv::SlotGate;
using ggv::SlotPermit;

constexpr Instant Now { std::chrono::seconds(10) };
constexpr Instant Later { std::chrono::seconds(12) };

class SlotGateTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SlotGateTest);
    CPPUNIT_TEST(admitsUpToTheLimit);
    CPPUNIT_TEST(limitExpires);
    CPPUNIT_TEST(loweredLimitKeepsRequestsInFlight);
    CPPUNIT_TEST(permitIsReleasedOnce);
    CPPUNIT_TEST(threadsNeverExceedTheLimit);
    CPPUNIT_TEST_SUITE_END();

public:
    void admitsUpToTheLimit()
    {
        CPPUNIT_ASSERT(rc::check("admitted requests equal the limit", [](std::uint8_t limit) {
            SlotGate gate;
            gate.setLimit(limit, Later, 0);
            std::vector<SlotPermit> permits;
            for (unsigned n = 0; n < 300; ++n) {
                if (SlotPermit it = gate.tryAcquire(Now))
                    permits.push_back(std::move(it));
            }
            RC_ASSERT(permits.size() == limit);
            RC_ASSERT(gate.inFlight() == limit);
        }));
    }

    void limitExpires()
    {
        SlotGate gate;
        gate.setLimit(3, Later, 1);
        CPPUNIT_ASSERT_EQUAL(BudgetUnits { 3 }, gate.limitAt(Later - ggv::Duration(1)));
        CPPUNIT_ASSERT_EQUAL(BudgetUnits { 1 }, gate.limitAt(Later));
        const SlotPermit first = gate.tryAcquire(Later);
        CPPUNIT_ASSERT(first);
        CPPUNIT_ASSERT(!gate.tryAcquire(Later));
        CPPUNIT_ASSERT(gate.tryAcquire(Now));
    }

    void loweredLimitKeepsRequestsInFlight()
    {
        SlotGate gate;
        gate.setLimit(2, Later, 0);
        SlotPermit one = gate.tryAcquire(Now);
        SlotPermit two = gate.tryAcquire(Now);
        gate.setLimit(1, Later, 0);
        CPPUNIT_ASSERT_EQUAL(BudgetUnits { 2 }, gate.inFlight());
        one.release();
        CPPUNIT_ASSERT(!gate.tryAcquire(Now));
        two.release();
        CPPUNIT_ASSERT(gate.tryAcquire(Now));
    }

    void permitIsReleasedOnce()
    {
        SlotGate gate;
        gate.setLimit(5, Later, 0);
        {
            SlotPermit one = gate.tryAcquire(Now);
            SlotPermit two = std::move(one);
            one = std::move(two);
            one.release();
            one.release();
            CPPUNIT_ASSERT(!one);
            two = gate.tryAcquire(Now);
            CPPUNIT_ASSERT_EQUAL(BudgetUnits { 1 }, gate.inFlight());
        }
        CPPUNIT_ASSERT_EQUAL(BudgetUnits { 0 }, gate.inFlight());
    }

    void threadsNeverExceedTheLimit()
    {
        constexpr BudgetUnits Limit = 3;
        SlotGate gate;
        std::atomic<BudgetUnits> inside { 0 };
        std::atomic<bool> exceeded { false };
        const auto work = [&] {
            for (unsigned n = 0; n < 20000; ++n) {
                if (const SlotPermit permit = gate.tryAcquire(Now)) {
                    if (inside.fetch_add(1) >= Limit)
                        exceeded = true;
                    inside.fetch_sub(1);
                }
            }
        };
        std::vector<std::thread> threads;
        for (unsigned n = 0; n < 4; ++n)
            threads.emplace_back(work);
        for (unsigned n = 0; n < 5000; ++n)
            gate.setLimit(n % (Limit + 1), Later, 0);
        for (std::thread &it : threads)
            it.join();
        CPPUNIT_ASSERT(!exceeded);
        CPPUNIT_ASSERT_EQUAL(BudgetUnits { 0 }, gate.inFlight());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotGateTest);

} // namespace
