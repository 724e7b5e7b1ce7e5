#include <ggv/state/steering/lookup_table.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <random>

namespace {

using namespace ggv;

constexpr unsigned Regions = 3;
constexpr unsigned DomainsPerRegion = 2;
constexpr unsigned Draws = 20'000;

std::string domainName(unsigned region, unsigned domain)
{
    return "r" + std::to_string(region) + "d" + std::to_string(domain);
}

std::string hostName(unsigned region, unsigned domain, unsigned number)
{
    return domainName(region, domain) + "h" + std::to_string(number);
}

EntryHost makeHost(unsigned region, unsigned domain, unsigned number)
{
    EntryHost host;
    host.name = HostName(hostName(region, domain, number));
    host.domain = FailureDomainName(domainName(region, domain));
    const auto address = "10." + std::to_string(region) + '.' + std::to_string(domain) + '.'
        + std::to_string(number);
    host.callers = { address, 1 };
    host.operators = { address, 2 };
    host.internal = { address, 3 };
    return host;
}

// Creates three regions: region 0 has a short link to region 1 and a long one to region 2.
RegisterContent makeContent(unsigned hostsPerDomain)
{
    RegisterContent content;
    Service service;
    service.name = ServiceName("kits");
    content.services.push_back(service);
    for (unsigned region = 0; region < Regions; ++region) {
        content.regions.push_back({ RegionName("r" + std::to_string(region)) });
        for (unsigned domain = 0; domain < DomainsPerRegion; ++domain) {
            const FailureDomainName name(domainName(region, domain));
            content.domains.push_back({ name, content.regions.back().name });
            content.clientBlocks.push_back(
                { "10." + std::to_string(region) + '.' + std::to_string(domain) + ".0/24", name });
            for (unsigned number = 0; number < hostsPerDomain; ++number)
                content.hosts.push_back(makeHost(region, domain, number));
        }
    }
    const auto link = [](const char *from, const char *to, int milliseconds) {
        return Link { RegionName(from), RegionName(to), 280,
                      std::chrono::milliseconds(milliseconds) };
    };
    content.links = { link("r0", "r1", 12), link("r0", "r2", 40), link("r1", "r2", 40) };
    return content;
}

LookupTable makeTable(const RegisterContent &content, const LookupContext &context = {})
{
    return LookupTable::create(Register::create(1, content).value(), context);
}

LookupQuery queryFrom(const std::string &address, std::uint64_t random)
{
    return { ServiceName("kits"), IpAddress::parse(address), random };
}

std::vector<HostName> hostsOf(unsigned region, unsigned domain, unsigned count)
{
    std::vector<HostName> names;
    for (unsigned i = 0; i < count; ++i)
        names.emplace_back(hostName(region, domain, i));
    return names;
}

// Computes how often each key occurs as that of the first host in an answer.
template <typename Key>
std::map<std::string, double> shareOfFirst(const LookupTable &table, const std::string &address,
                                           Key key)
{
    std::mt19937_64 random(7);
    std::map<std::string, double> shares;
    for (unsigned i = 0; i < Draws; ++i) {
        const auto answer = table.lookUp(queryFrom(address, random())).value();
        shares[key(*answer.hosts().front().host)] += 1.0 / Draws;
    }
    return shares;
}

std::string domainOf(const EntryHost &host) { return host.domain.text(); }

class LookupTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LookupTableTest);
    CPPUNIT_TEST(nearestDomainComesFirst);
    CPPUNIT_TEST(answersNameOnlyAvailableHosts);
    CPPUNIT_TEST(hostsOfADomainShareItsCallers);
    CPPUNIT_TEST(lostDomainIsSpreadOverAllSurvivors);
    CPPUNIT_TEST(failoverIsSpreadOverAllSurvivors);
    CPPUNIT_TEST(partlyAvailableDomainRetainsAShare);
    CPPUNIT_TEST(drainMovesCallersGradually);
    CPPUNIT_TEST(unknownClientsUseTheDefaultDomain);
    CPPUNIT_TEST(failedLookupsReportTheCause);
    CPPUNIT_TEST(unchangedBlocksAreShared);
    CPPUNIT_TEST_SUITE_END();

