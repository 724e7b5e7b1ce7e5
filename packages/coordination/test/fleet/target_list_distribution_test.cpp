#include <fleet/throttled_proxy.hpp>

#include <ggv/coordination/fleet/control_host.hpp>
#include <ggv/coordination/fleet/entry_link.hpp>
#include <ggv/coordination/fleet/target_list_reader.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <filesystem>
#include <map>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>

namespace {

using namespace ggv::test;
using ggv::ControlHost;
using ggv::Duration;
using ggv::Endpoint;
using ggv::EntryLink;
using ggv::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

//! Time in which entry hosts must know that a listed target is leaving.
constexpr Duration DrainTime = seconds(3);
constexpr int Targets = 400;
//! A complete list takes longer than the time between two readings, and less than twice as long.
constexpr std::size_t SlowBytesPerSecond = 10'000;
constexpr std::size_t FastBytesPerSecond = 10'000'000;

//! A list in which one more target is leaving at each reading.
class ReleasedTargets : public ggv::TargetListReader
{
public:
    boost::asio::awaitable<std::vector<ggv::ListedTarget>> read() override
    {
        const auto leaving = static_cast<int>(m_listedAt.size());
        m_listedAt.push_back(ggv::monotonicNow());
        std::vector<ggv::ListedTarget> targets;
        targets.reserve(Targets);
        for (int n = 0; n < Targets; ++n)
            targets.push_back(target(n, n <= leaving));
        for (auto &it : targets)
            it.startedAt = m_isRestarting ? 1 : 0;
        if (m_isRestarting) {
            targets.front().startedAt = 1 + leaving / 2;
            targets.front().leaving = leaving % 2 == 1;
        }
        co_return targets;
    }

    //! Gives the targets starts. The first one leaves at each second reading, and is ready with a
    //! later start at the next.
    void restartEachTime() { m_isRestarting = true; }

    //! @return When the list named the target as leaving for the first time, by position.
    const std::vector<Instant> &listedAt() const { return m_listedAt; }

private:
    static ggv::ListedTarget target(int number, bool leaving)
    {
        ggv::ListedTarget target;
        target.instance = "instance-" + std::to_string(1000 + number);
        target.service = ggv::ServiceName("s");
        target.endpoint = { "127.0.0.1", static_cast<std::uint16_t>(1 + number) };
        target.domain = ggv::FailureDomainName("a");
        target.slots = 1;
        target.leaving = leaving;
        return target;
    }

    std::vector<Instant> m_listedAt;
    bool m_isRestarting = false;
};

class TargetListDistributionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetListDistributionTest);
    CPPUNIT_TEST(leavingTargetIsKnownInTime);
    CPPUNIT_TEST(leavingTargetIsKnownInTimeAfterADelayedListAndAReconnect);
    CPPUNIT_TEST(startsAreKnownWithTheList);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        std::string name = (std::filesystem::temp_directory_path() / "ggv-list-XXXXXX").string();
        CPPUNIT_ASSERT(::mkdtemp(name.data()) != nullptr);
        m_folder = name;
        m_knownAt.clear();
        m_firstTarget.clear();
        m_context = std::make_unique<boost::asio::io_context>();
        m_reader = std::make_unique<ReleasedTargets>();
        const Endpoint control = freeEndpoint();
        startControlHost(control);
        m_proxy = std::make_unique<ThrottledProxy>(*m_context, control, FastBytesPerSecond);
        runUntil([this] { return m_control->isConfirmedLeader(); });
        acceptConfiguration();
    }

    void tearDown() override
    {
        m_link.reset();
        m_proxy.reset();
        m_control.reset();
        m_context.reset();
        std::filesystem::remove_all(m_folder);
    }

    void leavingTargetIsKnownInTime()
    {
        startLink();
        runUntil([this] { return !m_knownAt.empty(); });
        m_context->run_for(seconds(4));
        CPPUNIT_ASSERT(longestDelay() < DrainTime);
    }

    // The first list is delayed on its way, so that it seems newer than the next one; the host then
    // connects anew. It stayed on the first list for 5 s.
    void leavingTargetIsKnownInTimeAfterADelayedListAndAReconnect()
    {
        m_proxy->setRate(SlowBytesPerSecond);
        waitForNextReading();
        startLink();
        runUntil([this] { return !m_knownAt.empty(); });
        m_proxy->setRate(FastBytesPerSecond);
        m_proxy->closeConnections();
        m_connectedAgainAt = ggv::monotonicNow();
        m_context->run_for(seconds(7));
        CPPUNIT_ASSERT(longestDelay() < DrainTime);
    }

    // Guards against a restarted target that is taken for the one that left, as its start comes
    // later than its entry, together with the entry of the earlier start, or not at all.
    void startsAreKnownWithTheList()
    {
        m_reader->restartEachTime();
        waitForNextReading();
        startLink();
        runUntil([this] { return !m_firstTarget.empty(); });
        m_context->run_for(seconds(4));
        m_proxy->closeConnections();
        m_context->run_for(seconds(4));
        CPPUNIT_ASSERT(m_firstTarget.size() > 3);
        CPPUNIT_ASSERT(std::is_sorted(m_firstTarget.begin(), m_firstTarget.end()));
        CPPUNIT_ASSERT(m_firstTarget.front().first > 0);
        const auto readings = static_cast<ggv::UnixMillis>(m_reader->listedAt().size());
        CPPUNIT_ASSERT(m_firstTarget.back().first >= (readings - 1) / 2);
        CPPUNIT_ASSERT(m_hasAllStarts);
    }

