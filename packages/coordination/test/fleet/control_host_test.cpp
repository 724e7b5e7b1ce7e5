#include <ggv/coordination/fleet/control_host.hpp>
#include <ggv/coordination/fleet/entry_host_selection.hpp>
#include <ggv/coordination/fleet/fleet_directory.hpp>
#include <ggv/coordination/fleet/fleet_mesh.hpp>
#include <ggv/coordination/fleet/pause_detector.hpp>
#include <ggv/coordination/fleet/target_list_reader.hpp>
#include <ggv/protocol/codec/fleet_codec.hpp>
#include <ggv/protocol/codec/target_report_codec.hpp>
#include <ggv/transport/net/frame_connection.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <filesystem>
#include <map>
#include <optional>
#include <random>
#include <thread>

#include <boost/asio/ip/tcp.hpp>

namespace {

using ggv::Bytes;
using ggv::ControlHost;
using ggv::Duration;
using ggv::Endpoint;
using ggv::FleetMessage;
using ggv::FrameConnection;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr ggv::MemberId ForeignMember = 77;
constexpr std::size_t MaxLookUpResults = 64;

class EmptyList : public ggv::TargetListReader
{
public:
    boost::asio::awaitable<std::vector<ggv::ListedTarget>> read() override
    {
        co_return std::vector<ggv::ListedTarget>();
    }
};

ggv::HostAnnouncement sampleHost(ggv::HostRole role)
{
    return { ggv::HostName("a-1"),
             role,
             { "127.0.0.1", 8000 },
             { "127.0.0.1", 1 },
             ggv::FailureDomainName("a"),
             ggv::RegionName("north"),
             ForeignMember,
             true };
}

ggv::ListedTarget sampleTarget()
{
    return { "i-1",
             ggv::ServiceName("shop"),
             { "10.0.1.1", 80 },
             ggv::FailureDomainName("a"),
             9,
             false,
             Duration(250) };
}

std::vector<FleetMessage> sampleMessages()
{
    const ggv::LogEntry entry { 1, 1, 0, { 1, 2, 3 } };
    return {
        ggv::HostReport { sampleHost(ggv::HostRole::Control), 4, 5 },
        ggv::HostReport { sampleHost(ggv::HostRole::Entry), 4, 5 },
        ggv::HostObservationReport { { { sampleHost(ggv::HostRole::Control), Duration(12) } } },
        ggv::QuorumEnvelope { { ForeignMember, 2, ggv::VoteRequest { 3, 1, 1, false } } },
        ggv::QuorumEnvelope {
            { ForeignMember, 2, ggv::AppendRequest { 1, 0, 0, 0, 0, { entry } } } },
        ggv::TargetListReport { 8, Duration(9), { { sampleTarget() } }, {} },
        ggv::TargetListReport { 8, Duration(9), {}, { { 7, { 0, 300 }, { sampleTarget() } } } },
        ggv::TargetStateReports { { { "i-1", 20, true, Duration(300) } } },
        ggv::DocumentUpdate { 7, 6, 8, { 1, 2 } }
    };
}

//! Control host that only records which hosts it is told of.
class OtherControlHost
{
public:
    OtherControlHost(boost::asio::io_context &context,
                     std::map<ggv::HostName, ggv::HostAnnouncement> &observed)
        : m_observed(observed)
        , m_listener(
              context, { "127.0.0.1", 0 }, ggv::fleetFrameOptions(),
              [this](const std::shared_ptr<FrameConnection> &connection) { accept(connection); })
    { }

    ~OtherControlHost()
    {
        for (const auto &it : m_connections)
            it->close();
    }

    OtherControlHost(const OtherControlHost &) = delete;
    OtherControlHost &operator=(const OtherControlHost &) = delete;

    Endpoint endpoint() const { return { "127.0.0.1", m_listener.port() }; }

private:
    void accept(const std::shared_ptr<FrameConnection> &connection)
    {
        m_connections.push_back(connection);
        connection->start([this](ggv::ByteView bytes) { record(ggv::decodeFleetMessage(bytes)); },
                          [](const ggv::Error &) {});
    }

    void record(const FleetMessage &message)
    {
        if (const auto *own = std::get_if<ggv::HostReport>(&message))
            m_observed[own->host.name] = own->host;
        const auto *report = std::get_if<ggv::HostObservationReport>(&message);
        if (report == nullptr)
            return;
        for (const auto &it : report->hosts)
            m_observed[it.host.name] = it.host;
    }

