#include <ggv/state/budget/token_bucket.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <atomic>
#include <thread>
#include <vector>

namespace {

using ggv::BudgetUnits;
using ggv::Duration;
using ggv::Instant;
using ggv::TokenBucket;

constexpr Instant Start { std::chrono::seconds(10) };
constexpr Instant Never { std::chrono::hours(10) };
constexpr BudgetUnits Rate = 1000;
constexpr std::uint64_t Burst = 100;

std::uint64_t acquireAll(TokenBucket &bucket, Instant now)
{
    std::uint64_t acquired = 0;
    while (bucket.tryAcquire(1, now))
        ++acquired;
    return acquired;
}

class TokenBucketTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TokenBucketTest);
    CPPUNIT_TEST(staysUnderTheRateInEveryWindow);
    CPPUNIT_TEST(debtIsPaidOffFirst);
    CPPUNIT_TEST(rateChangeKeepsDebtInUnits);
    CPPUNIT_TEST(rateExpires);
    CPPUNIT_TEST(aRequestLargerThanTheBurstIsAdmittedWhenFull);
    CPPUNIT_TEST(threadsNeverExceedTheRate);
    CPPUNIT_TEST_SUITE_END();

public:
    void staysUnderTheRateInEveryWindow()
    {
        CPPUNIT_ASSERT(rc::check("units in a window <= rate * (length + burst)", [] {
            TokenBucket bucket;
            bucket.setRate(Rate, Never, Start);
            std::vector<std::pair<Instant, std::uint64_t>> acquired;
            Instant now = Start;
            for (unsigned n = 0; n < 60; ++n) {
                now += Duration(*rc::gen::inRange(0, 50000));
                const auto units = *rc::gen::inRange<std::uint64_t>(1, Burst);
                if (bucket.tryAcquire(units, now))
                    acquired.emplace_back(now, units);
            }
            for (std::size_t first = 0; first < acquired.size(); ++first) {
                std::uint64_t sum = 0;
                for (std::size_t it = first; it < acquired.size(); ++it) {
                    sum += acquired[it].second;
                    const Duration length = acquired[it].first - acquired[first].first;
                    const auto paid = static_cast<std::uint64_t>(length.count()) * Rate / 1000000;
                    RC_ASSERT(sum <= paid + Burst + 1);
                }
            }
        }));
    }

    void debtIsPaidOffFirst()
    {
        TokenBucket bucket;
        bucket.setRate(Rate, Never, Start);
        bucket.charge(500, Start);
        CPPUNIT_ASSERT(!bucket.tryAcquire(1, Start + std::chrono::milliseconds(400)));
        CPPUNIT_ASSERT(bucket.waitTime(Start) == std::chrono::milliseconds(401));
        CPPUNIT_ASSERT(bucket.tryAcquire(1, Start + std::chrono::milliseconds(401)));
    }

    void rateChangeKeepsDebtInUnits()
    {
        TokenBucket bucket;
        bucket.setRate(Rate, Never, Start);
        bucket.charge(500, Start);
        bucket.setRate(Rate / 2, Never, Start);
        CPPUNIT_ASSERT(!bucket.tryAcquire(1, Start + std::chrono::milliseconds(901)));
        CPPUNIT_ASSERT(bucket.tryAcquire(1, Start + std::chrono::milliseconds(902)));
    }

    void rateExpires()
    {
        TokenBucket bucket;
        CPPUNIT_ASSERT(!bucket.tryAcquire(1, Start));
        bucket.setRate(Rate, Start + std::chrono::seconds(1), Start);
        CPPUNIT_ASSERT(bucket.tryAcquire(1, Start));
        CPPUNIT_ASSERT(!bucket.tryAcquire(1, Start + std::chrono::seconds(1)));
        CPPUNIT_ASSERT(bucket.waitTime(Start + std::chrono::seconds(1)) == Duration::max());
        bucket.setRate(Rate, Never, Start + std::chrono::seconds(1));
        bucket.setRate(0, Never, Start + std::chrono::seconds(2));
        CPPUNIT_ASSERT(!bucket.tryAcquire(1, Start + std::chrono::seconds(2)));
    }

    void aRequestLargerThanTheBurstIsAdmittedWhenFull()
    {
        TokenBucket bucket;
        bucket.setRate(Rate, Never, Start);
        CPPUNIT_ASSERT(bucket.tryAcquire(2000, Start));
        CPPUNIT_ASSERT(!bucket.tryAcquire(1, Start + std::chrono::milliseconds(1900)));
        CPPUNIT_ASSERT(bucket.tryAcquire(2000, Start + std::chrono::seconds(2)));
    }

    void threadsNeverExceedTheRate()
    {
        TokenBucket bucket;
        bucket.setRate(Rate, Never, Start);
        std::atomic<std::uint64_t> acquired { 0 };
        std::vector<std::thread> threads;
        for (unsigned n = 0; n < 4; ++n) {
            threads.emplace_back([&] {
                for (unsigned it = 0; it <= 1000; ++it)
                    acquired += acquireAll(bucket, Start + std::chrono::milliseconds(it));
            });
        }
        for (std::thread &it : threads)
            it.join();
        CPPUNIT_ASSERT_EQUAL(Rate + Burst, acquired.load());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TokenBucketTest);

} // namespace
