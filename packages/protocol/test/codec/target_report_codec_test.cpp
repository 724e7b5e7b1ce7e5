#include <ggv/protocol/codec/target_report_codec.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <cctype>
#include <limits>
#include <string>
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

//! Latest start that can be sent.
constexpr ggv::UnixMillis LatestStart = (ggv::UnixMillis { 1 } << 42U) - 1;

class TargetReportCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetReportCodecTest);
    CPPUNIT_TEST(rateLimitsRoundTrip);
    CPPUNIT_TEST(sharesRoundTripAndAreBounded);
    CPPUNIT_TEST(requestReportsRoundTrip);
    CPPUNIT_TEST(malformedRequestReportsAreIgnored);
    CPPUNIT_TEST(startsRoundTrip);
    CPPUNIT_TEST(startsOfAnyTimeStayInOrder);
    CPPUNIT_TEST(startsOfManyTargetsAreShort);
    CPPUNIT_TEST(departuresRoundTrip);
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

    void startsRoundTrip()
    {
        const std::vector<ggv::TargetStart> starts {
            { ggv::targetKeyOf("i-1"), 1 },
            { ggv::targetKeyOf("i-2"), 1'700'000'000'000 },
            { 0, 5 },
            { (ggv::TargetKey { 1 } << ggv::TargetKeyBits) - 1, LatestStart },
        };
        const auto records = ggv::encodeTargetStarts(starts);
        CPPUNIT_ASSERT(starts == ggv::decodeTargetStarts(records));
        for (const auto &it : records) {
            CPPUNIT_ASSERT(ggv::isTargetStarts(it) && !ggv::isLoadRecord(it));
            CPPUNIT_ASSERT(!ggv::decodeDeparture(it));
        }
        CPPUNIT_ASSERT(ggv::encodeTargetStarts({}).empty());
    }

    // Guards against a time that is cut off and looks like an earlier start.
    void startsOfAnyTimeStayInOrder()
    {
        const auto records
            = ggv::encodeTargetStarts({ { 7, std::numeric_limits<ggv::UnixMillis>::max() } });
        const std::vector latest { ggv::TargetStart { 7, LatestStart } };
        CPPUNIT_ASSERT(latest == ggv::decodeTargetStarts(records));
    }

    // Guards against lists of starts that take more on each host's link than the target list.
    void startsOfManyTargetsAreShort()
    {
        std::vector<ggv::TargetStart> starts;
        starts.reserve(1'000);
        for (int n = 0; n < 1'000; ++n)
            starts.push_back({ ggv::targetKeyOf("i-" + std::to_string(n)), 1'700'000'000'000 + n });
        const auto records = ggv::encodeTargetStarts(starts);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, records.size());
        CPPUNIT_ASSERT(records.front().instance.size() < 16 * starts.size());
        for (const unsigned char it : records.front().instance)
            CPPUNIT_ASSERT(std::isprint(it) != 0);
    }

    void departuresRoundTrip()
    {
        for (const ggv::UnixMillis it :
             { ggv::UnixMillis { 1 }, ggv::UnixMillis { 1'700'000'000'000 },
               std::numeric_limits<ggv::UnixMillis>::max() }) {
            const TargetStateReport departure { "i:1", 0, true, milliseconds(30), it };
            const auto departed = ggv::encodeDeparture(departure);
            CPPUNIT_ASSERT(departure == ggv::decodeDeparture(departed));
            CPPUNIT_ASSERT(!ggv::isTargetStarts(departed) && !ggv::isLoadRecord(departed));
        }
    }

    void malformedStartsAreIgnored()
    {
        for (const char *it :
             { "target-starts:", "target-starts:AAAAAAAAAAAA", "target-starts:AAAAAAAAAAAA!",
               "target-starts:AAAAAAAAAAAAA", "target-start:AAAAAAAAAAAAB", "i-1" })
            CPPUNIT_ASSERT_MESSAGE(
                it, ggv::decodeTargetStarts({ { it, 0, false, Duration(0) } }).empty());
        for (const char *it :
             { "target-departed:", "target-departed:5", "target-departed:5:",
               "target-departed::i-1", "target-departed:-5:i-1", "target-departed:0:i-1",
               "target-departed:5!:i-1", "target-departed:zzzzzzzzzzzzzzzz:i-1", "i-1" })
            CPPUNIT_ASSERT_MESSAGE(it, !ggv::decodeDeparture({ it, 0, true, Duration(0) }));
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
