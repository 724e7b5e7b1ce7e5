#include <ggv/state/budget/budget_keys.hpp>
#include <ggv/state/budget/limits_from_register.hpp>

#include <model/sample_register.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <numeric>

namespace {

using ggv::BudgetLimit;
using ggv::BudgetLimits;
using ggv::BudgetUnits;
using ggv::Register;
using ggv::RegisterContent;

RegisterContent contentWith(std::uint32_t slots, unsigned hosts)
{
    RegisterContent content = ggv::test::sampleContent();
    ggv::Target target = content.targets.front();
    target.slots = slots;
    content.targets = { target };
    for (unsigned n = 2; n < hosts; ++n)
        content.hosts.push_back(ggv::test::sampleHost("north-a", n));
    return content;
}

BudgetLimits limitsOf(const RegisterContent &content)
{
    return ggv::limitsFromRegister(Register::create(3, content).value());
}

BudgetUnits fixedSum(const BudgetLimit &limit)
{
    return std::accumulate(
        limit.fixed.begin(), limit.fixed.end(), BudgetUnits { 0 },
        [](BudgetUnits sum, const ggv::FixedShare &it) { return sum + it.units; });
}

class LimitsFromRegisterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LimitsFromRegisterTest);
    CPPUNIT_TEST(listsEveryLimitOnce);
    CPPUNIT_TEST(fixedSharesAreEvenAndStayWithinTheSlots);
    CPPUNIT_TEST(addingHostMovesFewShares);
    CPPUNIT_TEST_SUITE_END();

public:
    void listsEveryLimitOnce()
    {
        const BudgetLimits made = limitsOf(ggv::test::sampleContent());
        CPPUNIT_ASSERT_EQUAL(ggv::RegisterVersion { 3 }, made.version);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, made.limits.size());
        CPPUNIT_ASSERT(std::is_sorted(made.limits.begin(), made.limits.end()));
        const ggv::RegionName north("north");
        const ggv::RegionName south("south");
        CPPUNIT_ASSERT(made.limits[0].key == ggv::targetSlotsKey(ggv::TargetName("kit-1")));
        CPPUNIT_ASSERT(made.limits[1]
                       == BudgetLimit({ ggv::linkRateKey(north, south), 280000, {} }));
        CPPUNIT_ASSERT(made.limits[2]
                       == BudgetLimit({ ggv::linkRateKey(south, north), 280000, {} }));
        const auto shift = ggv::shiftRateKey(ggv::ServiceName("kits"), north, south);
        CPPUNIT_ASSERT(made.limits[3] == BudgetLimit({ shift, 40, {} }));
    }

    void fixedSharesAreEvenAndStayWithinTheSlots()
    {
        CPPUNIT_ASSERT(rc::check("fixed shares are even and complete", [] {
            const auto slots = *rc::gen::inRange<std::uint32_t>(1, 40);
            const auto hosts = *rc::gen::inRange<unsigned>(2, 30);
            const BudgetLimit limit = limitsOf(contentWith(slots, hosts)).limits.front();
            const BudgetUnits expected = std::max<BudgetUnits>(1, slots * 3 / 4);
            RC_ASSERT(fixedSum(limit) == expected);
            for (const ggv::FixedShare &it : limit.fixed) {
                RC_ASSERT(it.units >= std::max<BudgetUnits>(1, expected / hosts));
                RC_ASSERT(it.units <= expected / hosts + 1);
            }
        }));
    }

    void addingHostMovesFewShares()
    {
        CPPUNIT_ASSERT(rc::check("adding a host changes at most one fixed share", [] {
            const auto hosts = *rc::gen::inRange<unsigned>(8, 30);
            const BudgetLimit before = limitsOf(contentWith(7, hosts)).limits.front();
            const BudgetLimit after = limitsOf(contentWith(7, hosts + 1)).limits.front();
            std::vector<ggv::FixedShare> unchanged;
            std::set_intersection(before.fixed.begin(), before.fixed.end(), after.fixed.begin(),
                                  after.fixed.end(), std::back_inserter(unchanged));
            RC_ASSERT(unchanged.size() + 1 >= before.fixed.size());
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitsFromRegisterTest);

} // namespace
