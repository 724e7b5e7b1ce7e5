#include <ggv/coordination/gateway/target_report_exchange.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace {

using ggv::Duration;
using ggv::Instant;
using ggv::RequestFingerprint;
using ggv::RequestQuarantine;
using ggv::TargetPool;
using std::chrono::seconds;

constexpr RequestFingerprint Crashing(1);

ggv::TargetList sampleList()
{
    ggv::ListedTarget target;
    target.instance = "i-1";
    target.service = ggv::ServiceName("shop");
    return { 1, { target } };
}

//! What an entry host knows of targets and requests.
struct EntryHost
{
    explicit EntryHost(std::uint64_t seed)
        : quarantine(seed)
    {
        targets.update(sampleList(), Duration(0), Instant(seconds(100)));
    }

    void setStart(ggv::UnixMillis startedAt)
    {
        auto list = sampleList();
        list.targets.front().startedAt = startedAt;
        targets.update(list, Duration(0), Instant(seconds(100)));
    }

    TargetPool targets { {} };
    RequestQuarantine quarantine;
};

class TargetReportExchangeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetReportExchangeTest);
    CPPUNIT_TEST(eachKindReachesOtherHosts);
    CPPUNIT_TEST(recordsOfUnknownKindsHaveNoEffect);
    CPPUNIT_TEST(departureOfAnEarlierStartHasNoEffect);
    CPPUNIT_TEST(departureIsReadByOlderBuilds);
    CPPUNIT_TEST_SUITE_END();

public:
    void eachKindReachesOtherHosts()
    {
        EntryHost one(1);
        EntryHost other(2);
        const auto target = one.targets.targets().front();
        one.targets.observeRateLimit(*target, 8.6, m_now, m_now);
        for (const char *it : { "a", "b", "c" })
            one.quarantine.observeCrash(it, { Crashing }, m_now, m_now);
        one.targets.observeLeaving(*target, m_now);
        const auto records = ggv::takeTargetReports(one.targets, one.quarantine, m_now);
        ggv::applyTargetReports(other.targets, other.quarantine, records, m_now);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, other.targets.rateLimitedTargets(m_now));
        CPPUNIT_ASSERT(other.quarantine.remaining(Crashing, m_now + seconds(1)).has_value());
        CPPUNIT_ASSERT(!other.targets.mayReceive(*other.targets.targets().front(), m_now));
        CPPUNIT_ASSERT(ggv::takeTargetReports(one.targets, one.quarantine, m_now).empty());
    }

    void recordsOfUnknownKindsHaveNoEffect()
    {
        EntryHost host(1);
        ggv::applyTargetReports(host.targets, host.quarantine,
                                { { "later-kind:i-1", 1, true, Duration(0) } }, m_now);
        CPPUNIT_ASSERT(!host.quarantine.isActive());
        CPPUNIT_ASSERT(host.targets.mayReceive(*host.targets.targets().front(), m_now));
    }

    // Guards against a restarted target that gets no request, as another host's report of the
    // earlier start came late.
    void departureOfAnEarlierStartHasNoEffect()
    {
        EntryHost one(1);
        EntryHost other(2);
        one.setStart(5);
        other.setStart(6);
        one.targets.observeLeaving(*one.targets.targets().front(), m_now);
        const auto records = ggv::takeTargetReports(one.targets, one.quarantine, m_now);
        ggv::applyTargetReports(other.targets, other.quarantine, records, m_now);
        CPPUNIT_ASSERT(other.targets.mayReceive(*other.targets.targets().front(), m_now));
        other.targets.observeLeaving(*other.targets.targets().front(), m_now);
        one.setStart(6);
        CPPUNIT_ASSERT(one.targets.mayReceive(*one.targets.targets().front(), m_now));
        ggv::applyTargetReports(one.targets, one.quarantine,
                                ggv::takeTargetReports(other.targets, other.quarantine, m_now),
                                m_now);
        CPPUNIT_ASSERT(!one.targets.mayReceive(*one.targets.targets().front(), m_now));
    }

    void departureIsReadByOlderBuilds()
    {
        EntryHost host(1);
        host.setStart(5);
        host.targets.observeLeaving(*host.targets.targets().front(), m_now);
        const auto records = ggv::takeTargetReports(host.targets, host.quarantine, m_now);
        CPPUNIT_ASSERT(std::any_of(records.begin(), records.end(), [](const auto &it) {
            return it.instance == "i-1" && it.departed;
        }));
    }

private:
    Instant m_now { seconds(200) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetReportExchangeTest);

} // namespace
