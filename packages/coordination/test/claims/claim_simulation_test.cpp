#include <claims/claim_simulation.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using namespace ggv;
using test::ClaimSimulation;
using test::ClaimSimulationCounts;
using test::ClaimSimulationOptions;
using test::RequestStep;
using test::ScheduledFault;
using test::SimulatedFault;

constexpr int Steps = static_cast<int>(RequestStep::Count);
constexpr int Faults = static_cast<int>(SimulatedFault::Count);

constexpr const char *FaultNames[Faults] { "kill host  ", "freeze host", "kill target",
                                           "cut answer ", "no answer  ", "late answer",
                                           "deadline   ", "disconnect ", "host stops ",
                                           "shed       ", "leader lost", "claims lost",
                                           "duplicated " };

// One row per fault, one column per step: the verdict that the caller receives, followed by the
// verdict of its resend to another entry host. D: done, N: not run, U: unknown, -: none, because
// the host was killed. Steps: arrived, claimed, granted, connecting, sent, executed, head,
// forwarding, ended, completed.
constexpr const char *Expected = "kill host   -U -U -U -U -U -U -U -U DD DD\n"
                                 "freeze host UD UD ND ND UD UD UD UD DD DD\n"
                                 "kill target UU UU UU UU UU UU UU UU DD DD\n"
                                 "cut answer  UU UU UU UU UU UU UU UU DD DD\n"
                                 "no answer   UU UU UU UU UU UU UU UU DD DD\n"
                                 "late answer UD UD UD UD UD DD DD DD DD DD\n"
                                 "deadline    UD UD ND ND UD UD UD UD DD DD\n"
                                 "disconnect  UD UD ND ND UD UD UD UD DD DD\n"
                                 "host stops  UD UD ND ND UU UU UU UU DD DD\n"
                                 "shed        UD UD ND ND DD DD DD DD DD DD\n"
                                 "leader lost DD DD DD DD DD DD DD DD DD DD\n"
                                 "claims lost DD DD DD DD DD DD DD DD DD DD\n"
                                 "duplicated  DD DD DD DD DD DD DD DD DD DD\n";

class ClaimSimulationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClaimSimulationTest);
    CPPUNIT_TEST(withoutFaultsEveryKeyRunsOnce);
    CPPUNIT_TEST(everyFaultAtEveryStep);
    CPPUNIT_TEST(everyPairOfFaults);
    CPPUNIT_TEST(faultySimulationsUpholdGuarantees);
    CPPUNIT_TEST(faultySimulationsReachEveryOutcome);
    CPPUNIT_TEST_SUITE_END();

public:
    void withoutFaultsEveryKeyRunsOnce()
    {
        ClaimSimulationOptions options;
        options.faults = false;
        options.keys = 10;
        options.maxKeys = 10;
        const auto counts = ClaimSimulation(options).run();
        CPPUNIT_ASSERT_EQUAL(10, counts.executions);
        CPPUNIT_ASSERT(counts.verdicts.count(Verdict::NotRun) == 0U);
    }

    void everyFaultAtEveryStep()
    {
        std::string grid;
        for (int fault = 0; fault < Faults; ++fault) {
            grid += FaultNames[fault];
            for (int step = 0; step < Steps; ++step)
                grid += " " + verdictsOf({ scheduledFault(step, fault) });
            grid += "\n";
        }
        CPPUNIT_ASSERT_EQUAL(std::string(Expected), grid);
    }

    void everyPairOfFaults()
    {
        constexpr int FaultCombinations = Steps * Faults;
        for (int first = 0; first < FaultCombinations; ++first) {
            for (int second = 0; second < FaultCombinations; ++second) {
                const auto outcome
                    = verdictsOf({ scheduledFault(first / Faults, first % Faults),
                                   scheduledFault(second / Faults, second % Faults) });
                // A resend must not turn "done" into "not run" and must receive a verdict.
                CPPUNIT_ASSERT(outcome != "DN" && outcome.back() != '-');
            }
        }
    }

    void faultySimulationsUpholdGuarantees()
    {
        CPPUNIT_ASSERT(rc::check(
            "requests run at most once, end once, get correct verdicts and equal replays", [] {
                ClaimSimulationOptions options;
                options.seed = *rc::gen::arbitrary<std::uint64_t>();
                options.hosts = *rc::gen::inRange<std::uint32_t>(1, 5);
                options.keys = *rc::gen::inRange<std::uint32_t>(1, 8);
                options.maxKeys = *rc::gen::inRange<std::uint64_t>(0, 10);
                for (int it = 0; it < 10; ++it) {
                    ++options.seed;
                    (void)ClaimSimulation(options).run();
                }
            }));
    }

    // Guards against simulations that reach too few outcomes for the property above.
    void faultySimulationsReachEveryOutcome()
    {
        ClaimSimulationCounts all;
        for (std::uint64_t seed = 1; seed <= 300; ++seed) {
            ClaimSimulationOptions options;
            options.seed = seed;
            options.maxKeys = seed % 2 == 0 ? 2 : 100;
            const auto counts = ClaimSimulation(options).run();
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

private:
    static ScheduledFault scheduledFault(int step, int fault)
    {
        return { static_cast<RequestStep>(step), static_cast<SimulatedFault>(fault) };
    }

    static std::string verdictsOf(std::vector<ScheduledFault> scheduledFaults)
    {
        ClaimSimulationOptions options;
        options.seed = 7;
        options.hosts = 2;
        options.keys = 1;
        options.attempts = 2;
        options.faults = false;
        options.scripted = true;
        options.scheduledFaults = std::move(scheduledFaults);
        const auto counts = ClaimSimulation(options).run();
        std::string text;
        for (const std::uint64_t attempt : { 1, 2 }) {
            const auto it = counts.verdictByAttempt.find(attempt);
            text += it == counts.verdictByAttempt.end() ? '-' : "DNU"[static_cast<int>(it->second)];
        }
        return text;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimSimulationTest);

} // namespace
