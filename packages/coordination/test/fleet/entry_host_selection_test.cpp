#include <ggv/coordination/fleet/entry_host_selection.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>

namespace {

using ggv::HostAnnouncement;
using ggv::RegionName;
using ggv::selectEntryHosts;
using Hosts = std::vector<HostAnnouncement>;

constexpr std::size_t MaxCount = 64;

HostAnnouncement makeHost(const std::string &name, const std::string &region, bool ready = true,
                          bool reachesTargets = true)
{
    HostAnnouncement host;
    host.name = ggv::HostName(name);
    host.region = RegionName(region);
    host.ready = ready;
    host.reachesTargets = reachesTargets;
    return host;
}

Hosts anyHosts()
{
    const auto size = *rc::gen::inRange(0, 12);
    Hosts hosts;
    for (int n = 0; n < size; ++n)
        hosts.push_back(makeHost("entry-" + std::to_string(n),
                                 "region-" + std::to_string(*rc::gen::inRange(0, 3)),
                                 *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>()));
    return hosts;
}

template <typename Predicate>
bool anyOf(const Hosts &hosts, Predicate predicate)
{
    return std::any_of(hosts.begin(), hosts.end(), predicate);
}

class EntryHostSelectionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EntryHostSelectionTest);
    CPPUNIT_TEST(ownRegionIsPreferred);
    CPPUNIT_TEST(otherRegionIsNamedIfOwnReachesNoTarget);
    CPPUNIT_TEST(ownRegionIsNamedIfNobodyReachesTargets);
    CPPUNIT_TEST(fewRemainingHostsOfARegionShareItsCallers);
    CPPUNIT_TEST(numberOfHostsIsBounded);
    CPPUNIT_TEST(answerIsEmptyOnlyWithoutReadyHosts);
    CPPUNIT_TEST(hostWithoutTargetsIsNamedOnlyIfNoOtherHasAny);
    CPPUNIT_TEST_SUITE_END();

public:
    void ownRegionIsPreferred()
    {
        const auto north = makeHost("n-1", "north");
        const auto south = makeHost("s-1", "south");
        const auto closing = makeHost("w-1", "west", false);
        const Hosts hosts { north, south, closing };
        CPPUNIT_ASSERT(selectEntryHosts(hosts, RegionName("south"), MaxCount) == Hosts { south });
        CPPUNIT_ASSERT(
            (selectEntryHosts(hosts, RegionName("west"), MaxCount) == Hosts { north, south }));
        CPPUNIT_ASSERT((selectEntryHosts(hosts, RegionName(), MaxCount) == Hosts { north, south }));
        CPPUNIT_ASSERT(selectEntryHosts({ closing }, RegionName("west"), MaxCount).empty());
    }

    void otherRegionIsNamedIfOwnReachesNoTarget()
    {
        const auto north = makeHost("n-1", "north");
        const auto cut = makeHost("s-1", "south", true, false);
        const auto south = makeHost("s-2", "south");
        const RegionName region("south");
        CPPUNIT_ASSERT(selectEntryHosts({ north, cut }, region, MaxCount) == Hosts { north });
        CPPUNIT_ASSERT(selectEntryHosts({ north, cut, south }, region, MaxCount)
                       == Hosts { south });
    }

    void ownRegionIsNamedIfNobodyReachesTargets()
    {
        const auto north = makeHost("n-1", "north", true, false);
        const auto south = makeHost("s-1", "south", true, false);
        const Hosts hosts { north, south };
        CPPUNIT_ASSERT(selectEntryHosts(hosts, RegionName("south"), MaxCount) == Hosts { south });
        CPPUNIT_ASSERT(selectEntryHosts(hosts, RegionName("west"), MaxCount) == hosts);
    }

    // The remaining hosts would be overloaded by the callers of twice as many others.
    void fewRemainingHostsOfARegionShareItsCallers()
    {
        Hosts hosts { makeHost("n-1", "north"), makeHost("s-0", "south"), makeHost("s-1", "south"),
                      makeHost("s-2", "south", true, false),
                      makeHost("s-3", "south", true, false) };
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 },
                             selectEntryHosts(hosts, RegionName("south"), MaxCount).size());
        hosts.push_back(makeHost("s-4", "south", true, false));
        CPPUNIT_ASSERT((selectEntryHosts(hosts, RegionName("south"), MaxCount)
                        == Hosts { hosts[0], hosts[1], hosts[2] }));
    }

    void numberOfHostsIsBounded()
    {
        Hosts hosts;
        for (std::size_t n = 0; n < 2 * MaxCount; ++n)
            hosts.push_back(makeHost("entry-" + std::to_string(n), "north"));
        const auto selected = selectEntryHosts(hosts, RegionName("north"), MaxCount);
        CPPUNIT_ASSERT_EQUAL(MaxCount, selected.size());
        CPPUNIT_ASSERT(std::equal(selected.begin(), selected.end(), hosts.begin()));
    }

    void answerIsEmptyOnlyWithoutReadyHosts()
    {
        CPPUNIT_ASSERT(rc::check("a look-up has an answer while a host is ready", [] {
            const Hosts hosts = anyHosts();
            const auto selected = selectEntryHosts(hosts, RegionName("region-0"), MaxCount);
            RC_ASSERT(selected.empty() == !anyOf(hosts, [](const auto &it) { return it.ready; }));
            RC_ASSERT(!anyOf(selected, [](const auto &it) { return !it.ready; }));
        }));
    }

    void hostWithoutTargetsIsNamedOnlyIfNoOtherHasAny()
    {
        CPPUNIT_ASSERT(rc::check("hosts that reach no target are named only as a last resort", [] {
            const Hosts hosts = anyHosts();
            const auto selected = selectEntryHosts(hosts, RegionName("region-0"), MaxCount);
            const bool anyReaches
                = anyOf(hosts, [](const auto &it) { return it.ready && it.reachesTargets; });
            RC_ASSERT(anyOf(selected, [](const auto &it) { return !it.reachesTargets; })
                      == (!anyReaches && !selected.empty()));
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryHostSelectionTest);

} // namespace
