#include <ggv/coordination/fleet/entry_link.hpp>
#include <ggv/coordination/fleet/fleet_mesh.hpp>
#include <ggv/protocol/codec/fleet_codec.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <list>

namespace {

using ggv::Duration;
using ggv::Endpoint;
using ggv::EntryLink;
using ggv::FleetFeed;
using ggv::FrameConnection;
using std::chrono::milliseconds;
using std::chrono::seconds;

//! Fake control host that replies to each report with the same feed.
class ScriptedControlHost
{
public:
    ScriptedControlHost(boost::asio::io_context &context, FleetFeed feed)
        : m_feed(std::move(feed))
        , m_listener(
              context, { "127.0.0.1", 0 }, ggv::fleetFrameOptions(),
              [this](const std::shared_ptr<FrameConnection> &connection) { accept(connection); })
    { }

    ~ScriptedControlHost()
    {
        for (const auto &it : m_connections)
            it->close();
    }

    ScriptedControlHost(const ScriptedControlHost &) = delete;
    ScriptedControlHost &operator=(const ScriptedControlHost &) = delete;

    Endpoint endpoint() const { return { "127.0.0.1", m_listener.port() }; }
    std::size_t connections() const { return m_connections.size(); }
    const std::vector<ggv::HostReport> &reports() const { return m_reports; }

private:
    void accept(const std::shared_ptr<FrameConnection> &connection)
    {
        m_connections.push_back(connection);
        connection->start(
            [this, peer = connection.get()](ggv::ByteView bytes) {
                const auto message = ggv::decodeFleetMessage(bytes);
                if (const auto *report = std::get_if<ggv::HostReport>(&message))
                    m_reports.push_back(*report);
                peer->send(ggv::encodeFleetMessage(m_feed));
            },
            [](const ggv::Error &) {});
    }

    FleetFeed m_feed;
    std::vector<ggv::HostReport> m_reports;
    std::list<std::shared_ptr<FrameConnection>> m_connections;
    ggv::FrameListener m_listener;
};

FleetFeed makeFeed(bool current, std::uint64_t revision)
{
    FleetFeed feed;
    feed.current = current;
    feed.revision = revision;
    feed.version = revision;
    return feed;
}

class EntryLinkTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EntryLinkTest);
    CPPUNIT_TEST(switchesAwayFromControlHostWithoutLeader);
    CPPUNIT_TEST(ignoresOlderState);
    CPPUNIT_TEST(skipsUnreachableControlHost);
    CPPUNIT_TEST(changedReachOfTargetsIsReportedAtOnce);
    CPPUNIT_TEST(reachOfTargetsIsReportedToTheNextControlHost);
    CPPUNIT_TEST_SUITE_END();

public:
    void switchesAwayFromControlHostWithoutLeader()
    {
        ScriptedControlHost leaderless(m_context, makeFeed(false, 9));
        ScriptedControlHost secondLeaderless(m_context, makeFeed(false, 9));
        ScriptedControlHost current(m_context, makeFeed(true, 5));
        const auto link
            = start({ leaderless.endpoint(), secondLeaderless.endpoint(), current.endpoint() });
        runUntil([&] { return !m_revisions.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 5 }, m_revisions.front());
        // Each control host without a leader was tried once.
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, leaderless.connections());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, secondLeaderless.connections());
        CPPUNIT_ASSERT(m_elapsed < seconds(2));
    }

    void ignoresOlderState()
    {
        auto newer = std::make_unique<ScriptedControlHost>(m_context, makeFeed(true, 5));
        ScriptedControlHost older(m_context, makeFeed(true, 4));
        const auto link = start({ newer->endpoint(), older.endpoint() });
        runUntil([&] { return !m_revisions.empty(); });
        newer.reset();
        runUntil([&] { return older.connections() > 0; });
        runFor(milliseconds(700));
        for (const auto revision : m_revisions)
            CPPUNIT_ASSERT_EQUAL(std::uint64_t { 5 }, revision);
    }

    void skipsUnreachableControlHost()
    {
        Endpoint closedEndpoint;
        {
            ScriptedControlHost stopped(m_context, makeFeed(true, 5));
            closedEndpoint = stopped.endpoint();
        }
        ScriptedControlHost current(m_context, makeFeed(true, 5));
        const auto link = start({ closedEndpoint, current.endpoint() });
        runUntil([&] { return !m_revisions.empty(); });
        CPPUNIT_ASSERT(m_elapsed < seconds(1));
    }

    void changedReachOfTargetsIsReportedAtOnce()
    {
        constexpr int Changes = 10;
        ScriptedControlHost current(m_context, makeFeed(true, 5));
        const auto link = start({ current.endpoint() });
        runUntil([&] { return !current.reports().empty(); });
        CPPUNIT_ASSERT(current.reports().back().host.reachesTargets);
        Duration elapsed { 0 };
        for (int n = 0; n < Changes; ++n) {
            const bool reachesTargets = n % 2 != 0;
            link->setReachesTargets(reachesTargets);
            runUntil([&] { return isReported(current, reachesTargets); });
            elapsed += std::chrono::duration_cast<Duration>(m_elapsed);
        }
        // Periodic reports would take four seconds.
        CPPUNIT_ASSERT(elapsed < seconds(2));
    }

    void reachOfTargetsIsReportedToTheNextControlHost()
    {
        auto first = std::make_unique<ScriptedControlHost>(m_context, makeFeed(true, 5));
        ScriptedControlHost second(m_context, makeFeed(true, 5));
        const auto link = start({ first->endpoint(), second.endpoint() });
        link->setReachesTargets(false);
        runUntil([&] { return !first->reports().empty(); });
        first.reset();
        runUntil([&] { return !second.reports().empty(); });
        CPPUNIT_ASSERT(!second.reports().front().host.reachesTargets);
    }

private:
    static bool isReported(const ScriptedControlHost &host, bool reachesTargets)
    {
        return host.reports().back().host.reachesTargets == reachesTargets;
    }

    std::shared_ptr<EntryLink> start(std::vector<Endpoint> seeds)
    {
        return EntryLink::start(
            m_context, {}, std::move(seeds),
            { [this](const FleetFeed &feed) { m_revisions.push_back(feed.revision); },
              [](std::uint64_t, ggv::ByteView) {}, [](const ggv::TargetList &, Duration) {} });
    }

    template <typename Condition>
    void runUntil(Condition condition)
    {
        const auto startedAt = std::chrono::steady_clock::now();
        while (!condition() && std::chrono::steady_clock::now() - startedAt < seconds(20))
            m_context.run_for(milliseconds(5));
        m_elapsed = std::chrono::steady_clock::now() - startedAt;
        CPPUNIT_ASSERT(condition());
    }

    void runFor(Duration duration) { m_context.run_for(duration); }

    boost::asio::io_context m_context;
    std::vector<std::uint64_t> m_revisions;
    std::chrono::steady_clock::duration m_elapsed {};
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryLinkTest);

} // namespace
