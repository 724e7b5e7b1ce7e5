#include <ggv/coordination/entry/target_table.hpp>
#include <ggv/coordination/observability/metrics.hpp>

#include <model/sample_register.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>
#include <thread>
#include <vector>

namespace {

using namespace ggv;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant Start { seconds(100) };
constexpr Instant LeaseEnd = Start + seconds(10);
const FailureDomainName
    Domain("south-a"); // The target of the sample register is in another region.
const RequestResult Done { ResultCode::Ok, Verdict::Done };

//! Metrics and entry view of a host for the sample register with a shift cap.
struct Fixture
{
    Metrics metrics { Domain };
    TargetTable targetTable { Domain };
    std::shared_ptr<const EntryView> view;

    Fixture()
    {
        auto content = test::sampleContent();
        content.shiftCaps.push_back(
            { ServiceName("kits"), RegionName("south"), RegionName("north"), 40 });
        auto created = Register::create(1, content).value();
        view = targetTable.buildView(std::make_shared<const Register>(std::move(created)),
                                     ggv::Instant());
        metrics.attach(*view);
    }

    const ServiceRoute &route() const { return *view->service("kits"); }
    ServiceMetrics &kits() const { return *route().state->metrics.load(); }
    std::string text(Instant now = Start) const { return metrics.text(view.get(), {}, now); }
};

void assertLine(const std::string &text, const std::string &line)
{
    CPPUNIT_ASSERT_MESSAGE(line + " is missing in\n" + text,
                           ("\n" + text).find("\n" + line + "\n") != std::string::npos);
}

class MetricsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MetricsTest);
    CPPUNIT_TEST(requestsAreCountedByResultAndVerdict);
    CPPUNIT_TEST(addedTimeExcludesAttempts);
    CPPUNIT_TEST(retriesAndShedsAreCounted);
    CPPUNIT_TEST(targetSlotsAreExported);
    CPPUNIT_TEST(queueLengthIsExported);
    CPPUNIT_TEST(demandTotalIncludesTakenDemand);
    CPPUNIT_TEST(controlReportIsExported);
    CPPUNIT_TEST(drainDurationIsExported);
    CPPUNIT_TEST(noTargetMetricsWithoutARegister);
    CPPUNIT_TEST(serviceHandlesAreStable);
    CPPUNIT_TEST(concurrentRequestsAreAllCounted);
    CPPUNIT_TEST(takenDemandAddsUpToTheTotal);
    CPPUNIT_TEST_SUITE_END();

