#include <ggv/state/admission/wait_queue.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <deque>

namespace {

using namespace ggv;

constexpr auto Tick = Duration(1'000);

class WaitQueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WaitQueueTest);
    CPPUNIT_TEST(agreesWithASimpleModel);
    CPPUNIT_TEST(newestFirstUnderOverload);
    CPPUNIT_TEST(cancelledRequestIsRemoved);
    CPPUNIT_TEST_SUITE_END();

public:
    void agreesWithASimpleModel()
    {
        CPPUNIT_ASSERT(rc::check("FIFO, bounded, never returns expired requests", [] {
            constexpr std::size_t Capacity = 4;
            WaitQueue queue({ .capacity = Capacity });
            std::deque<QueueEntry> model;
            Instant now {};
            for (std::uint64_t n = 0; n < 60; ++n) {
                now += Tick;
                const QueueEntry entry { n, now, now + Tick * *rc::gen::inRange(1, 12) };
                if (*rc::gen::arbitrary<bool>()) {
                    RC_ASSERT(queue.push(entry) == (model.size() < Capacity));
                    if (model.size() < Capacity)
                        model.push_back(entry);
                    continue;
                }
                while (const auto expired = queue.popExpired(now)) {
                    RC_ASSERT(expired->expiresAt <= now);
                    RC_ASSERT(std::erase(model, *expired) == 1);
                }
                const auto popped = queue.pop(now);
                RC_ASSERT(popped.has_value() == !model.empty());
                if (!popped)
                    continue;
                RC_ASSERT(*popped == model.front());
                RC_ASSERT(popped->expiresAt > now);
                model.pop_front();
            }
        }));
    }

    void newestFirstUnderOverload()
    {
        WaitQueue queue(
            { .capacity = 4, .order = QueueOrder::AdaptiveLifo, .lifoThreshold = 10 * Tick });
        const Instant start {};
        const auto expiry = start + 100 * Tick;
        CPPUNIT_ASSERT(queue.push({ 1, start, expiry }));
        CPPUNIT_ASSERT(queue.push({ 2, start + Tick, expiry }));
        CPPUNIT_ASSERT(queue.push({ 3, start + 2 * Tick, expiry }));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 1 }, queue.pop(start + 5 * Tick)->request);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 3 }, queue.pop(start + 50 * Tick)->request);
        CPPUNIT_ASSERT(!queue.pop(expiry));
    }

    void cancelledRequestIsRemoved()
    {
        WaitQueue queue;
        const Instant now {};
        CPPUNIT_ASSERT(queue.push({ 1, now, now + Tick }));
        CPPUNIT_ASSERT(queue.remove(1));
        CPPUNIT_ASSERT(!queue.remove(1));
        CPPUNIT_ASSERT(!queue.nextExpiry());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WaitQueueTest);

} // namespace
