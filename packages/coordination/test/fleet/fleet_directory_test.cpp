#include <ggv/coordination/fleet/fleet_directory.hpp>
#include <ggv/coordination/fleet/shared_target_list.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using ggv::Duration;
using ggv::FleetDirectory;
using ggv::HostRole;
using ggv::Instant;
using ggv::SharedTargetList;
using std::chrono::milliseconds;
using std::chrono::seconds;

ggv::HostAnnouncement entryHost(const char *name, bool ready = true)
{
    ggv::HostAnnouncement host;
    host.name = ggv::HostName(name);
    host.ready = ready;
    return host;
}

std::vector<ggv::ListedTarget> targets(std::uint32_t slots)
{
    ggv::ListedTarget target;
    target.instance = "i-1";
    target.slots = slots;
    return { target };
}

class FleetDirectoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetDirectoryTest);
    CPPUNIT_TEST(hostIsAliveUntilLivenessTimeout);
    CPPUNIT_TEST(olderObservationIsIgnored);
    CPPUNIT_TEST(exchangesDoNotMoveTheLastSightOn);
    CPPUNIT_TEST(relayedObservationIsNoReport);
    CPPUNIT_TEST(silentHostIsRemovedAfterRetentionTime);
    CPPUNIT_TEST(laterListReadingIsApplied);
    CPPUNIT_TEST(reportOmitsListHeldByReceiver);
    CPPUNIT_TEST_SUITE_END();

public:
    void hostIsAliveUntilLivenessTimeout()
    {
        FleetDirectory directory;
        CPPUNIT_ASSERT(directory.observeReport(entryHost("a"), m_now));
        CPPUNIT_ASSERT(!directory.observeReport(entryHost("a"), m_now));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, directory.alive(HostRole::Entry, m_now).size());
        CPPUNIT_ASSERT(directory.alive(HostRole::Control, m_now).empty());
        CPPUNIT_ASSERT(directory.alive(HostRole::Entry, m_now + seconds(2)).empty());
    }

    // Guards against a lost host that seems to have been seen later with each exchange over a link
    // with a delay, so that it is believed alive for too long.
    void exchangesDoNotMoveTheLastSightOn()
    {
        constexpr milliseconds LinkDelay { 70 };
        constexpr milliseconds Interval { 100 };
        constexpr seconds Silence { 3 };
        FleetDirectory one;
        FleetDirectory other;
        (void)one.observeReport(entryHost("a"), m_now);
        (void)other.observeReport(entryHost("a"), m_now);
        const Instant end = m_now + Silence;
        for (Instant now = m_now + Interval; now < end; now += Interval) {
            const auto fromOne = one.observations(now - LinkDelay).front();
            const auto fromOther = other.observations(now - LinkDelay).front();
            (void)one.observeRelayed(fromOther, now);
            (void)other.observeRelayed(fromOne, now);
        }
        const Duration believed = one.observations(end).front().age;
        CPPUNIT_ASSERT(believed + FleetDirectory::MinRelayedGain >= Silence);
    }

    void olderObservationIsIgnored()
    {
        FleetDirectory directory;
        (void)directory.observeReport(entryHost("a", false), m_now);
        CPPUNIT_ASSERT(!directory.observeRelayed({ entryHost("a", true), seconds(1) }, m_now));
        CPPUNIT_ASSERT(!directory.alive(HostRole::Entry, m_now).front().ready);
        CPPUNIT_ASSERT(directory.alive(HostRole::Entry, m_now + milliseconds(1400)).size() == 1);
    }

    // Guards against a lost host that seems to be in contact because another host has seen it.
    void relayedObservationIsNoReport()
    {
        FleetDirectory directory;
        (void)directory.observeRelayed({ entryHost("a"), Duration(0) }, m_now);
        CPPUNIT_ASSERT(directory.reportingHosts(m_now).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, directory.alive(HostRole::Entry, m_now).size());
        (void)directory.observeReport(entryHost("a", false), m_now);
        (void)directory.observeRelayed({ entryHost("a"), Duration(0) }, m_now + seconds(4));
        const auto hosts = directory.reportingHosts(m_now + seconds(5));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, hosts.size());
        CPPUNIT_ASSERT(hosts.front().host == entryHost("a", false));
        CPPUNIT_ASSERT(hosts.front().age == Duration(seconds(5)));
    }

    void silentHostIsRemovedAfterRetentionTime()
    {
        FleetDirectory directory;
        (void)directory.observeReport(entryHost("a"), m_now);
        directory.expire(m_now + seconds(30));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, directory.observations(m_now).size());
        directory.expire(m_now + seconds(61));
        CPPUNIT_ASSERT(directory.observations(m_now).empty());
    }

    void laterListReadingIsApplied()
    {
        SharedTargetList own;
        SharedTargetList other;
        own.replace(targets(1), m_now, m_now);
        other.replace(targets(2), m_now - seconds(1), m_now);
        CPPUNIT_ASSERT(!own.apply(other.report(0, m_now), m_now, m_now));
        other.replace(targets(3), m_now + seconds(1), m_now);
        CPPUNIT_ASSERT(
            own.apply(other.report(0, m_now + seconds(2)), m_now + seconds(2), m_now + seconds(2)));
        CPPUNIT_ASSERT_EQUAL(3U, own.list().targets.front().slots);
        CPPUNIT_ASSERT(Duration(seconds(1)) == own.age(m_now + seconds(2)));
    }

    void reportOmitsListHeldByReceiver()
    {
        SharedTargetList list;
        CPPUNIT_ASSERT(!list.report(0, m_now).targets);
        list.replace(targets(1), m_now, m_now);
        CPPUNIT_ASSERT(list.report(0, m_now).targets.has_value());
        CPPUNIT_ASSERT(!list.report(list.digest(), m_now).targets);
        SharedTargetList other;
        other.replace(targets(1), m_now, m_now);
        CPPUNIT_ASSERT_EQUAL(list.digest(), other.digest());
    }

private:
    Instant m_now { seconds(1000) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetDirectoryTest);

} // namespace