public:
    void requestsAreCountedByResultAndVerdict()
    {
        const Fixture fixture;
        fixture.kits().onRequest(Done, milliseconds(3), milliseconds(2));
        fixture.kits().onRequest(Done, milliseconds(3), milliseconds(2));
        fixture.kits().onRequest({ ResultCode::TargetConnectionLost, Verdict::Unknown },
                                 milliseconds(3), milliseconds(2));
        const std::string text = fixture.text();
        assertLine(text, R"(ggv_requests_total{result="ok",service="kits",verdict="done"} 2)");
        assertLine(text,
                   R"(ggv_requests_total{result="target-connection-lost",service="kits",)"
                   R"(verdict="unknown"} 1)");
    }

    void addedTimeExcludesAttempts()
    {
        const Fixture fixture;
        fixture.kits().onRequest(Done, milliseconds(750), milliseconds(500));
        fixture.kits().onRequest(Done, milliseconds(10), milliseconds(20));
        const std::string text = fixture.text();
        assertLine(text, R"(ggv_request_seconds_sum{service="kits"} 0.76)");
        assertLine(text, R"(ggv_request_seconds_bucket{service="kits",le="0.5"} 1)");
        assertLine(text, R"(ggv_added_seconds_sum{service="kits"} 0.25)");
        assertLine(text, R"(ggv_added_seconds_count{service="kits"} 2)");
    }

    void retriesAndShedsAreCounted()
    {
        const Fixture fixture;
        fixture.kits().onRetry();
        fixture.kits().onShed();
        fixture.kits().onShed();
        assertLine(fixture.text(), R"(ggv_retries_total{service="kits"} 1)");
        assertLine(fixture.text(), R"(ggv_sheds_total{service="kits"} 2)");
    }

    void targetSlotsAreExported()
    {
        const Fixture fixture;
        auto &target = *fixture.route().targets.front().state;
        target.setLimit(5, LeaseEnd, 0);
        const auto permit = target.tryAcquire(Start);
        CPPUNIT_ASSERT(static_cast<bool>(permit));
        const std::string labels = R"({service="kits",target="kit-1"} )";
        assertLine(fixture.text(), "ggv_target_in_flight" + labels + "1");
        assertLine(fixture.text(), "ggv_target_leased_slots" + labels + "5");
        assertLine(fixture.text(), "ggv_target_headroom" + labels + "4");
        assertLine(fixture.text(LeaseEnd), "ggv_target_headroom" + labels + "-1");
    }

    void queueLengthIsExported()
    {
        const Fixture fixture;
        fixture.route().state->queued = 3;
        assertLine(fixture.text(), R"(ggv_queue_length{service="kits"} 3)");
    }

    void demandTotalIncludesTakenDemand()
    {
        const Fixture fixture;
        const auto &path = *fixture.route().targets.front().path;
        path.recordDemand();
        path.recordDemand();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, path.outboundLink->takeDemand());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, path.outboundLink->takeDemand());
        const std::string text = fixture.text();
        assertLine(text, R"(ggv_link_demand_kilobits_total{link="south>north"} 2)");
        assertLine(text,
                   R"(ggv_link_demand_kilobits_total{link="north>south"} )"
                       + std::to_string(2 * path.typicalKilobits));
        assertLine(text, R"(ggv_shift_demand_requests_total{shift="kits:south>north"} 2)");
    }

    void controlReportIsExported()
    {
        const Fixture fixture;
        ControlReport report;
        report.inForce = 12;
        report.leading = true;
        report.bytesSent = 345;
        const std::string text = fixture.metrics.text(nullptr, report, Start);
        assertLine(text, "ggv_register_version 12");
        assertLine(text, "ggv_leader 1");
        assertLine(text, "ggv_peer_sent_bytes_total 345");
        assertLine(text, "ggv_spans_dropped_total 0");
    }

    void drainDurationIsExported()
    {
        Fixture fixture;
        assertLine(fixture.text(Start), "ggv_drain_seconds 0");
        fixture.metrics.onDrainBegin(Start);
        assertLine(fixture.text(Start + seconds(2)), "ggv_drain_seconds 2");
        fixture.metrics.onDrainEnd(Start + seconds(5));
        assertLine(fixture.text(Start + seconds(9)), "ggv_drain_seconds 5");
    }

    void noTargetMetricsWithoutARegister()
    {
        const Fixture fixture;
        const std::string text = fixture.metrics.text(nullptr, {}, Start);
        CPPUNIT_ASSERT(text.find("ggv_target_") == std::string::npos);
        assertLine(text, "ggv_register_version 0");
    }

    void serviceHandlesAreStable()
    {
        Fixture fixture;
        CPPUNIT_ASSERT(&fixture.kits() == &fixture.metrics.service(ServiceName("kits")));
        CPPUNIT_ASSERT(&fixture.kits() != &fixture.metrics.service(ServiceName()));
    }

    void concurrentRequestsAreAllCounted()
    {
        const Fixture fixture;
        constexpr int Threads = 4;
        constexpr int Requests = 500;
        std::vector<std::thread> threads;
        threads.reserve(Threads);
        for (int n = 0; n < Threads; ++n)
            threads.emplace_back([&fixture] {
                for (int it = 0; it < Requests; ++it)
                    fixture.kits().onRequest(Done, milliseconds(1), milliseconds(1));
            });
        for (auto &thread : threads)
            thread.join();
        assertLine(fixture.text(),
                   R"(ggv_requests_total{result="ok",service="kits",verdict="done"} 2000)");
    }

    void takenDemandAddsUpToTheTotal()
    {
        CPPUNIT_ASSERT(rc::check("total demand equals the sum of taken and pending demand", [] {
            RateLimiter limiter;
            std::uint64_t recorded = 0;
            std::uint64_t taken = 0;
            const auto steps = *rc::gen::container<std::vector<std::uint8_t>>(
                rc::gen::arbitrary<std::uint8_t>());
            for (const auto step : steps) {
                limiter.recordDemand(step);
                recorded += step;
                if (step % 3 == 0)
                    taken += limiter.takeDemand();
                RC_ASSERT(limiter.demandTotal() == recorded);
            }
            RC_ASSERT(taken + limiter.takeDemand() == recorded);
        }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);

} // namespace
