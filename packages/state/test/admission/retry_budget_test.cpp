#include <ggv/state/admission/retry_budget.hpp>
#include <ggv/state/admission/retry_storm.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <vector>

namespace {

using namespace ggv;

constexpr auto Second = Duration(1'000'000);

class RetryBudgetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RetryBudgetTest);
    CPPUNIT_TEST(attemptsAreBoundedUnderAnyOutcome);
    CPPUNIT_TEST(hintStaysWithinBounds);
    CPPUNIT_TEST(hintGrowsWithTheBacklog);
    CPPUNIT_TEST_SUITE_END();

public:
    void attemptsAreBoundedUnderAnyOutcome()
    {
        CPPUNIT_ASSERT(
            rc::check("attempts <= (1 + ratio) x requests + floor x seconds + burst", [] {
                const RetryBudgetPolicy policy { 0.1, 2.0, 5.0 };
                RetryBudget budget(policy);
                Instant now { Second };
                int requests = 0;
                int attempts = 0;
                const auto gaps
                    = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 50'000));
                for (const auto gap : gaps) {
                    now += Duration(gap);
                    budget.onRequest(now);
                    ++requests;
                    ++attempts;
                    const auto failures = *rc::gen::inRange(0, 6);
                    for (int n = 0; n < failures && budget.tryRetry(now); ++n)
                        ++attempts;
                }
                const double seconds
                    = std::chrono::duration<double>(now - Instant { Second }).count();
                const double bound = (1.0 + policy.ratio) * requests
                    + policy.floorPerSecond * seconds + policy.burst;
                RC_ASSERT(attempts <= bound + 1e-6);
            }));
    }

    void hintStaysWithinBounds()
    {
        CPPUNIT_ASSERT(rc::check("minimum <= hint <= maximum", [] {
            const RetryStormPolicy policy;
            RetryStormGuard guard(policy);
            RandomSource random(*rc::gen::arbitrary<std::uint64_t>());
            Instant now { Second };
            const auto gaps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 500'000));
            for (const auto gap : gaps) {
                now += Duration(gap);
                const auto hint = guard.onShed(Duration(gap * 100), random, now);
                RC_ASSERT(hint >= policy.minimumRetryAfter);
                RC_ASSERT(hint <= policy.maximumRetryAfter);
            }
        }));
    }

    void hintGrowsWithTheBacklog()
    {
        RetryStormGuard guard({ .jitter = 0.0 });
        RandomSource random(1);
        const Instant now { Second };
        for (int n = 0; n < 100; ++n)
            guard.onServed(now);
        const auto first = guard.onShed(Duration::zero(), random, now);
        auto last = first;
        for (int n = 0; n < 100; ++n)
            last = guard.onShed(Duration::zero(), random, now);
        CPPUNIT_ASSERT(last > 4 * first);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryBudgetTest);

} // namespace