    std::map<ggv::HostName, ggv::HostAnnouncement> &m_observed;
    std::vector<std::shared_ptr<FrameConnection>> m_connections;
    ggv::FrameListener m_listener;
};

class ControlHostTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ControlHostTest);
    CPPUNIT_TEST(malformedMessagesCloseOnlyTheirConnection);
    CPPUNIT_TEST(onlyHostWithoutTargetsGetsForwardingPeers);
    CPPUNIT_TEST(changedReachOfTargetsIsToldToOtherControlHostsAtOnce);
    CPPUNIT_TEST(statedRateLimitIsDividedAmongEntryHosts);
    CPPUNIT_TEST(hostThatOnlyOthersHaveSeenIsNotAdded);
    CPPUNIT_TEST(observationReadAfterAPauseIsNotNew);
    CPPUNIT_TEST(shutdownIsAnnouncedAtOnce);
    CPPUNIT_TEST(lateAnnouncementOfAnEarlierProcessRemovesNoMember);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        std::string name = (std::filesystem::temp_directory_path() / "ggv-host-XXXXXX").string();
        CPPUNIT_ASSERT(::mkdtemp(name.data()) != nullptr);
        m_folder = name;
        m_endpoint = freeEndpoint();
        ggv::ControlHostSetup setup;
        setup.self.name = ggv::HostName("control-1");
        setup.self.role = ggv::HostRole::Control;
        setup.self.internal = m_endpoint;
        setup.seeds = { m_endpoint };
        setup.dataFolder = name;
        setup.initialize = true;
        m_host = ControlHost::start(m_context, std::move(setup), m_reader).value();
    }

    void tearDown() override
    {
        m_host.reset();
        std::filesystem::remove_all(m_folder);
    }

    void malformedMessagesCloseOnlyTheirConnection()
    {
        constexpr int Connections = 200;
        std::mt19937_64 random(20261204);
        for (int n = 0; n < Connections; ++n)
            sendModifiedMessages(random);
        m_context.run_for(milliseconds(200));
        CPPUNIT_ASSERT(isAnswered());
    }

    void onlyHostWithoutTargetsGetsForwardingPeers()
    {
        EntrySession first = openSession("entry-1");
        EntrySession second = openSession("entry-2");
        report(first);
        report(second);
        CPPUNIT_ASSERT((lookUp() == HostNames { "entry-1", "entry-2" }));

        first.host.reachesTargets = false;
        report(first);
        report(second);
        CPPUNIT_ASSERT(first.feed->forwardingPeers == std::vector { second.host });
        CPPUNIT_ASSERT(second.feed->forwardingPeers.empty());
        CPPUNIT_ASSERT(lookUp() == HostNames { "entry-2" });

        first.host.reachesTargets = true;
        report(first);
        report(second);
        CPPUNIT_ASSERT(first.feed->forwardingPeers.empty());
        CPPUNIT_ASSERT(second.feed->forwardingPeers.empty());
        CPPUNIT_ASSERT((lookUp() == HostNames { "entry-1", "entry-2" }));
    }

    // Each of them answers look-ups.
    void changedReachOfTargetsIsToldToOtherControlHostsAtOnce()
    {
        constexpr int Changes = 10;
        std::map<ggv::HostName, ggv::HostAnnouncement> observed;
        OtherControlHost other(m_context, observed);
        m_host->setSeeds({ m_endpoint, other.endpoint() });
        EntrySession session = openSession("entry-1");
        report(session);
        runUntil([&] { return observed.contains(session.host.name); });
        const auto startedAt = std::chrono::steady_clock::now();
        for (int n = 0; n < Changes; ++n) {
            session.host.reachesTargets = !session.host.reachesTargets;
            report(session);
            runUntil([&] { return observed[session.host.name] == session.host; });
        }
        // Periodic reports would take four seconds.
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - startedAt < seconds(2));
        CPPUNIT_ASSERT(observed[session.host.name] == session.host);
    }

    void statedRateLimitIsDividedAmongEntryHosts()
    {
        std::array<EntrySession, 2> sessions { openSession("entry-1"), openSession("entry-2") };
        for (auto &it : sessions)
            report(it);
        const ggv::TargetRateLimitReport limit { "i-1", 8.6, Duration(0) };
        const ggv::TargetStateReports reports { { ggv::encodeRateLimitReport(limit) } };
        sessions[0].connection->send(ggv::encodeFleetMessage(reports));
        for (const auto &it : sessions) {
            runUntil([&] { return it.records->size() >= 2; });
            CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, it.records->size());
            CPPUNIT_ASSERT(ggv::decodeRateLimitReport(it.records->at(0))->perSecond == 8.6);
            CPPUNIT_ASSERT_EQUAL(0.5, ggv::decodeRateLimitShare(it.records->at(1))->fraction);
        }
    }

    // Guards against a removed host that a late observation of another host brings back.
    void hostThatOnlyOthersHaveSeenIsNotAdded()
    {
        runUntil([&] { return m_host->isConfirmedLeader(); });
        const EntrySession session = openSession("entry-1");
        const ggv::HostAnnouncement lost = sampleHost(ggv::HostRole::Control);
        const ggv::HostObservationReport relayed { { { lost, Duration(0) } } };
        for (int n = 0; n < 15; ++n) {
            session.connection->send(ggv::encodeFleetMessage(relayed));
            m_context.run_for(milliseconds(100));
        }
        CPPUNIT_ASSERT(!hasMetric("ggv_control_learners 1"));
        session.connection->send(ggv::encodeFleetMessage(ggv::HostReport { lost, 0, 0 }));
        runUntil([&] { return hasMetric("ggv_control_learners 1"); });
        CPPUNIT_ASSERT(hasMetric("ggv_control_learners 1"));
    }

    // Guards against a woken process that takes a lost host for alive, and tells others so.
    void observationReadAfterAPauseIsNotNew()
    {
        constexpr milliseconds Age { 700 };
        constexpr milliseconds Pause { 900 };
        static_assert(Pause < ggv::FleetDirectory::LivenessTimeout);
        static_assert(Age + Pause > ggv::FleetDirectory::LivenessTimeout);
        EntrySession session = openSession("entry-1");
        report(session);
        ggv::HostAnnouncement lost = session.host;
        lost.name = ggv::HostName("entry-2");
        const ggv::HostObservationReport relayed { { { lost, Age } } };
        session.connection->send(ggv::encodeFleetMessage(relayed));
        std::this_thread::sleep_for(Pause);
        m_context.run_for(milliseconds(100));
        CPPUNIT_ASSERT(lookUp() == HostNames { "entry-1" });

        m_context.run_for(ggv::PauseDetector::DrainTime);
        session.connection->send(ggv::encodeFleetMessage(relayed));
        m_context.run_for(milliseconds(100));
        CPPUNIT_ASSERT((lookUp() == HostNames { "entry-1", "entry-2" }));
    }

    // Guards against a host whose leader learns only by its silence that it was stopped.
    void shutdownIsAnnouncedAtOnce()
    {
        std::map<ggv::HostName, ggv::HostAnnouncement> observed;
        OtherControlHost other(m_context, observed);
        m_host->setSeeds({ m_endpoint, other.endpoint() });
        const ggv::HostName self("control-1");
        runUntil([&] { return observed.contains(self); });
        CPPUNIT_ASSERT(observed[self].ready);
        const auto startedAt = std::chrono::steady_clock::now();
        m_host->beginShutdown();
        runUntil([&] { return !observed[self].ready; });
        CPPUNIT_ASSERT(!observed[self].ready);
        // Periodic reports come each 0.4 s.
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - startedAt < milliseconds(200));
        CPPUNIT_ASSERT(!m_host->awaitsRemoval()); // The only voter cannot be removed.
    }

    // Guards against a host that started again and is removed for what its earlier process said
    // last, as the leader was paused and reads it late.
    void lateAnnouncementOfAnEarlierProcessRemovesNoMember()
    {
        runUntil([&] { return m_host->isConfirmedLeader(); });
        ggv::HostAnnouncement host = sampleHost(ggv::HostRole::Control);
        const auto announce = [&host](const std::shared_ptr<FrameConnection> &connection) {
            connection->send(ggv::encodeFleetMessage(ggv::HostReport { host, 0, 0 }));
        };
        const auto earlier = connect([](ggv::ByteView) {});
        const auto later = connect([](ggv::ByteView) {});
        announce(earlier);
        announce(later);
        runUntil([&] { return hasMetric("ggv_control_learners 1"); });
        host.ready = false;
        announce(earlier);
        m_context.run_for(seconds(1));
        CPPUNIT_ASSERT(hasMetric("ggv_control_learners 1"));
        announce(later);
        runUntil([&] { return hasMetric("ggv_control_learners 0"); });
        CPPUNIT_ASSERT(hasMetric("ggv_control_learners 0"));
    }

