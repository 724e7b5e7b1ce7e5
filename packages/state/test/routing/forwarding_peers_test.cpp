#include <ggv/state/routing/forwarding_peers.hpp>

#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using ggv::Duration;
using ggv::ForwardingPeer;
using ggv::ForwardingPeers;
using ggv::HostName;
using ggv::Instant;
using ggv::RandomSource;
using ggv::RegionName;
using std::chrono::milliseconds;

using Regions = std::vector<RegionName>;

const RegionName North("north");
const RegionName South("south");
const RegionName West("west");

ForwardingPeer peer(const std::string &name, const RegionName &region)
{
    return { HostName(name), { "127.0.0.1", 1 }, region };
}

std::vector<ForwardingPeer> randomPeers()
{
    const auto regions = *rc::gen::container<std::vector<RegionName>>(
        rc::gen::element(RegionName("north"), RegionName("south"), RegionName("west")));
    std::vector<ForwardingPeer> peers;
    for (std::size_t n = 0; n < regions.size(); ++n)
        peers.push_back(peer("p" + std::to_string(n), regions[n]));
    return peers;
}

Regions randomRegions()
{
    return *rc::gen::container<Regions>(
        rc::gen::element(RegionName("north"), RegionName("south"), RegionName("east")));
}

class ForwardingPeersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ForwardingPeersTest);
    CPPUNIT_TEST(onlyAllowedUntriedWorkingPeersAreChosen);
    CPPUNIT_TEST(aPeerIsFoundWheneverOneMayServe);
    CPPUNIT_TEST(nearestRegionIsChosenFirst);
    CPPUNIT_TEST(loadSpreadsOverNearPeers);
    CPPUNIT_TEST(failedPeerIsChosenAgainAfterTheBackoff);
    CPPUNIT_TEST(failureSurvivesAnUpdateOfTheList);
    CPPUNIT_TEST_SUITE_END();

public:
    void onlyAllowedUntriedWorkingPeersAreChosen()
    {
        CPPUNIT_ASSERT(rc::check("a chosen peer is allowed, untried and not failed", [this] {
            const auto peers = randomPeers();
            const auto allowed = randomRegions();
            ForwardingPeers list;
            list.update(peers);
            std::set<HostName> tried;
            std::set<HostName> failed;
            for (const auto &it : peers) {
                if (*rc::gen::inRange(0, 3) == 0)
                    tried.insert(it.name);
                if (*rc::gen::inRange(0, 3) > 0)
                    continue;
                failed.insert(it.name);
                list.observeFailure(it.name, m_now);
            }
            RandomSource random(*rc::gen::arbitrary<std::uint64_t>());
            const auto *chosen = list.choose(allowed, tried, m_now + milliseconds(1), random);
            if (chosen == nullptr)
                return;
            RC_ASSERT(allowed.empty()
                      || std::find(allowed.begin(), allowed.end(), chosen->region)
                          != allowed.end());
            RC_ASSERT(!tried.contains(chosen->name));
            RC_ASSERT(!failed.contains(chosen->name));
        }));
    }

    void aPeerIsFoundWheneverOneMayServe()
    {
        CPPUNIT_ASSERT(rc::check("each allowed peer is chosen once before none is left", [this] {
            const auto peers = randomPeers();
            const auto allowed = randomRegions();
            ForwardingPeers list;
            list.update(peers);
            RandomSource random(*rc::gen::arbitrary<std::uint64_t>());
            std::set<HostName> tried;
            while (const auto *chosen = list.choose(allowed, tried, m_now, random))
                RC_ASSERT(tried.insert(chosen->name).second);
            const auto count
                = std::count_if(peers.begin(), peers.end(), [&allowed](const auto &it) {
                      return allowed.empty()
                          || std::find(allowed.begin(), allowed.end(), it.region) != allowed.end();
                  });
            RC_ASSERT(tried.size() == static_cast<std::size_t>(count));
        }));
    }

    void nearestRegionIsChosenFirst()
    {
        m_peers.update({ peer("n", North), peer("s1", South), peer("s2", South) });
        for (int n = 0; n < Rounds; ++n)
            CPPUNIT_ASSERT_EQUAL(std::string("n"), choose({}, {}));
        CPPUNIT_ASSERT(choose({ South }, {}).starts_with("s"));
        CPPUNIT_ASSERT(choose({}, { HostName("n") }).starts_with("s"));
        CPPUNIT_ASSERT_EQUAL(std::string(), choose({ West }, {}));
    }

    void loadSpreadsOverNearPeers()
    {
        m_peers.update({ peer("a", North), peer("b", North), peer("c", North), peer("d", North) });
        std::map<std::string, int> counts;
        for (int n = 0; n < Rounds; ++n)
            ++counts[choose({}, {})];
        CPPUNIT_ASSERT_EQUAL(ForwardingPeers::SpreadWidth, counts.size());
        for (const auto &[name, count] : counts)
            CPPUNIT_ASSERT_MESSAGE(name, count > Rounds / 5);
    }

    void failedPeerIsChosenAgainAfterTheBackoff()
    {
        m_peers.update({ peer("a", North) });
        m_peers.observeFailure(HostName("a"), m_now);
        CPPUNIT_ASSERT_EQUAL(std::string(), choose({}, {}));
        m_now += ForwardingPeers::FailureBackoff - milliseconds(1);
        CPPUNIT_ASSERT_EQUAL(std::string(), choose({}, {}));
        m_now += milliseconds(1);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), choose({}, {}));
    }

    void failureSurvivesAnUpdateOfTheList()
    {
        m_peers.update({ peer("a", North), peer("b", North) });
        m_peers.observeFailure(HostName("a"), m_now);
        m_peers.update({ peer("a", North) });
        CPPUNIT_ASSERT_EQUAL(std::string(), choose({}, {}));
    }

private:
    static constexpr int Rounds = 300;

    std::string choose(const Regions &allowed, const std::set<HostName> &tried)
    {
        const auto *chosen = m_peers.choose(allowed, tried, m_now, m_random);
        return chosen == nullptr ? "" : chosen->name.text();
    }

    ForwardingPeers m_peers;
    Instant m_now {};
    RandomSource m_random { 7 };
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardingPeersTest);

} // namespace
