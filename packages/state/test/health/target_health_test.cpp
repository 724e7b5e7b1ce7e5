#include <ggv/state/core/random_source.hpp>
#include <ggv/state/health/target_health.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <vector>

namespace {

using namespace ggv;

constexpr auto Second = Duration(1'000'000);

struct Statement
{
    EvidenceSource source = EvidenceSource::Register;
    std::uint64_t stamp = 0;
    bool isLeaving = false;

    [[nodiscard]] auto operator<=>(const Statement &) const = default;
};

std::vector<Statement> randomStatements()
{
    return *rc::gen::container<std::vector<Statement>>(rc::gen::apply(
        [](int source, std::uint64_t stamp, bool isLeaving) {
            return Statement { static_cast<EvidenceSource>(source), stamp, isLeaving };
        },
        rc::gen::inRange(0, 3), rc::gen::inRange<std::uint64_t>(0, 8), rc::gen::arbitrary<bool>()));
}

TargetHealth applyStatements(const std::vector<Statement> &statements)
{
    auto health = TargetHealth::warm();
    for (const auto &it : statements)
        health.observeLeaving(it.source, it.stamp, it.isLeaving);
    return health;
}

bool isLeaving(const TargetHealth &health)
{
    return health.state(Instant {}) == HealthState::Leaving;
}

//! Reference implementation: true if the newest statement of any source says leaving.
bool expectedLeaving(std::vector<Statement> statements)
{
    std::ranges::sort(statements);
    std::map<EvidenceSource, bool> newest;
    for (const auto &it : statements)
        newest[it.source] = it.isLeaving;
    return std::ranges::any_of(newest, [](const auto &it) { return it.second; });
}

void fail(TargetHealth &health, int times, Instant now)
{
    for (int n = 0; n < times; ++n)
        health.observeRequest(TargetOutcome::Refused, now, now);
}

class TargetHealthTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetHealthTest);
    CPPUNIT_TEST(leavingIsIndependentOfTheOrder);
    CPPUNIT_TEST(leavingTargetHasNoWeight);
    CPPUNIT_TEST(worseStateOfRequestsAndProbesApplies);
    CPPUNIT_TEST(successSentBeforeTheFailureIsIgnored);
    CPPUNIT_TEST(downTargetIsTriedAfterGrowingBackoff);
    CPPUNIT_TEST(weightRisesOnlyWithSuccesses);
    CPPUNIT_TEST(overloadIsNotAFailure);
    CPPUNIT_TEST(panicRuleBoundsTheShareThatIsDown);
    CPPUNIT_TEST_SUITE_END();

public:
    void leavingIsIndependentOfTheOrder()
    {
        CPPUNIT_ASSERT(rc::check("only a newer statement of the same source resets leaving", [] {
            const auto statements = randomStatements();
            auto shuffled = statements;
            RandomSource random(*rc::gen::arbitrary<std::uint64_t>());
            std::ranges::shuffle(shuffled, random);
            RC_ASSERT(isLeaving(applyStatements(statements)) == expectedLeaving(statements));
            RC_ASSERT(applyStatements(statements) == applyStatements(shuffled));
        }));
    }

    void leavingTargetHasNoWeight()
    {
        auto health = applyStatements({ { EvidenceSource::Platform, 3, true } });
        health.observeLeaving(EvidenceSource::Platform, 2, false);
        health.observeLeaving(EvidenceSource::Register, 9, false);
        health.observeRequest(TargetOutcome::Success, Instant { Second }, Instant { Second });
        CPPUNIT_ASSERT(isLeaving(health));
        CPPUNIT_ASSERT_EQUAL(0.0, health.weight());
    }

    void worseStateOfRequestsAndProbesApplies()
    {
        const Instant now { Second };
        auto health = TargetHealth::warm();
        fail(health, 3, now);
        health.observeProbe(TargetOutcome::Success, now, now);
        CPPUNIT_ASSERT(health.state(now) == HealthState::Down);
        auto probed = TargetHealth::warm();
        for (int n = 0; n < 3; ++n)
            probed.observeProbe(TargetOutcome::TimedOut, now, now);
        probed.observeRequest(TargetOutcome::Success, now, now);
        CPPUNIT_ASSERT(probed.state(now) == HealthState::Down);
    }

    void successSentBeforeTheFailureIsIgnored()
    {
        const Instant now { 2 * Second };
        auto health = TargetHealth::warm();
        fail(health, 3, now);
        health.observeRequest(TargetOutcome::Success, now - Second, now);
        CPPUNIT_ASSERT(health.state(now) == HealthState::Down);
    }

    void downTargetIsTriedAfterGrowingBackoff()
    {
        Instant now { Second };
        auto health = TargetHealth::warm();
        fail(health, 3, now);
        CPPUNIT_ASSERT(health.state(now + Second / 2) == HealthState::Down);
        now += Second;
        CPPUNIT_ASSERT(health.state(now) == HealthState::Suspect);
        fail(health, 1, now);
        CPPUNIT_ASSERT(health.state(now + Second) == HealthState::Down);
        CPPUNIT_ASSERT(health.state(now + 2 * Second) == HealthState::Suspect);
    }

    void weightRisesOnlyWithSuccesses()
    {
        Instant now { Second };
        auto health = TargetHealth::cold();
        const double atStart = health.weight();
        health.observeRequest(TargetOutcome::Success, now, now);
        CPPUNIT_ASSERT_EQUAL(atStart, health.weight());
        now += 5 * Second;
        CPPUNIT_ASSERT_EQUAL(atStart, health.weight());
        health.observeRequest(TargetOutcome::Success, now, now);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, health.weight(), 1e-9);
        now += 5 * Second;
        health.observeRequest(TargetOutcome::Success, now, now);
        CPPUNIT_ASSERT_EQUAL(1.0, health.weight());
        fail(health, 3, now);
        CPPUNIT_ASSERT_EQUAL(atStart, health.weight());
    }

    void overloadIsNotAFailure()
    {
        const Instant now { Second };
        auto health = TargetHealth::warm();
        for (int n = 0; n < 10; ++n)
            health.observeRequest(TargetOutcome::Overloaded, now, now);
        CPPUNIT_ASSERT(health.state(now) == HealthState::Working);
    }

    void panicRuleBoundsTheShareThatIsDown()
    {
        CPPUNIT_ASSERT(rc::check("share of down targets is bounded, leaving targets stay", [] {
            const auto share = *rc::gen::inRange(0, 5) / 4.0;
            auto states = *rc::gen::container<std::vector<HealthState>>(rc::gen::map(
                rc::gen::inRange(0, 4), [](int state) { return static_cast<HealthState>(state); }));
            const auto leaving = std::ranges::count(states, HealthState::Leaving);
            applyPanicRule(states, share);
            RC_ASSERT(std::ranges::count(states, HealthState::Leaving) == leaving);
            const auto staying = static_cast<double>(std::ssize(states) - leaving);
            const auto down = std::ranges::count(states, HealthState::Down);
            RC_ASSERT(static_cast<double>(down) <= share * staying);
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetHealthTest);

} // namespace
