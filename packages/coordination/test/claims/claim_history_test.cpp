#include <claims/claim_history.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using namespace ggv;
using test::ClaimHistory;
using test::HistoryCounts;
using test::HistoryOptions;

class ClaimHistoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClaimHistoryTest);
    CPPUNIT_TEST(withoutFaultsEveryKeyRunsOnce);
    CPPUNIT_TEST(faultyHistoriesKeepThePromises);
    CPPUNIT_TEST(faultyHistoriesReachEveryOutcome);
    CPPUNIT_TEST_SUITE_END();

public:
    void withoutFaultsEveryKeyRunsOnce()
    {
        HistoryOptions options;
        options.faults = false;
        options.keys = 10;
        options.maxKeys = 10;
        const auto counts = ClaimHistory(options).run();
        CPPUNIT_ASSERT_EQUAL(10, counts.executions);
        CPPUNIT_ASSERT(counts.verdicts.count(Verdict::NotRun) == 0U);
    }

    void faultyHistoriesKeepThePromises()
    {
        CPPUNIT_ASSERT(rc::check("at most once, true verdicts, equal replays, one end", [] {
            HistoryOptions options;
            options.seed = *rc::gen::arbitrary<std::uint64_t>();
            options.hosts = *rc::gen::inRange<std::uint32_t>(1, 5);
            options.keys = *rc::gen::inRange<std::uint32_t>(1, 8);
            options.maxKeys = *rc::gen::inRange<std::uint64_t>(0, 10);
            for (int it = 0; it < 10; ++it) {
                ++options.seed;
                (void)ClaimHistory(options).run();
            }
        }));
    }

    // Guards the property above against histories in which nothing happens.
    void faultyHistoriesReachEveryOutcome()
    {
        HistoryCounts all;
        for (std::uint64_t seed = 1; seed <= 300; ++seed) {
            HistoryOptions options;
            options.seed = seed;
            options.maxKeys = seed % 2 == 0 ? 2 : 100;
            const auto counts = ClaimHistory(options).run();
            for (const auto &[code, count] : counts.codes)
                all.codes[code] += count;
            all.executions += counts.executions;
            all.replays += counts.replays;
            all.crashes += counts.crashes;
            all.freezes += counts.freezes;
        }
        for (const auto code :
             { ResultCode::Ok, ResultCode::Overloaded, ResultCode::DeadlineExceededInQueue,
               ResultCode::DeadlineExceededAtTarget, ResultCode::TargetConnectionLost,
               ResultCode::TargetAnswerTruncated, ResultCode::TargetRefused,
               ResultCode::TargetUnreachable, ResultCode::EntryHostLeaving,
               ResultCode::CallerCancelled, ResultCode::IdempotencyKeyReused,
               ResultCode::IdempotencyKeyExpired, ResultCode::ClaimUnavailable,
               ResultCode::ClaimUnresolved, ResultCode::ClaimStoreFull, ResultCode::ResultNotKept,
               ResultCode::ClaimUnconfirmed })
            CPPUNIT_ASSERT_MESSAGE(std::string(resultCodeName(code)), all.codes[code] > 0);
        CPPUNIT_ASSERT(all.executions > 100 && all.replays > 10);
        CPPUNIT_ASSERT(all.crashes > 100 && all.freezes > 100);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimHistoryTest);

} // namespace
