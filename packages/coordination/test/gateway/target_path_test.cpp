#include <ggv/coordination/gateway/target_path_prober.hpp>

#include <gateway/gateway_fixture.hpp>
#include <log/captured_output.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <condition_variable>
#include <exception>
#include <future>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace {

using namespace ggv;
using namespace ggv::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

//! Time from the start of a cut within which callers must be served elsewhere.
constexpr auto MaxDetectionTime = seconds(3);

//! Gateway with a prober and two targets in each of two failure domains.
class PathFixture : public GatewayFixture
{
public:
    explicit PathFixture(const std::vector<std::string> &domains = { "a", "a", "b", "b" },
                         const ScriptedTarget::Script &script = success)
    {
        for (const auto &it : domains)
            addTarget(script, it);
        // A target that seems to have restarted would serve next to nothing.
        ServicePolicy policy;
        policy.coldStart = seconds(30);
        policy.coldRequestsPerSecond = 0.1;
        setServicePolicy(policy);
        m_prober = TargetPathProber::start(loop(), context(), [this](bool reachesTargets) {
            const std::scoped_lock lock(m_mutex);
            m_changes.push_back(reachesTargets);
            m_changed.notify_all();
            if (m_namesPeers)
                context().setForwardingPeers(reachesTargets ? std::vector<ForwardingPeer>()
                                                            : Peers);
        });
    }

    //! Without peers, no other host reaches the targets either.
    void namePeers(bool namesPeers) { m_namesPeers = namesPeers; }

    ~PathFixture()
    {
        runOnLoop([this] { m_prober->stop(); });
    }

    void start() { GatewayFixture::start(RouteKind::Idempotent, 2); }

    template <typename Function>
    void runOnLoop(Function function)
    {
        std::promise<void> done;
        boost::asio::post(loop(), [&] {
            try {
                function();
                done.set_value();
            } catch (...) {
                done.set_exception(std::current_exception());
            }
        });
        done.get_future().get();
    }

    TargetPathState state()
    {
        TargetPathState state {};
        runOnLoop([&] { state = context().targetPath().state(); });
        return state;
    }

    template <typename Function>
    void forEachTarget(Function function)
    {
        runOnLoop([&] {
            for (std::size_t n = 0; n < targetCount(); ++n)
                function(target(n));
        });
    }

    void refuseConnections()
    {
        forEachTarget([](ScriptedTarget &it) { it.refuseConnections(); });
    }

    void acceptConnections()
    {
        forEachTarget([](ScriptedTarget &it) { it.acceptConnections(); });
    }

    void dropPackets(bool isDropping)
    {
        forEachTarget([=](ScriptedTarget &it) { it.dropPackets(isDropping); });
    }

    // Waits until the given changes were announced, in this order.
    bool awaitChanges(const std::vector<bool> &expected, Duration time)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, time, [&] { return m_changes == expected; });
    }

    std::size_t acceptedConnections() const
    {
        std::size_t count = 0;
        for (std::size_t n = 0; n < targetCount(); ++n)
            count += target(n).acceptedConnections();
        return count;
    }

    int countServed(int requests)
    {
        int served = 0;
        for (int n = 0; n < requests; ++n)
            served += call().substr(9, 3) == "200" ? 1 : 0;
        return served;
    }

    void failAllTargets()
    {
        runOnLoop([this] {
            for (const auto &it : context().targets().targets())
                context().observeUnreachable(*it, PathFailure::Refused, monotonicNow());
        });
    }

private:
    //! An unreachable peer, as a control host would name it.
    inline static const std::vector<ForwardingPeer> Peers {
        { HostName("p"), { "127.0.0.1", 1 }, RegionName("north") }
    };

    bool m_namesPeers = true;
    std::shared_ptr<TargetPathProber> m_prober;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<bool> m_changes; //!< Announced values of reachesTargets.
};

