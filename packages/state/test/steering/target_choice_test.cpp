#include <ggv/state/steering/target_choice.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>
#include <vector>

namespace {

using namespace ggv;

constexpr std::uint64_t Seed = 7;
constexpr int Draws = 10'000;

rc::Gen<TargetCandidate> candidateGen()
{
    return rc::gen::apply(
        [](int proximity, int health, int weight, std::uint32_t inFlight, std::uint32_t limit) {
            TargetCandidate candidate;
            candidate.proximity = static_cast<Proximity>(proximity);
            candidate.health = static_cast<HealthState>(health);
            candidate.weight = weight / 4.0;
            candidate.inFlight = inFlight;
            candidate.limit = limit;
            candidate.roundTrip = Duration(1'000 + proximity * 10'000);
            candidate.serviceTime = Duration(20'000);
            return candidate;
        },
        rc::gen::inRange(0, 3), rc::gen::inRange(0, 4), rc::gen::inRange(0, 5),
        rc::gen::inRange<std::uint32_t>(0, 4), rc::gen::inRange<std::uint32_t>(0, 4));
}

std::vector<TargetCandidate> numbered(std::vector<TargetCandidate> candidates)
{
    std::uint32_t index = 0;
    for (auto &it : candidates)
        it.index = index++;
    return candidates;
}

bool isUsable(const TargetCandidate &candidate)
{
    const auto limit = candidate.health == HealthState::Suspect
        ? std::min<std::uint32_t>(candidate.limit, 1)
        : candidate.limit;
    return candidate.health <= HealthState::Suspect && candidate.weight > 0.0
        && candidate.inFlight < limit;
}

TargetCandidate target(std::uint32_t index, Proximity proximity, Duration roundTrip)
{
    TargetCandidate candidate;
    candidate.index = index;
    candidate.proximity = proximity;
    candidate.limit = 2;
    candidate.roundTrip = roundTrip;
    candidate.serviceTime = Duration(20'000);
    return candidate;
}

std::vector<TargetCandidate> nearAndFar()
{
    return { target(0, Proximity::SameDomain, Duration(1'000)),
             target(1, Proximity::OtherRegion, Duration(24'000)) };
}

class TargetChoiceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetChoiceTest);
    CPPUNIT_TEST(choosesOnlyUsableTargets);
    CPPUNIT_TEST(usesAnotherRegionOnlyWithoutFreeSlotInTheOwn);
    CPPUNIT_TEST(waitsWhenAnotherRegionIsFartherThanTheWait);
    CPPUNIT_TEST(weightIsTheShareOfRequests);
    CPPUNIT_TEST(avoidsASlowTarget);
    CPPUNIT_TEST_SUITE_END();

public:
    void choosesOnlyUsableTargets()
    {
        CPPUNIT_ASSERT(rc::check("only usable targets, each once, and at least one if any", [] {
            const auto candidates
                = numbered(*rc::gen::container<std::vector<TargetCandidate>>(candidateGen()));
            RandomSource random(*rc::gen::arbitrary<std::uint64_t>());
            const auto order = chooseTarget(candidates, random, {});
            std::set<std::uint32_t> chosen;
            for (const auto index : order.indices()) {
                RC_ASSERT(isUsable(candidates.at(index)));
                RC_ASSERT(chosen.insert(index).second);
            }
            RC_ASSERT(order.empty() == std::ranges::none_of(candidates, isUsable));
        }));
    }

    void usesAnotherRegionOnlyWithoutFreeSlotInTheOwn()
    {
        CPPUNIT_ASSERT(rc::check("the host's region is preferred while it has a free slot", [] {
            auto generated = *rc::gen::container<std::vector<TargetCandidate>>(candidateGen());
            const auto position = *rc::gen::inRange<std::size_t>(0, generated.size() + 1);
            const auto proximity = *rc::gen::element(Proximity::SameDomain, Proximity::SameRegion);
            auto slow = target(0, proximity, Duration(1'000));
            slow.serviceTime = Duration(200'000);
            generated.insert(generated.begin() + static_cast<std::ptrdiff_t>(position), slow);
            const auto candidates = numbered(generated);
            RandomSource random(*rc::gen::arbitrary<std::uint64_t>());
            const auto order = chooseTarget(candidates, random, {});
            RC_ASSERT(candidates.at(order.front()).proximity != Proximity::OtherRegion);
        }));
    }

    void waitsWhenAnotherRegionIsFartherThanTheWait()
    {
        auto candidates = nearAndFar();
        candidates[0].inFlight = candidates[0].limit;
        RandomSource random(Seed);
        ChoicePolicy policy;
        policy.ownRegionWait = Duration(5'000);
        CPPUNIT_ASSERT(chooseTarget(candidates, random, policy).empty());
        policy.ownRegionWait = Duration(50'000);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 1 }, chooseTarget(candidates, random, policy).front());
    }

    void weightIsTheShareOfRequests()
    {
        auto candidates = nearAndFar();
        candidates[0].weight = 0.3;
        RandomSource random(Seed);
        int near = 0;
        for (int n = 0; n < Draws; ++n)
            near += chooseTarget(candidates, random, {}).front() == 0 ? 1 : 0;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.3, static_cast<double>(near) / Draws, 0.02);
    }

    void avoidsASlowTarget()
    {
        std::vector<TargetCandidate> candidates { target(0, Proximity::SameDomain, Duration(1'000)),
                                                  target(1, Proximity::SameRegion,
                                                         Duration(2'000)) };
        candidates[0].serviceTime = Duration(100'000);
        RandomSource random(Seed);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 1 }, chooseTarget(candidates, random, {}).front());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetChoiceTest);

} // namespace
