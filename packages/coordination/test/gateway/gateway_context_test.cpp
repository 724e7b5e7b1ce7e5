#include <ggv/coordination/gateway/gateway_context.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace {

using ggv::Duration;
using ggv::GatewayContext;
using ggv::Instant;
using std::chrono::milliseconds;

class GatewayContextTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayContextTest);
    CPPUNIT_TEST(routesResumeWaitingRequests);
    CPPUNIT_TEST(waitTimesOut);
    CPPUNIT_TEST(routesArriveWhileWaitsExpire);
    CPPUNIT_TEST(metricsContainOutcomesAndAges);
    CPPUNIT_TEST(retryBudgetIsDividedByEntryHosts);
    CPPUNIT_TEST_SUITE_END();

public:
    void routesResumeWaitingRequests()
    {
        for (int n = 0; n < 3; ++n)
            startWait(std::chrono::seconds(20));
        m_loop.run_for(milliseconds(5));
        CPPUNIT_ASSERT_EQUAL(0, m_resumed);
        setRoutesAndTargets();
        m_loop.run();
        CPPUNIT_ASSERT_EQUAL(3, m_resumed);
    }

    void waitTimesOut()
    {
        startWait(milliseconds(5));
        m_loop.run();
        CPPUNIT_ASSERT_EQUAL(1, m_resumed);
        setRoutesAndTargets();
    }

    // Guards against a use of a destroyed timer: all timers have expired and their handlers are
    // queued when the first one sets the routes.
    void routesArriveWhileWaitsExpire()
    {
        for (int n = 0; n < 100; ++n)
            startWait(milliseconds(5));
        m_loop.poll();
        std::this_thread::sleep_for(milliseconds(20));
        m_setRoutesOnFirstResume = true;
        m_loop.restart();
        m_loop.run();
        CPPUNIT_ASSERT_EQUAL(100, m_resumed);
    }

    void metricsContainOutcomesAndAges()
    {
        auto &metrics = m_context.metrics();
        metrics.recordRequest("request-refused", "targets-full", milliseconds(7));
        metrics.recordRequest("request-refused", "targets-full", milliseconds(70));
        metrics.recordAttempt("answered", milliseconds(20));
        metrics.recordRetry(false);
        ggv::GatewayGauges gauges;
        gauges.version = 12;
        gauges.listAge = milliseconds(1500);
        const auto text = metrics.text(gauges);
        for (const char *line :
             { "ggv_gateway_requests_total{outcome=\"request-refused\",reason=\"targets-full\"} 2",
               "ggv_gateway_request_seconds_count{outcome=\"request-refused\"} 2",
               "ggv_gateway_attempt_seconds_count{end=\"answered\"} 1",
               "ggv_gateway_retries_total{allowed=\"no\"} 1", "ggv_gateway_version 12",
               "ggv_gateway_list_age_seconds 1.5", "ggv_gateway_reaches_targets 1",
               "ggv_log_lines_dropped 0" })
            CPPUNIT_ASSERT_MESSAGE(line, text.find(line) != std::string::npos);
    }

    void retryBudgetIsDividedByEntryHosts()
    {
        const ggv::ServiceName service("s");
        const Instant now(std::chrono::seconds(100));
        m_context.onRequest(service, now);
        m_context.setEntryHosts(10);
        int retries = 0;
        while (m_context.tryRetry(service, now))
            ++retries;
        // A tenth of 100 retries per window, of which 0.9 are used and half are available as burst.
        CPPUNIT_ASSERT_EQUAL(4, retries);
    }

private:
    void startWait(Duration time)
    {
        boost::asio::co_spawn(m_loop, waitUntil(ggv::monotonicNow() + time), boost::asio::detached);
    }

    boost::asio::awaitable<void> waitUntil(Instant until)
    {
        co_await m_context.waitForRoutes(until);
        if (++m_resumed == 1 && m_setRoutesOnFirstResume)
            setRoutesAndTargets();
    }

    void setRoutesAndTargets()
    {
        m_context.setTargets({}, Duration(0));
        m_context.setRoutes(std::make_shared<const ggv::RouteTable>(
            ggv::RouteTable::create(ggv::RouteRules()).value()));
    }

    boost::asio::io_context m_loop;
    GatewayContext m_context { m_loop, {}, {}, { 0.2, std::chrono::seconds(10), 100.0 }, 1024 };
    int m_resumed = 0;
    bool m_setRoutesOnFirstResume = false;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayContextTest);

} // namespace