PooledTargetRef pooledTarget(const std::string &instance, const std::string &domain, bool leaving)
{
    ListedTarget listing;
    listing.instance = instance;
    listing.domain = FailureDomainName(domain);
    listing.leaving = leaving;
    return std::make_shared<PooledTarget>(listing, RegionName());
}

class TargetPathTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetPathTest);
    CPPUNIT_TEST(refusedConnectionsInTwoDomainsAreALoss);
    CPPUNIT_TEST(allIsServedAtOnceAfterRefusedConnections);
    CPPUNIT_TEST(targetsThatNoHostReachesHaveFailedThemselves);
    CPPUNIT_TEST(lostPathWithoutPeersIsTriedByRequests);
    CPPUNIT_TEST(hangingConnectionsAreALossWithinTheContactTime);
    CPPUNIT_TEST(eachChangeIsLoggedOnceWithItsEvidence);
    CPPUNIT_TEST(keptConnectionsAreNotUsedAfterTheLoss);
    CPPUNIT_TEST(targetsThatCloseEstablishedConnectionsAreNoLoss);
    CPPUNIT_TEST(lossOfOneDomainIsNoLossOfThePath);
    CPPUNIT_TEST(probeOfAnotherDomainRefutesTheSuspicion);
    CPPUNIT_TEST(openPathIsNotProbed);
    CPPUNIT_TEST(hostWithoutTargetsDoesNotProbe);
    CPPUNIT_TEST(attemptFromTheTimeOfTheLossIsNoEvidence);
    CPPUNIT_TEST(suspectedPathIsProbedInEachFailureDomain);
    CPPUNIT_TEST(lostPathIsProbedAtFewTargets);
    CPPUNIT_TEST_SUITE_END();

