#include <ggv/state/health/target_path_monitor.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace {

using namespace ggv;

constexpr Instant Start { std::chrono::hours(1) };
constexpr auto Second = Duration(std::chrono::seconds(1));
constexpr auto Millisecond = Duration(std::chrono::milliseconds(1));
constexpr std::size_t Domains = 3;
constexpr std::size_t TargetsPerDomain = 4;

FailureDomainName domainOf(std::size_t target)
{
    return FailureDomainName("d" + std::to_string(target % Domains));
}

//! Fails a connection to one of the targets; the number's remainder gives the failure domain.
void fail(TargetPathMonitor &monitor, std::size_t target, Instant now,
          PathFailure kind = PathFailure::Refused)
{
    monitor.observeFailure("t" + std::to_string(target), domainOf(target), kind, now);
}

TargetPathMonitor monitorOf(std::size_t domains)
{
    TargetPathMonitor monitor;
    monitor.setDomains(domains);
    return monitor;
}

TargetPathMonitor suspectedMonitor()
{
    auto monitor = monitorOf(Domains);
    for (std::size_t n = 0; n < 3; ++n)
        fail(monitor, n, Start);
    return monitor;
}

TargetPathMonitor lostMonitor()
{
    auto monitor = suspectedMonitor();
    monitor.observeProbes(false, Start);
    return monitor;
}

struct Observation
{
    std::size_t target = 0;
    bool isConnection = false;
    Duration wait { 0 };
};

std::vector<Observation> randomObservations()
{
    return *rc::gen::container<std::vector<Observation>>(rc::gen::apply(
        [](std::size_t target, int kind, int wait) {
            return Observation { target, kind == 0, wait * Second };
        },
        rc::gen::inRange<std::size_t>(0, Domains * TargetsPerDomain), rc::gen::inRange(0, 8),
        rc::gen::inRange(0, 8)));
}

//! Reference: number of the first observation at which enough failures since the last connection
//! are recent.
std::optional<std::size_t> expectedSuspicion(const std::vector<Observation> &observations)
{
    for (std::size_t end = 1; end <= observations.size(); ++end) {
        std::set<std::size_t> targets;
        std::set<FailureDomainName> domains;
        Duration age { 0 };
        for (std::size_t n = end; n-- > 0 && !observations[n].isConnection;) {
            if (age > TargetPathMonitor::FailureWindow)
                break;
            targets.insert(observations[n].target);
            domains.insert(domainOf(observations[n].target));
            age += observations[n].wait;
        }
        if (targets.size() >= TargetPathMonitor::MinFailedTargets
            && domains.size() >= TargetPathMonitor::MinFailedDomains)
            return end - 1;
    }
    return std::nullopt;
}

class TargetPathMonitorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetPathMonitorTest);
    CPPUNIT_TEST(cutWithHangingConnectionsIsLostWithinTwoSeconds);
    CPPUNIT_TEST(cutWithRefusedConnectionsIsSuspectedAtOnce);
    CPPUNIT_TEST(refusedNewConnectionsCountWhileOldOnesLiveOn);
    CPPUNIT_TEST(slowLinkWithAnswersIsNotSuspected);
    CPPUNIT_TEST(answerEndsALossBySilenceOnly);
    CPPUNIT_TEST(lossOfOneFailureDomainIsNotSuspected);
    CPPUNIT_TEST(lossOfFewTargetsIsNotSuspected);
    CPPUNIT_TEST(failuresSpreadOverTimeAreNotSuspected);
    CPPUNIT_TEST(connectionClearsEarlierFailures);
    CPPUNIT_TEST(onlyListedFailureDomainSuffices);
    CPPUNIT_TEST(withoutTargetsNothingIsSuspected);
    CPPUNIT_TEST(oneEstablishedProbeRefutesTheSuspicion);
    CPPUNIT_TEST(refutedSuspicionIsNotRaisedAgainAtOnce);
    CPPUNIT_TEST(lostPathIsProbedPeriodically);
    CPPUNIT_TEST(oneConnectionEndsTheLoss);
    CPPUNIT_TEST(lateResultOfProbesDoesNotCloseThePath);
    CPPUNIT_TEST(suspicionMatchesTheReference);
    CPPUNIT_TEST(onlyProbesLoseThePath);
    CPPUNIT_TEST_SUITE_END();

