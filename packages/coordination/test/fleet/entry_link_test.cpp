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

//! A control host that answers each report with the same feed.
class ScriptedControlHost
{
public:
    ScriptedControlHost(boost::asio::io_context &context, FleetFeed feed)
        : m_feed(std::move(feed))
        , m_listener(
              context, { "127.0.0.1", 0 }, ggv::fleetFrameOptions(),
              [this](const std::shared_ptr<FrameConnection> &connection) { accept(connection); })
    { }

    Endpoint endpoint() const { return { "127.0.0.1", m_listener.port() }; }
    std::size_t connections() const { return m_connections.size(); }

private:
    void accept(const std::shared_ptr<FrameConnection> &connection)
    {
        m_connections.push_back(connection);
        connection->start([this, raw = connection.get()](
                              ggv::ByteView) { raw->send(ggv::encodeFleetMessage(m_feed)); },
                          [](const ggv::Error &) {});
    }

    FleetFeed m_feed;
    std::list<std::shared_ptr<FrameConnection>> m_connections;
    ggv::FrameListener m_listener;
};

FleetFeed feedOf(bool current, std::uint64_t revision)
{
    FleetFeed feed;
    feed.current = current;
    feed.revision = revision;
    feed.configuration = ggv::Bytes { static_cast<std::uint8_t>(revision) };
    return feed;
}

class EntryLinkTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EntryLinkTest);
    CPPUNIT_TEST(aControlHostWithoutALeaderIsLeft);
    CPPUNIT_TEST(anOlderStateIsNeverTaken);
    CPPUNIT_TEST(anUnreachableControlHostIsSkipped);
    CPPUNIT_TEST_SUITE_END();

public:
    void aControlHostWithoutALeaderIsLeft()
    {
        ScriptedControlHost behind(m_context, feedOf(false, 9));
        ScriptedControlHost alsoBehind(m_context, feedOf(false, 9));
        ScriptedControlHost current(m_context, feedOf(true, 5));
        const auto link = start({ behind.endpoint(), alsoBehind.endpoint(), current.endpoint() });
        runUntil([&] { return !m_revisions.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 5 }, m_revisions.front());
        // Each of the two was asked once.
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, behind.connections());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, alsoBehind.connections());
        CPPUNIT_ASSERT(m_elapsed < seconds(2));
    }

    void anOlderStateIsNeverTaken()
    {
        auto newer = std::make_unique<ScriptedControlHost>(m_context, feedOf(true, 5));
        ScriptedControlHost older(m_context, feedOf(true, 4));
        const auto link = start({ newer->endpoint(), older.endpoint() });
        runUntil([&] { return !m_revisions.empty(); });
        newer.reset();
        runUntil([&] { return older.connections() > 0; });
        runFor(milliseconds(700));
        for (const auto revision : m_revisions)
            CPPUNIT_ASSERT_EQUAL(std::uint64_t { 5 }, revision);
    }

    void anUnreachableControlHostIsSkipped()
    {
        Endpoint closed;
        {
            ScriptedControlHost gone(m_context, feedOf(true, 5));
            closed = gone.endpoint();
        }
        ScriptedControlHost current(m_context, feedOf(true, 5));
        const auto link = start({ closed, current.endpoint() });
        runUntil([&] { return !m_revisions.empty(); });
        CPPUNIT_ASSERT(m_elapsed < seconds(1));
    }

private:
    std::shared_ptr<EntryLink> start(std::vector<Endpoint> seeds)
    {
        return EntryLink::start(
            m_context, {}, std::move(seeds),
            { [this](const FleetFeed &feed) { m_revisions.push_back(feed.revision); },
              [](const ggv::TargetList &, Duration) {} });
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