public:
    void refusedConnectionsInTwoDomainsAreALoss()
    {
        PathFixture fixture;
        fixture.start();
        fixture.refuseConnections();
        CPPUNIT_ASSERT_EQUAL(std::string("503"), fixture.call().substr(9, 3));
        CPPUNIT_ASSERT(fixture.awaitChanges({ false }, seconds(1)));
        CPPUNIT_ASSERT(fixture.state() == TargetPathState::Lost);
        fixture.acceptConnections();
        CPPUNIT_ASSERT(fixture.awaitChanges({ false, true }, seconds(2)));
        CPPUNIT_ASSERT(fixture.state() == TargetPathState::Open);
    }

    void allIsServedAtOnceAfterRefusedConnections()
    {
        PathFixture fixture;
        fixture.start();
        fixture.refuseConnections();
        for (int n = 0; n < 10; ++n)
            fixture.call();
        fixture.acceptConnections();
        CPPUNIT_ASSERT(fixture.awaitChanges({ false, true }, seconds(2)));
        CPPUNIT_ASSERT_EQUAL(20, fixture.countServed(20));
        // The preferred target failed before the suspicion.
        CPPUNIT_ASSERT_EQUAL(std::size_t { 20 }, fixture.target(0).requests().size());
    }

    // All targets restart: they are cold, and must not get the full rate at once.
    void targetsThatNoHostReachesHaveFailedThemselves()
    {
        PathFixture fixture;
        fixture.namePeers(false);
        fixture.start();
        fixture.refuseConnections();
        for (int n = 0; n < 10; ++n)
            fixture.call();
        fixture.acceptConnections();
        CPPUNIT_ASSERT(fixture.awaitChanges({ false, true }, seconds(2)));
        CPPUNIT_ASSERT(fixture.countServed(20) <= 4);
    }

    void lostPathWithoutPeersIsTriedByRequests()
    {
        PathFixture fixture;
        fixture.namePeers(false);
        fixture.setServicePolicy({});
        fixture.start();
        fixture.refuseConnections();
        fixture.failAllTargets();
        CPPUNIT_ASSERT(fixture.awaitChanges({ false }, seconds(1)));
        fixture.acceptConnections();
        CPPUNIT_ASSERT_EQUAL(1, fixture.countServed(1));
    }

    void hangingConnectionsAreALossWithinTheContactTime()
    {
        PathFixture fixture;
        fixture.start();
        CPPUNIT_ASSERT_EQUAL(4, fixture.countServed(4));
        fixture.dropPackets(true);
        std::vector<RawSocket> callers;
        callers.reserve(4);
        for (int n = 0; n < 4; ++n)
            callers.push_back(fixture.send());
        CPPUNIT_ASSERT(fixture.awaitChanges({ false }, MaxDetectionTime));
        fixture.dropPackets(false);
        CPPUNIT_ASSERT(fixture.awaitChanges({ false, true }, seconds(2)));
        CPPUNIT_ASSERT_EQUAL(20, fixture.countServed(20));
    }

    void eachChangeIsLoggedOnceWithItsEvidence()
    {
        const CapturedOutput output;
        {
            PathFixture fixture;
            fixture.start();
            fixture.refuseConnections();
            for (int n = 0; n < 3; ++n)
                fixture.call();
            CPPUNIT_ASSERT(fixture.awaitChanges({ false }, seconds(1)));
            fixture.acceptConnections();
            CPPUNIT_ASSERT(fixture.awaitChanges({ false, true }, seconds(2)));
        }
        std::vector<std::string> changes;
        for (const auto &it : output.events()) {
            if (!it.event.starts_with("target-path-"))
                continue;
            changes.push_back(it.event);
            CPPUNIT_ASSERT(it.text("failed_targets") >= "3");
            CPPUNIT_ASSERT_EQUAL(std::string("2"), it.text("failed_domains"));
        }
        const std::vector<std::string> expected { "target-path-suspected", "target-path-lost",
                                                  "target-path-open" };
        CPPUNIT_ASSERT(changes == expected);
    }

    void keptConnectionsAreNotUsedAfterTheLoss()
    {
        PathFixture fixture;
        fixture.start();
        CPPUNIT_ASSERT_EQUAL(1, fixture.countServed(1));
        fixture.refuseConnections();
        fixture.failAllTargets();
        CPPUNIT_ASSERT(fixture.awaitChanges({ false }, seconds(1)));
        fixture.acceptConnections();
        CPPUNIT_ASSERT(fixture.awaitChanges({ false, true }, seconds(2)));
        fixture.runOnLoop([&] {
            const auto endpoint = fixture.target(0).endpoint();
            CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, fixture.context().connections().idle(endpoint));
        });
    }

    void targetsThatCloseEstablishedConnectionsAreNoLoss()
    {
        PathFixture fixture({ "a", "a", "b", "b" }, connectionLost);
        fixture.start();
        CPPUNIT_ASSERT_EQUAL(0, fixture.countServed(5));
        CPPUNIT_ASSERT(fixture.awaitChanges({}, Duration(0)));
        CPPUNIT_ASSERT(fixture.state() == TargetPathState::Open);
    }

    void lossOfOneDomainIsNoLossOfThePath()
    {
        PathFixture fixture({ "a", "a", "a", "b" });
        fixture.start();
        fixture.runOnLoop([&] {
            for (std::size_t n = 0; n < 3; ++n)
                fixture.target(n).refuseConnections();
        });
        for (int n = 0; n < 5; ++n)
            fixture.call();
        CPPUNIT_ASSERT(fixture.state() == TargetPathState::Open);
        CPPUNIT_ASSERT(fixture.awaitChanges({}, Duration(0)));
    }

    void probeOfAnotherDomainRefutesTheSuspicion()
    {
        PathFixture fixture({ "a", "a", "b", "c" });
        fixture.start();
        fixture.runOnLoop([&] {
            for (std::size_t n = 0; n < 3; ++n)
                fixture.target(n).refuseConnections();
        });
        fixture.failAllTargets();
        const Instant until = monotonicNow() + seconds(1);
        while (fixture.state() != TargetPathState::Open && monotonicNow() < until) { }
        CPPUNIT_ASSERT(fixture.state() == TargetPathState::Open);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, fixture.acceptedConnections());
        CPPUNIT_ASSERT(fixture.awaitChanges({}, Duration(0)));
    }

    void openPathIsNotProbed()
    {
        PathFixture fixture;
        fixture.start();
        CPPUNIT_ASSERT_EQUAL(4, fixture.countServed(4));
        const auto accepted = fixture.acceptedConnections();
        std::this_thread::sleep_for(2 * TargetPathMonitor::ProbeInterval);
        CPPUNIT_ASSERT_EQUAL(accepted, fixture.acceptedConnections());
    }

    void hostWithoutTargetsDoesNotProbe()
    {
        PathFixture fixture(std::vector<std::string> {});
        fixture.start();
        CPPUNIT_ASSERT_EQUAL(std::string("503"), fixture.call().substr(9, 3));
        CPPUNIT_ASSERT(fixture.state() == TargetPathState::Open);
        CPPUNIT_ASSERT(fixture.awaitChanges({}, Duration(0)));
    }

    void attemptFromTheTimeOfTheLossIsNoEvidence()
    {
        PathFixture fixture;
        fixture.start();
        fixture.runOnLoop([&] {
            auto &context = fixture.context();
            const Instant duringLoss = monotonicNow();
            for (const auto &it : context.targets().targets())
                context.observeUnreachable(*it, PathFailure::Refused, duringLoss);
            CPPUNIT_ASSERT(!context.isTargetAtFault(duringLoss));
            context.observeTargetProbes(false);
            CPPUNIT_ASSERT(context.targetPath().isLost());
            std::this_thread::sleep_for(milliseconds(1));
            context.observeTargetProbes(true);
            CPPUNIT_ASSERT(context.targetPath().isOpen());
            CPPUNIT_ASSERT(!context.isTargetAtFault(duringLoss));
            CPPUNIT_ASSERT(context.isTargetAtFault(monotonicNow()));
            for (const auto &it : context.targets().targets())
                context.observeUnreachable(*it, PathFailure::Refused, duringLoss);
            CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, context.targetPath().failedTargets());
        });
    }

    void suspectedPathIsProbedInEachFailureDomain()
    {
        const std::vector<PooledTargetRef> targets {
            pooledTarget("t0", "a", false), pooledTarget("t1", "a", false),
            pooledTarget("t2", "b", true),  pooledTarget("t3", "b", false),
            pooledTarget("t4", "c", true),
        };
        RandomSource random(1);
        for (int n = 0; n < 20; ++n) {
            const auto chosen = chooseProbes(targets, TargetPathState::Suspected, random);
            std::set<std::string> domains;
            for (const auto &it : chosen) {
                CPPUNIT_ASSERT(!it->listing().leaving);
                domains.insert(it->listing().domain.text());
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, chosen.size());
            CPPUNIT_ASSERT(domains == std::set<std::string>({ "a", "b" }));
        }
        CPPUNIT_ASSERT(chooseProbes(targets, TargetPathState::Open, random).empty());
    }

    void lostPathIsProbedAtFewTargets()
    {
        std::vector<PooledTargetRef> targets;
        targets.reserve(9);
        for (int n = 0; n < 9; ++n)
            targets.push_back(pooledTarget("t" + std::to_string(n), "a", n % 2 == 0));
        RandomSource random(1);
        std::set<std::string> chosen;
        for (int n = 0; n < 50; ++n) {
            const auto probes = chooseProbes(targets, TargetPathState::Lost, random);
            CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, probes.size());
            for (const auto &it : probes)
                chosen.insert(it->listing().instance);
        }
        CPPUNIT_ASSERT(chosen == std::set<std::string>({ "t1", "t3", "t5", "t7" }));
        CPPUNIT_ASSERT(chooseProbes({}, TargetPathState::Lost, random).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetPathTest);

} // namespace
