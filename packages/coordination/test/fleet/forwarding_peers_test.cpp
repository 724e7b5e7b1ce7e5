#include <ggv/coordination/fleet/forwarding_peers.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

namespace {

using ggv::HostAnnouncement;
using ggv::MaxForwardingPeers;
using ggv::RegionName;
using ggv::selectForwardingPeers;
using Hosts = std::vector<HostAnnouncement>;

constexpr std::size_t DomainsOfRegion = 3;
constexpr std::size_t FleetDomains = 6;
constexpr std::size_t FleetHosts = 83;
constexpr std::size_t CutHosts = 50;
constexpr std::size_t MinOtherRegionPlaces = 2;
constexpr std::size_t MaxOtherRegionPlaces = 4;

HostAnnouncement makeHost(std::size_t number, std::size_t domain)
{
    HostAnnouncement host;
    host.name = ggv::HostName("entry-" + std::to_string(number));
    host.service = { "10.0.0." + std::to_string(number), 80 };
    host.internal = { host.service.address, 7000 };
    host.domain = ggv::FailureDomainName("domain-" + std::to_string(domain));
    host.region = RegionName("region-" + std::to_string(domain / DomainsOfRegion));
    host.ready = true;
    return host;
}

Hosts makeFleet()
{
    Hosts hosts;
    hosts.reserve(FleetHosts);
    for (std::size_t n = 0; n < FleetHosts; ++n)
        hosts.push_back(makeHost(n, n % FleetDomains));
    return hosts;
}

// Cuts hosts of a failure domain from all targets until @p remaining reach them.
void cutDomain(Hosts &hosts, std::size_t domain, std::size_t remaining)
{
    for (std::size_t n = domain + remaining * FleetDomains; n < hosts.size(); n += FleetDomains)
        hosts[n].reachesTargets = false;
}

std::size_t countCut(const Hosts &hosts)
{
    return static_cast<std::size_t>(std::count_if(
        hosts.begin(), hosts.end(), [](const auto &it) { return !it.reachesTargets; }));
}

std::size_t countRegion(const Hosts &hosts, const RegionName &region)
{
    return static_cast<std::size_t>(std::count_if(
        hosts.begin(), hosts.end(), [&](const auto &it) { return it.region == region; }));
}

std::set<RegionName> regionsOf(const Hosts &hosts)
{
    std::set<RegionName> regions;
    for (const auto &it : hosts)
        regions.insert(it.region);
    return regions;
}

bool contains(const Hosts &hosts, const HostAnnouncement &host)
{
    return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

// Number of cut hosts to which each host is named.
std::map<ggv::HostName, std::size_t> countLists(const Hosts &hosts)
{
    std::map<ggv::HostName, std::size_t> lists;
    for (const auto &host : hosts) {
        if (host.reachesTargets)
            continue;
        for (const auto &it : selectForwardingPeers(host, hosts))
            ++lists[it.name];
    }
    return lists;
}

std::size_t maxLists(const Hosts &hosts)
{
    std::size_t most = 0;
    for (const auto &[name, count] : countLists(hosts))
        most = std::max(most, count);
    return most;
}

void assertSharedEvenly(const Hosts &hosts)
{
    constexpr std::size_t MaxMultipleOfMean = 3;
    CPPUNIT_ASSERT_EQUAL(CutHosts, countCut(hosts));
    const std::size_t total = CutHosts * MaxForwardingPeers;
    const std::size_t peers = FleetHosts - CutHosts;
    CPPUNIT_ASSERT(maxLists(hosts) * peers <= MaxMultipleOfMean * total);
}

// Any fleet; some hosts are not ready, cut off, or serve no other hosts.
Hosts anyFleet()
{
    const auto size = *rc::gen::inRange<std::size_t>(0, 40);
    const auto domains = *rc::gen::inRange<std::size_t>(1, 20);
    Hosts hosts;
    for (std::size_t n = 0; n < size; ++n) {
        hosts.push_back(makeHost(n, *rc::gen::inRange<std::size_t>(0, domains)));
        hosts.back().ready = *rc::gen::inRange(0, 8) != 0;
        hosts.back().reachesTargets = *rc::gen::inRange(0, 3) != 0;
        if (*rc::gen::inRange(0, 8) == 0)
            hosts.back().internal = {};
    }
    return hosts;
}

class ForwardingPeersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ForwardingPeersTest);
    CPPUNIT_TEST(manyCutHostsShareThePeersEvenly);
    CPPUNIT_TEST(lastHostOfADomainIsNotNamedToAllOthersThere);
    CPPUNIT_TEST(ownDomainIsNamedMoreOften);
    CPPUNIT_TEST(onlyOtherHostsThatCanServeAreNamed);
    CPPUNIT_TEST(otherRegionsKeepPlaces);
    CPPUNIT_TEST(removalOfAPeerChangesOnlyItsLists);
    CPPUNIT_TEST_SUITE_END();

public:
    void manyCutHostsShareThePeersEvenly()
    {
        Hosts everywhere = makeFleet();
        for (std::size_t n = 0; n < CutHosts; ++n)
            everywhere[n].reachesTargets = false;
        assertSharedEvenly(everywhere);

        Hosts byDomain = makeFleet();
        cutDomain(byDomain, 0, 1);
        cutDomain(byDomain, 1, 1);
        cutDomain(byDomain, 3, 1);
        cutDomain(byDomain, 4, 3);
        assertSharedEvenly(byDomain);
    }