private:
    using HostNames = std::vector<std::string>;

    bool hasMetric(const std::string &line) const
    {
        return m_host->metricsText().find("\n" + line + "\n") != std::string::npos;
    }

    struct EntrySession
    {
        ggv::HostAnnouncement host;
        std::shared_ptr<FrameConnection> connection;
        std::shared_ptr<std::optional<ggv::FleetFeed>> received; //!< Latest feed.
        std::optional<ggv::FleetFeed> feed; //!< Answer to the latest report.
        //! Records about targets, in the order of their arrival.
        std::shared_ptr<std::vector<ggv::TargetStateReport>> records;
    };

    EntrySession openSession(const char *name)
    {
        EntrySession session;
        session.host = sampleHost(ggv::HostRole::Entry);
        session.host.name = ggv::HostName(name);
        session.host.member = 0;
        session.received = std::make_shared<std::optional<ggv::FleetFeed>>();
        session.records = std::make_shared<std::vector<ggv::TargetStateReport>>();
        session.connection = connect([received = session.received,
                                      records = session.records](ggv::ByteView bytes) {
            const auto message = ggv::decodeFleetMessage(bytes);
            if (const auto *feed = std::get_if<ggv::FleetFeed>(&message))
                *received = *feed;
            else if (const auto *reports = std::get_if<ggv::TargetStateReports>(&message))
                records->insert(records->end(), reports->targets.begin(), reports->targets.end());
        });
        CPPUNIT_ASSERT(session.connection);
        return session;
    }

    // Sends the session's announcement and waits for the feed in return.
    void report(EntrySession &session)
    {
        session.received->reset();
        session.connection->send(ggv::encodeFleetMessage(ggv::HostReport { session.host, 0, 0 }));
        runUntil([&] { return session.received->has_value(); });
        CPPUNIT_ASSERT(session.received->has_value());
        session.feed = *session.received;
    }

    HostNames lookUp() const
    {
        HostNames names;
        for (const auto &it : ggv::selectEntryHosts(m_host->entryHosts(), ggv::RegionName("north"),
                                                    MaxLookUpResults))
            names.push_back(it.name.text());
        return names;
    }

    Endpoint freeEndpoint()
    {
        const boost::asio::ip::tcp::acceptor acceptor(
            m_context, { boost::asio::ip::address_v4::loopback(), 0 });
        return { "127.0.0.1", acceptor.local_endpoint().port() };
    }

    // Opens a connection; returns null after a time-out.
    std::shared_ptr<FrameConnection> connect(const std::function<void(ggv::ByteView)> &onMessage)
    {
        std::shared_ptr<FrameConnection> opened;
        ggv::connectFrames(
            m_context, m_endpoint, ggv::fleetFrameOptions(),
            [&opened](std::shared_ptr<FrameConnection> connection) {
                opened = std::move(connection);
            },
            [](ggv::ConnectFailure) {});
        runUntil([&opened] { return opened != nullptr; });
        if (opened)
            opened->start(onMessage, [](const ggv::Error &) {});
        return opened;
    }

    void sendModifiedMessages(std::mt19937_64 &random)
    {
        const auto connection = connect([](ggv::ByteView) {});
        CPPUNIT_ASSERT(connection);
        // The sender is announced unchanged, so that its other messages are not ignored.
        connection->send(ggv::encodeFleetMessage(sampleMessages().front()));
        for (const auto &it : sampleMessages()) {
            Bytes bytes = ggv::encodeFleetMessage(it);
            const auto at = random() % bytes.size();
            if (random() % 4 == 0)
                bytes.resize(at);
            else
                bytes[at] = static_cast<std::uint8_t>(random());
            if (!bytes.empty())
                connection->send(bytes);
        }
        m_context.run_for(milliseconds(2));
        connection->close();
    }

    bool isAnswered()
    {
        bool answered = false;
        const auto connection = connect([&answered](ggv::ByteView) { answered = true; });
        CPPUNIT_ASSERT(connection);
        connection->send(
            ggv::encodeFleetMessage(ggv::HostReport { sampleHost(ggv::HostRole::Entry), 0, 0 }));
        runUntil([&answered] { return answered; });
        connection->close();
        return answered;
    }

    template <typename Condition>
    void runUntil(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + seconds(5);
        while (!condition() && std::chrono::steady_clock::now() < end)
            m_context.run_for(milliseconds(1));
    }

    boost::asio::io_context m_context;
    EmptyList m_reader;
    Endpoint m_endpoint;
    std::filesystem::path m_folder;
    std::unique_ptr<ControlHost> m_host;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlHostTest);

} // namespace