public:
    // Connections hang until the kernel or the connect time-out gives up.
    void cutWithHangingConnectionsIsLostWithinTwoSeconds()
    {
        auto monitor = monitorOf(Domains);
        fail(monitor, 0, Start + 400 * Millisecond);
        fail(monitor, 3, Start + 800 * Millisecond);
        fail(monitor, 0, Start + 1000 * Millisecond);
        CPPUNIT_ASSERT(monitor.isOpen());
        fail(monitor, 1, Start + 1200 * Millisecond);
        CPPUNIT_ASSERT(monitor.state() == TargetPathState::Suspected);
        CPPUNIT_ASSERT(monitor.isProbeDue(Start + 1200 * Millisecond));
        monitor.observeProbes(false, Start + 1600 * Millisecond);
        CPPUNIT_ASSERT(monitor.isLost());
    }

    void cutWithRefusedConnectionsIsSuspectedAtOnce()
    {
        const auto monitor = suspectedMonitor();
        CPPUNIT_ASSERT(monitor.state() == TargetPathState::Suspected);
        CPPUNIT_ASSERT(!monitor.isLost());
        CPPUNIT_ASSERT(monitor.isProbeDue(Start));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, monitor.failedTargets());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, monitor.failedDomains());
        CPPUNIT_ASSERT(monitor.evidenceSince() < Start);
    }

    // Answers on old connections are not observed, so failures one second apart must suffice.
    void refusedNewConnectionsCountWhileOldOnesLiveOn()
    {
        auto monitor = monitorOf(Domains);
        for (std::size_t n = 0; n < 3; ++n)
            fail(monitor, n, Start + static_cast<int>(n) * Second);
        CPPUNIT_ASSERT(monitor.state() == TargetPathState::Suspected);
    }

    // A congested link delays new connections beyond their time-out while answers keep arriving.
    void slowLinkWithAnswersIsNotSuspected()
    {
        auto monitor = monitorOf(Domains);
        for (std::size_t n = 0; n < 100; ++n) {
            const Instant now = Start + static_cast<int>(n) * 20 * Millisecond;
            fail(monitor, n, now, PathFailure::Silent);
            if (n % 2 == 1)
                monitor.observeAnswer(now);
            CPPUNIT_ASSERT(monitor.isOpen());
        }
    }

    void answerEndsALossBySilenceOnly()
    {
        auto silent = monitorOf(Domains);
        for (std::size_t n = 0; n < 3; ++n)
            fail(silent, n, Start, PathFailure::Silent);
        silent.observeProbes(false, Start);
        CPPUNIT_ASSERT(silent.isLost());
        silent.observeAnswer(Start + Second);
        CPPUNIT_ASSERT(silent.isOpen());
        auto refused = lostMonitor();
        refused.observeAnswer(Start + Second);
        CPPUNIT_ASSERT(refused.isLost());
    }

    void lossOfOneFailureDomainIsNotSuspected()
    {
        auto monitor = monitorOf(Domains);
        for (std::size_t n = 0; n < TargetsPerDomain; ++n)
            fail(monitor, n * Domains, Start);
        CPPUNIT_ASSERT(monitor.isOpen());
        CPPUNIT_ASSERT(!monitor.isProbeDue(Start));
    }

    void lossOfFewTargetsIsNotSuspected()
    {
        auto monitor = monitorOf(Domains);
        for (int n = 0; n < 10; ++n) {
            fail(monitor, 0, Start);
            fail(monitor, 1, Start);
        }
        CPPUNIT_ASSERT(monitor.isOpen());
    }

    void failuresSpreadOverTimeAreNotSuspected()
    {
        auto monitor = monitorOf(Domains);
        Instant now = Start;
        for (std::size_t n = 0; n < Domains * TargetsPerDomain; ++n) {
            fail(monitor, n, now);
            now += TargetPathMonitor::FailureWindow / 2 + Millisecond;
        }
        CPPUNIT_ASSERT(monitor.isOpen());
    }

    void connectionClearsEarlierFailures()
    {
        auto monitor = monitorOf(Domains);
        fail(monitor, 0, Start);
        fail(monitor, 1, Start);
        monitor.observeConnection(Start);
        fail(monitor, 2, Start);
        CPPUNIT_ASSERT(monitor.isOpen());
    }

    void onlyListedFailureDomainSuffices()
    {
        auto monitor = monitorOf(1);
        for (std::size_t n = 0; n < 3; ++n)
            fail(monitor, n * Domains, Start);
        CPPUNIT_ASSERT(monitor.state() == TargetPathState::Suspected);
    }

    void withoutTargetsNothingIsSuspected()
    {
        auto monitor = lostMonitor();
        monitor.setDomains(0);
        CPPUNIT_ASSERT(monitor.isOpen());
        for (std::size_t n = 0; n < 3; ++n)
            fail(monitor, n, Start);
        CPPUNIT_ASSERT(monitor.isOpen());
    }

    void oneEstablishedProbeRefutesTheSuspicion()
    {
        auto monitor = suspectedMonitor();
        monitor.observeProbes(true, Start);
        CPPUNIT_ASSERT(monitor.isOpen());
        CPPUNIT_ASSERT(!monitor.isProbeDue(Start + Second));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, monitor.failedTargets());
    }

    // Many targets that are overloaded in several failure domains must not cause probes without
    // end.
    void refutedSuspicionIsNotRaisedAgainAtOnce()
    {
        auto monitor = suspectedMonitor();
        monitor.observeProbes(true, Start);
        for (std::size_t n = 0; n < 3; ++n)
            fail(monitor, n, Start + Millisecond);
        CPPUNIT_ASSERT(monitor.isOpen());
        fail(monitor, 0, Start + TargetPathMonitor::MinTimeBetweenSuspicions);
        CPPUNIT_ASSERT(monitor.state() == TargetPathState::Suspected);
    }

    void lostPathIsProbedPeriodically()
    {
        auto monitor = lostMonitor();
        Instant now = Start;
        for (int n = 0; n < 10; ++n) {
            const Instant dueAt = now + TargetPathMonitor::ProbeInterval;
            CPPUNIT_ASSERT(!monitor.isProbeDue(dueAt - Duration(1)));
            CPPUNIT_ASSERT(monitor.isProbeDue(dueAt));
            now = dueAt;
            monitor.observeProbes(false, now);
            CPPUNIT_ASSERT(monitor.isLost());
        }
    }

    void oneConnectionEndsTheLoss()
    {
        auto probed = lostMonitor();
        probed.observeProbes(true, Start + Second);
        CPPUNIT_ASSERT(probed.isOpen());
        auto connected = lostMonitor();
        connected.observeConnection(Start + Second);
        CPPUNIT_ASSERT(connected.isOpen());
        CPPUNIT_ASSERT(!connected.isProbeDue(Start + 2 * Second));
    }

    void lateResultOfProbesDoesNotCloseThePath()
    {
        auto monitor = suspectedMonitor();
        monitor.observeConnection(Start);
        monitor.observeProbes(false, Start + 400 * Millisecond);
        CPPUNIT_ASSERT(monitor.isOpen());
    }

    void suspicionMatchesTheReference()
    {
        CPPUNIT_ASSERT(rc::check("suspected iff enough recent failures without a connection", [] {
            const auto observations = randomObservations();
            auto monitor = monitorOf(Domains);
            Instant now = Start;
            std::optional<std::size_t> suspicion;
            for (std::size_t n = 0; n < observations.size() && !suspicion; ++n) {
                now += observations[n].wait;
                if (observations[n].isConnection)
                    monitor.observeConnection(now);
                else
                    fail(monitor, observations[n].target, now);
                if (!monitor.isOpen())
                    suspicion = n;
            }
            RC_ASSERT(suspicion == expectedSuspicion(observations));
        }));
    }

    void onlyProbesLoseThePath()
    {
        CPPUNIT_ASSERT(rc::check("failures alone never lose the path", [] {
            auto monitor = monitorOf(Domains);
            Instant now = Start;
            for (const auto &it : randomObservations()) {
                now += it.wait;
                if (it.isConnection)
                    monitor.observeConnection(now);
                else
                    fail(monitor, it.target, now);
                RC_ASSERT(!monitor.isLost());
                RC_ASSERT(!it.isConnection || monitor.isOpen());
                RC_ASSERT(monitor.isOpen() != monitor.isProbeDue(now));
            }
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetPathMonitorTest);

} // namespace
