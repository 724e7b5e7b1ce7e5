#include <ggv/state/budget/budget_holder.hpp>
#include <ggv/state/budget/budget_ledger.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace std::chrono_literals;
using ggv::BudgetKey;
using ggv::BudgetUnits;
using ggv::Instant;
using ggv::LeaseGrant;
using ggv::LeaseRequest;

constexpr Instant Start { 100s };
constexpr Instant AfterGrace { 110s };
const BudgetKey Link { ggv::BudgetKind::LinkRate, "north>south" };
const BudgetKey Slots { ggv::BudgetKind::TargetSlots, "kits-1" };
const ggv::HostName Host("host-0");
const ggv::HostName Other("host-1");

ggv::BudgetHolder makeHolder(std::uint64_t process)
{
    return ggv::BudgetHolder::create({ Host, process, {}, Start, 1, {} }).value();
}

ggv::BudgetLedger makeLedger()
{
    auto ledger = ggv::BudgetLedger::create({}).value();
    ledger.setLimits({ 1, { { Slots, 4, { { Host, 4 } } }, { Link, 100, {} } } });
    return ledger;
}

LeaseRequest requestAll(const ggv::HostName &host, std::uint64_t sequence, std::uint64_t process)
{
    return { host, sequence, process, 1, {}, {}, {}, {}, { { Slots, 4 }, { Link, 100 } } };
}

LeaseGrant grantOf(const LeaseRequest &request, BudgetUnits pool, bool renewalOnly)
{
    return { request.sequence, request.process, 1, 1, 2s, renewalOnly, { { Link, pool, 5 } }, {} };
}

class BudgetGuardTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BudgetGuardTest);
    CPPUNIT_TEST(grantForAnotherProcessHasNoEffect);
    CPPUNIT_TEST(renewalNeverRaises);
    CPPUNIT_TEST(onlyThePoolPartIsRenewable);
    CPPUNIT_TEST(withoutLeaderLeaseNothingIsGranted);
    CPPUNIT_TEST(earlierProcessIsIgnored);
    CPPUNIT_TEST(evidenceOlderThanTheLastRequestIsIgnored);
    CPPUNIT_TEST(raiseForAnotherVersionHasNoEffect);
    CPPUNIT_TEST(driftMarginsCoverBothClocks);
    CPPUNIT_TEST_SUITE_END();

public:
    void grantForAnotherProcessHasNoEffect()
    {
        auto holder = makeHolder(2);
        LeaseRequest request = holder.request({}, Start);
        request.process = 1;
        CPPUNIT_ASSERT(!holder.accept(grantOf(request, 50, false), Start));
        CPPUNIT_ASSERT_EQUAL(BudgetUnits { 0 }, holder.usable(Link, Start));
    }

    void renewalNeverRaises()
    {
        auto holder = makeHolder(1);
        CPPUNIT_ASSERT(holder.accept(grantOf(holder.request({}, Start), 10, false), Start));
        const LeaseRequest request = holder.request({}, Start + 1s);
        CPPUNIT_ASSERT(holder.accept(grantOf(request, 50, true), Start + 1s));
        CPPUNIT_ASSERT_EQUAL(BudgetUnits { 10 }, holder.usable(Link, Start + 1s));
        const LeaseRequest late = holder.request({}, Start + 2900ms);
        CPPUNIT_ASSERT(holder.accept(grantOf(late, 10, true), Start + 3100ms));
        CPPUNIT_ASSERT_EQUAL(BudgetUnits { 0 }, holder.usable(Link, Start + 3100ms));
    }

    void onlyThePoolPartIsRenewable()
    {
        auto holder = makeHolder(1);
        CPPUNIT_ASSERT(holder.accept(grantOf(holder.request({}, Start), 10, false), Start));
        const LeaseRequest request = holder.request({}, Start + 1s);
        CPPUNIT_ASSERT(request.renewable == std::vector<ggv::BudgetShare>({ { Link, 10 } }));
        CPPUNIT_ASSERT(request.held == std::vector<ggv::BudgetShare>({ { Link, 15 } }));
    }

    void withoutLeaderLeaseNothingIsGranted()
    {
        auto ledger = makeLedger();
        CPPUNIT_ASSERT(!ledger.answer(requestAll(Host, 1, 1), Start, { false, 1 }));
        CPPUNIT_ASSERT(ledger.answer(requestAll(Host, 1, 1), Start, { true, 2 }));
        CPPUNIT_ASSERT(!ledger.answer(requestAll(Host, 2, 1), Start, { true, 1 }));
    }

    void earlierProcessIsIgnored()
    {
        auto ledger = makeLedger();
        CPPUNIT_ASSERT(ledger.answer(requestAll(Host, 1, 7), Start, { true, 1 }));
        CPPUNIT_ASSERT(!ledger.answer(requestAll(Host, 90, 6), Start, { true, 1 }));
    }

    void evidenceOlderThanTheLastRequestIsIgnored()
    {
        auto ledger = makeLedger();
        CPPUNIT_ASSERT(ledger.answer(requestAll(Other, 1, 1), Start, { true, 1 }));
        CPPUNIT_ASSERT(ledger.answer(requestAll(Host, 1, 1), AfterGrace, { true, 1 }));
        ledger.recordStopped({ Host, AfterGrace - 1ms, AfterGrace + 1ms });
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 4 }, ledger.use(Slots, AfterGrace + 2500ms).fixed);
        ledger.recordStopped({ Host, AfterGrace + 1s, AfterGrace + 1s });
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, ledger.use(Slots, AfterGrace + 3500ms).fixed);
    }

    void raiseForAnotherVersionHasNoEffect()
    {
        auto holder = makeHolder(1);
        holder.applyRegister(1, { { Slots, 4 } });
        for (const ggv::RegisterVersion version : { 2U, 1U }) {
            LeaseGrant grant = grantOf(holder.request({}, Start + 3s), 0, false);
            grant.registerVersion = version;
            grant.fixed = { { Slots, 4 } };
            CPPUNIT_ASSERT(holder.accept(grant, Start + 3s));
            CPPUNIT_ASSERT_EQUAL(BudgetUnits(version == 1 ? 4 : 0),
                                 holder.usable(Slots, Start + 3s));
        }
    }

    void driftMarginsCoverBothClocks()
    {
        const ggv::BudgetTiming timing;
        CPPUNIT_ASSERT(timing.maxWithDrift(1900ms) == 2100ms);
        CPPUNIT_ASSERT(timing.minWithDrift(2100ms) == 1900ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BudgetGuardTest);

} // namespace
