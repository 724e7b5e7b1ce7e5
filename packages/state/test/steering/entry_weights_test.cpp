#include <ggv/state/steering/entry_weights.hpp>
#include <ggv/state/steering/slot_demand.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <vector>

namespace {

using namespace ggv;

constexpr double Tolerance = 1e-9;
constexpr EntryWeightPolicy Policy { 0.9 };

std::vector<DomainLoad> randomDomains()
{
    auto domains = *rc::gen::nonEmpty(rc::gen::container<std::vector<DomainLoad>>(rc::gen::apply(
        [](std::size_t region, int demand, int capacity, bool hasEntryHost) {
            return DomainLoad { region, demand * 1.0, capacity * 1.0, hasEntryHost };
        },
        rc::gen::inRange<std::size_t>(0, 3), rc::gen::inRange(0, 50), rc::gen::inRange(0, 50),
        rc::gen::arbitrary<bool>())));
    domains.push_back({ 0, 10.0, 10.0, true });
    return domains;
}

std::vector<double> weightsOf(const std::vector<DomainLoad> &domains, std::size_t from)
{
    std::vector<double> weights(domains.size());
    entryWeights(domains, from, Policy, weights);
    return weights;
}

class EntryWeightsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EntryWeightsTest);
    CPPUNIT_TEST(allCallersGoToWorkingEntryHosts);
    CPPUNIT_TEST(movedCallersFitIntoSpareCapacity);
    CPPUNIT_TEST(callersStayWhileTheirDomainHasCapacity);
    CPPUNIT_TEST(lostDomainIsSpreadOverItsRegionFirst);
    CPPUNIT_TEST(demandIsRequestedNearestFirst);
    CPPUNIT_TEST_SUITE_END();

public:
    void allCallersGoToWorkingEntryHosts()
    {
        CPPUNIT_ASSERT(rc::check("weights sum to 1; 0 for domains without an entry host", [] {
            const auto domains = randomDomains();
            const auto from = *rc::gen::inRange<std::size_t>(0, domains.size());
            const auto weights = weightsOf(domains, from);
            const double sum = std::accumulate(weights.begin(), weights.end(), 0.0);
            RC_ASSERT(std::abs(sum - 1.0) < Tolerance);
            for (std::size_t n = 0; n < domains.size(); ++n) {
                RC_ASSERT(weights[n] >= -Tolerance);
                RC_ASSERT(domains[n].hasEntryHost || weights[n] == 0.0);
            }
        }));
    }

    void movedCallersFitIntoSpareCapacity()
    {
        CPPUNIT_ASSERT(rc::check("moved callers fill no domain above the maximum utilization", [] {
            auto domains = randomDomains();
            for (auto &it : domains)
                it.hasEntryHost = true;
            std::vector<double> arriving(domains.size(), 0.0);
            for (std::size_t from = 0; from < domains.size(); ++from) {
                const auto weights = weightsOf(domains, from);
                for (std::size_t n = 0; n < domains.size(); ++n)
                    arriving[n] += n == from ? 0.0 : weights[n] * domains[from].demand;
            }
            for (std::size_t n = 0; n < domains.size(); ++n) {
                const double room
                    = domains[n].capacity * Policy.maximumUtilization - domains[n].demand;
                RC_ASSERT(arriving[n] <= std::max(0.0, room) + 1e-6);
            }
        }));
    }

    void callersStayWhileTheirDomainHasCapacity()
    {
        const std::vector<DomainLoad> domains { { 0, 7.0, 10.0, true }, { 0, 1.0, 10.0, true } };
        CPPUNIT_ASSERT_EQUAL(1.0, weightsOf(domains, 0)[0]);
    }

    void lostDomainIsSpreadOverItsRegionFirst()
    {
        const std::vector<DomainLoad> domains { { 0, 8.0, 0.0, false },
                                                { 0, 5.0, 10.0, true },
                                                { 1, 5.0, 10.0, true },
                                                { 2, 5.0, 10.0, true } };
        const auto weights = weightsOf(domains, 0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4.0 / 8.0, weights[1], Tolerance);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0 / 8.0, weights[2], Tolerance);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.0 / 8.0, weights[3], Tolerance);
    }

    void demandIsRequestedNearestFirst()
    {
        const std::vector<DemandTarget> targets { { Proximity::SameDomain, 5, 5 },
                                                  { Proximity::SameDomain, 0, 0 },
                                                  { Proximity::SameRegion, 5, 5 },
                                                  { Proximity::OtherRegion, 5, 0 } };
        const DemandPolicy noMargin { 0.0, 0.0, 0.0 };
        std::vector<std::uint32_t> requested(targets.size());
        distributeDemand(4.0, 10.0, targets, requested, noMargin);
        CPPUNIT_ASSERT(requested == (std::vector<std::uint32_t> { 4, 0, 0, 0 }));
        distributeDemand(12.0, 10.0, targets, requested, noMargin);
        CPPUNIT_ASSERT(requested == (std::vector<std::uint32_t> { 5, 0, 5, 2 }));
        distributeDemand(30.0, 3.0, targets, requested, noMargin);
        CPPUNIT_ASSERT(requested == (std::vector<std::uint32_t> { 5, 0, 5, 3 }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryWeightsTest);

} // namespace