private:
    static Endpoint freeEndpoint()
    {
        boost::asio::io_context context;
        const boost::asio::ip::tcp::acceptor acceptor(
            context, { boost::asio::ip::address_v4::loopback(), 0 });
        return { "127.0.0.1", acceptor.local_endpoint().port() };
    }

    void startControlHost(const Endpoint &endpoint)
    {
        ggv::ControlHostSetup setup;
        setup.self.name = ggv::HostName("control-1");
        setup.self.role = ggv::HostRole::Control;
        setup.self.internal = endpoint;
        setup.seeds = { endpoint };
        setup.dataFolder = m_folder;
        setup.initialize = true;
        m_control = ControlHost::start(*m_context, std::move(setup), *m_reader).value();
    }

    // Feeds state nothing before the first configuration.
    void acceptConfiguration()
    {
        bool isAccepted = false;
        boost::asio::co_spawn(
            *m_context, m_control->execute(ggv::ChangeConfiguration { 1, 0, 1, { 1 } }),
            [&isAccepted](const std::exception_ptr &, const ggv::CommandOutcome &outcome) {
                isAccepted = outcome.code == ggv::ResultCode::Ok;
            });
        runUntil([&isAccepted] { return isAccepted; });
    }

    void waitForNextReading()
    {
        const auto readings = m_reader->listedAt().size();
        runUntil([this, readings] { return m_reader->listedAt().size() > readings; });
    }

    void startLink()
    {
        m_connectedAgainAt = ggv::monotonicNow();
        ggv::HostAnnouncement self;
        self.name = ggv::HostName("entry-1");
        m_link = EntryLink::start(
            *m_context, self, { m_proxy->endpoint() },
            { [](const ggv::FleetFeed &) {}, [](std::uint64_t, ggv::ByteView) {},
              [this](const ggv::TargetList &list, Duration) { recordLeaving(list); } });
    }

    void recordLeaving(const ggv::TargetList &list)
    {
        m_firstTarget.emplace_back(list.targets.front().startedAt, list.targets.front().leaving);
        m_hasAllStarts = std::all_of(list.targets.begin(), list.targets.end(),
                                     [](const auto &it) { return it.startedAt > 0; });
        for (const auto &it : list.targets) {
            if (it.leaving)
                m_knownAt.emplace(it.endpoint.port - 1, ggv::monotonicNow());
        }
    }

    // Longest time from the listing of a leaving target to this host's knowledge of it; only
    // targets that were listed as leaving after the host was connected for the last time.
    Duration longestDelay() const
    {
        const Instant now = ggv::monotonicNow();
        Duration longest { 0 };
        const auto &listedAt = m_reader->listedAt();
        for (int n = 0; n < static_cast<int>(listedAt.size()); ++n) {
            if (listedAt[n] < m_connectedAgainAt)
                continue;
            const auto known = m_knownAt.find(n);
            const Instant until = known == m_knownAt.end() ? now : known->second;
            longest = std::max(longest, until - listedAt[n]);
        }
        return longest;
    }

    template <typename Condition>
    void runUntil(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + seconds(20);
        while (!condition() && std::chrono::steady_clock::now() < end)
            m_context->run_for(milliseconds(5));
        CPPUNIT_ASSERT(condition());
    }

    std::filesystem::path m_folder;
    std::unique_ptr<boost::asio::io_context> m_context;
    std::unique_ptr<ReleasedTargets> m_reader;
    std::unique_ptr<ControlHost> m_control;
    std::unique_ptr<ThrottledProxy> m_proxy;
    std::shared_ptr<EntryLink> m_link;
    std::map<int, Instant> m_knownAt; //!< When the host learnt that a target is leaving.
    //! Start of the first target and whether it was leaving, in each list.
    std::vector<std::pair<ggv::UnixMillis, bool>> m_firstTarget;
    bool m_hasAllStarts = false; //!< All targets of the last list had a start.
    Instant m_connectedAgainAt {};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetListDistributionTest);

} // namespace