    // Named to all of them, it would serve the requests of a whole failure domain.
    void lastHostOfADomainIsNotNamedToAllOthersThere()
    {
        Hosts hosts = makeFleet();
        cutDomain(hosts, 0, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 13 }, countCut(hosts));
        CPPUNIT_ASSERT(maxLists(hosts) <= MaxForwardingPeers);
    }

    void ownDomainIsNamedMoreOften()
    {
        const Hosts hosts = makeFleet();
        std::size_t ownDomain = 0;
        std::size_t ownRegion = 0;
        for (const auto &host : hosts) {
            for (const auto &it : selectForwardingPeers(host, hosts)) {
                ownDomain += it.domain == host.domain ? 1 : 0;
                ownRegion += it.region == host.region ? 1 : 0;
            }
        }
        // A third of the region's hosts, with twice the weight.
        CPPUNIT_ASSERT(ownDomain * 5 > ownRegion * 2);
    }

    void onlyOtherHostsThatCanServeAreNamed()
    {
        CPPUNIT_ASSERT(rc::check("peers are other ready hosts that reach targets", [] {
            const Hosts hosts = anyFleet();
            for (const auto &host : hosts) {
                const auto peers = selectForwardingPeers(host, hosts);
                const auto able = std::count_if(hosts.begin(), hosts.end(), [&](const auto &it) {
                    return it.ready && it.reachesTargets && it.internal.port != 0
                        && it.name != host.name;
                });
                RC_ASSERT(peers.size()
                          == std::min(MaxForwardingPeers, static_cast<std::size_t>(able)));
                for (const auto &it : peers)
                    RC_ASSERT(it.ready && it.reachesTargets && it.internal.port != 0
                              && it.name != host.name);
            }
        }));
    }

    void otherRegionsKeepPlaces()
    {
        CPPUNIT_ASSERT(rc::check("the own region comes first, but not alone", [] {
            const Hosts hosts = anyFleet();
            for (const auto &host : hosts) {
                Hosts able = hosts;
                std::erase_if(able, [&](const auto &it) {
                    return !it.ready || !it.reachesTargets || it.internal.port == 0
                        || it.region == host.region;
                });
                const auto peers = selectForwardingPeers(host, hosts);
                const std::size_t own = countRegion(peers, host.region);
                RC_ASSERT(peers.size() - own >= std::min(able.size(), MinOtherRegionPlaces));
                for (std::size_t n = 0; n < peers.size(); ++n)
                    RC_ASSERT((peers[n].region == host.region) == (n < own));
                std::set<RegionName> others = regionsOf(peers);
                others.erase(host.region);
                RC_ASSERT(others.size() >= std::min(regionsOf(able).size(), MaxOtherRegionPlaces));
            }
        }));
    }

    void removalOfAPeerChangesOnlyItsLists()
    {
        CPPUNIT_ASSERT(rc::check("lists without the removed peer stay as they are", [] {
            const Hosts hosts = anyFleet();
            RC_PRE(!hosts.empty());
            const auto removed = *rc::gen::inRange<std::size_t>(0, hosts.size());
            Hosts remaining = hosts;
            remaining[removed].reachesTargets = false;
            for (const auto &host : hosts) {
                const auto before = selectForwardingPeers(host, hosts);
                const auto after = selectForwardingPeers(host, remaining);
                if (!contains(before, hosts[removed]))
                    RC_ASSERT(before == after);
                for (const auto &it : before)
                    RC_ASSERT(it == hosts[removed] || contains(after, it));
            }
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardingPeersTest);

} // namespace