public:
    void nearestDomainComesFirst()
    {
        const auto table = makeTable(makeContent(4));
        const auto answer = table.lookUp(queryFrom("10.1.0.9", 5)).value();
        CPPUNIT_ASSERT_EQUAL(MaximumLookupHosts, answer.hosts().size());
        for (std::size_t i = 0; i < MaximumLookupHosts; ++i) {
            const auto &it = answer.hosts()[i];
            const bool isPreferred = i < MaximumPreferredHosts;
            CPPUNIT_ASSERT_EQUAL(isPreferred, it.host->domain.text() == "r1d0");
            CPPUNIT_ASSERT_EQUAL(isPreferred ? PreferredWeight : 0U, it.weight);
        }
    }

    void answersNameOnlyAvailableHosts()
    {
        CPPUNIT_ASSERT(rc::check("answers list only available hosts, each once", [] {
            auto content = makeContent(2);
            LookupContext context;
            std::size_t available = 0;
            for (auto &it : content.hosts) {
                it.leaving = *rc::gen::inRange(0, 3) == 0;
                const bool isMissing = *rc::gen::inRange(0, 3) == 0;
                if (isMissing)
                    context.unavailable.push_back(it.name);
                available += it.leaving || isMissing ? 0 : 1;
            }
            const auto current = Register::create(1, content).value();
            const auto table = LookupTable::create(current, context);
            const auto query
                = queryFrom(*rc::gen::element<std::string>("10.0.0.1", "10.2.1.1", "::1"),
                            *rc::gen::arbitrary<std::uint64_t>());
            const auto answer = table.lookUp(query);
            if (!answer) {
                RC_ASSERT(available == 0U);
                return;
            }
            std::set<HostName> named;
            for (const auto &it : answer.value().hosts()) {
                const auto &missing = context.unavailable;
                RC_ASSERT(!it.host->leaving);
                RC_ASSERT(std::count(missing.begin(), missing.end(), it.host->name) == 0);
                RC_ASSERT(named.insert(it.host->name).second);
            }
            RC_ASSERT(named.size() == std::min(available, MaximumLookupHosts));
        }));
    }

    void hostsOfADomainShareItsCallers()
    {
        const auto table = makeTable(makeContent(5));
        const auto shares
            = shareOfFirst(table, "10.0.1.1", [](const EntryHost &it) { return it.name.text(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 5 }, shares.size());
        for (const auto &[host, share] : shares)
            CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(host, 0.2, share, 0.02);
    }

    void lostDomainIsSpreadOverAllSurvivors()
    {
        const LookupContext context { hostsOf(0, 0, 2), {}, 0 };
        const auto shares = shareOfFirst(makeTable(makeContent(2), context), "10.0.0.1", domainOf);
        checkSurvivorShares(shares);
    }

    void failoverIsSpreadOverAllSurvivors()
    {
        const auto table = makeTable(makeContent(MaximumPreferredHosts));
        std::mt19937_64 random(7);
        std::map<std::string, double> shares;
        for (unsigned i = 0; i < Draws; ++i) {
            const auto answer = table.lookUp(queryFrom("10.0.0.1", random())).value();
            shares[domainOf(*answer.hosts()[MaximumPreferredHosts].host)] += 1.0 / Draws;
        }
        checkSurvivorShares(shares);
    }

    void partlyAvailableDomainRetainsAShare()
    {
        const LookupContext half { hostsOf(0, 0, 2), {}, 0 };
        const LookupContext quarter { hostsOf(0, 0, 3), {}, 0 };
        const auto content = makeContent(4);
        auto shares = shareOfFirst(makeTable(content, half), "10.0.0.1", domainOf);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, shares["r0d0"], 1e-9);
        shares = shareOfFirst(makeTable(content, quarter), "10.0.0.1", domainOf);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, shares["r0d0"], 0.02);
    }

    void drainMovesCallersGradually()
    {
        auto content = makeContent(2);
        content.drains = { { DrainScope::Region, "r0", 1000, 2000 } };
        const auto shareAt = [&](UnixMillis now) {
            auto shares = shareOfFirst(makeTable(content, { {}, {}, now }), "10.0.0.1", domainOf);
            return shares["r0d0"];
        };
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, shareAt(1000), 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, shareAt(1750), 0.02);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, shareAt(2000), 1e-9);
    }

    void unknownClientsUseTheDefaultDomain()
    {
        const auto content = makeContent(2);
        const auto withDefaultDomain = makeTable(content, { {}, FailureDomainName("r2d1"), 0 });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 },
                             shareOfFirst(withDefaultDomain, "192.0.2.1", domainOf).size());
        const auto shares = shareOfFirst(makeTable(content), "192.0.2.1", domainOf);
        for (const auto &[domain, share] : shares)
            CPPUNIT_ASSERT_DOUBLES_EQUAL_MESSAGE(domain, 1.0 / 6, share, 0.02);
    }

    void failedLookupsReportTheCause()
    {
        const auto table = makeTable(makeContent(0));
        const auto noHost = table.lookUp(queryFrom("10.0.0.1", 0));
        const auto noService = table.lookUp({ ServiceName("none"), std::nullopt, 0 });
        CPPUNIT_ASSERT(!noHost && noHost.error().code() == ResultCode::NoWorkingTarget);
        CPPUNIT_ASSERT(!noService && noService.error().code() == ResultCode::NoSuchService);
    }

    void unchangedBlocksAreShared()
    {
        auto content = makeContent(2);
        const auto first = makeTable(content);
        content.hosts.pop_back();
        const auto second = LookupTable::create(Register::create(2, content).value(), {}, &first);
        content.clientBlocks.pop_back();
        const auto third = LookupTable::create(Register::create(3, content).value(), {}, &second);
        CPPUNIT_ASSERT(second.sharesBlocksWith(first));
        CPPUNIT_ASSERT(!third.sharesBlocksWith(second));
    }

private:
    // Expected weights for clients of r0d0: 1 in its region, 10/22 at 12 ms, 10/50 at 40 ms.
    static void checkSurvivorShares(std::map<std::string, double> shares)
    {
        const double sum = 1 + 2 * 10.0 / 22 + 2 * 10.0 / 50;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 5 }, shares.size());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1 / sum, shares["r0d1"], 0.02);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(10.0 / 22 / sum, shares["r1d0"], 0.02);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(10.0 / 50 / sum, shares["r2d1"], 0.02);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LookupTableTest);

} // namespace
