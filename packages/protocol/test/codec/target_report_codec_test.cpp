#include <ggv/protocol/codec/target_report_codec.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <vector>

namespace {

using ggv::Duration;
using ggv::RequestFingerprint;
using ggv::RequestReport;
using ggv::RequestReportKind;
using ggv::TargetRateLimitReport;
using ggv::TargetRateLimitShare;
using ggv::TargetStateReport;
using std::chrono::milliseconds;
using std::chrono::seconds;

class TargetReportCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetReportCodecTest);
    CPPUNIT_TEST(rateLimitsRoundTrip);
    CPPUNIT_TEST(sharesRoundTripAndAreBounded);
    CPPUNIT_TEST(requestReportsRoundTrip);
    CPPUNIT_TEST(malformedRequestReportsAreIgnored);
    CPPUNIT_TEST(startsAndDeparturesRoundTrip);
    CPPUNIT_TEST(malformedStartsAreIgnored);
    CPPUNIT_TEST(kindsAreToldApart);
    CPPUNIT_TEST_SUITE_END();

public:
    void rateLimitsRoundTrip()
    {
        for (const std::optional<double> limit : { std::optional<double>(), { 0.0 }, { 8.6 } }) {
            const TargetRateLimitReport report { "i-1", limit, milliseconds(30) };
            CPPUNIT_ASSERT(report
                           == ggv::decodeRateLimitReport(ggv::encodeRateLimitReport(report)));
        }
        const TargetRateLimitReport huge { "i-1", std::numeric_limits<double>::max(), Duration(0) };
        const auto decoded = ggv::decodeRateLimitReport(ggv::encodeRateLimitReport(huge));
        CPPUNIT_ASSERT(decoded->perSecond.has_value());
    }

    void sharesRoundTripAndAreBounded()
    {
        const TargetRateLimitShare share { "i-1", 0.25 };
        CPPUNIT_ASSERT(share == ggv::decodeRateLimitShare(ggv::encodeRateLimitShare(share)));
        auto record = ggv::encodeRateLimitShare(share);
        record.load = std::numeric_limits<std::uint32_t>::max();
        CPPUNIT_ASSERT_EQUAL(1.0, ggv::decodeRateLimitShare(record)->fraction);
    }

    void requestReportsRoundTrip()
    {
        const RequestFingerprint request(0x1234);
        const std::vector<RequestReport> reports {
            { RequestReportKind::Crash, request, "i-1", milliseconds(30), Duration(0) },
            { RequestReportKind::Answer, request, "", milliseconds(30), Duration(0) },
            { RequestReportKind::Quarantine, request, "", Duration(0), seconds(599) },
        };
        for (const auto &it : reports) {
            const auto record = ggv::encodeRequestReport(it);
            CPPUNIT_ASSERT(it == ggv::decodeRequestReport(record));
            CPPUNIT_ASSERT(!ggv::isLoadRecord(record));
            CPPUNIT_ASSERT(!ggv::decodeRateLimitReport(record));
        }
    }

    void malformedRequestReportsAreIgnored()
    {
        for (const char *it : { "request-crash:", "request-crash:00000000000000ff",
                                "request-crash:00000000000000ff:", "request-crash:xyz:i-1",
                                "request-answer:00000000000000ff:i-1", "request-answer:ff",
                                "request-quarantine:-0000000000000ff", "request-other:", "i-1" })
            CPPUNIT_ASSERT_MESSAGE(it, !ggv::decodeRequestReport({ it, 1, false, Duration(0) }));
    }

    void startsAndDeparturesRoundTrip()
    {
        for (const ggv::UnixMillis it :
             { ggv::UnixMillis { 1 }, ggv::UnixMillis { 1'700'000'000'000 },
               std::numeric_limits<ggv::UnixMillis>::max() }) {
            const ggv::TargetStart start { "i:1", it };
            const auto record = ggv::encodeTargetStart(start);
            CPPUNIT_ASSERT(start == ggv::decodeTargetStart(record));
            CPPUNIT_ASSERT(!ggv::decodeDeparture(record) && !ggv::isLoadRecord(record));
            const TargetStateReport departure { "i:1", 0, true, milliseconds(30), it };
            const auto departed = ggv::encodeDeparture(departure);
            CPPUNIT_ASSERT(departure == ggv::decodeDeparture(departed));
            CPPUNIT_ASSERT(!ggv::decodeTargetStart(departed) && !ggv::isLoadRecord(departed));
        }
    }

    void malformedStartsAreIgnored()
    {
        for (const char *it : { "target-start:", "target-start:5", "target-start:5:",
                                "target-start::i-1", "target-start:-5:i-1", "target-start:0:i-1",
                                "target-start:5!:i-1", "target-start:zzzzzzzzzzzzzzzz:i-1", "i-1" })
            CPPUNIT_ASSERT_MESSAGE(it, !ggv::decodeTargetStart({ it, 0, false, Duration(0) }));
    }

    void kindsAreToldApart()
    {
        const TargetStateReport load { "i-1", 20, false, Duration(0) };
        const auto limit = ggv::encodeRateLimitReport({ "i-1", 8.6, Duration(0) });
        const auto share = ggv::encodeRateLimitShare({ "i-1", 0.5 });
        CPPUNIT_ASSERT(ggv::isLoadRecord(load));
        CPPUNIT_ASSERT(!ggv::isLoadRecord(limit) && !ggv::isLoadRecord(share));
        CPPUNIT_ASSERT(!ggv::decodeRateLimitReport(load) && !ggv::decodeRateLimitReport(share));
        CPPUNIT_ASSERT(!ggv::decodeRateLimitShare(load) && !ggv::decodeRateLimitShare(limit));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetReportCodecTest);

} // namespace
