#include <ggv/protocol/codec/fleet_codec.hpp>
#include <ggv/protocol/codec/target_report_codec.hpp>

#include <codec/fleet_samples.hpp>

#include <array>
#include <charconv>
#include <string_view>
#include <utility>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace ggv::test;
using ggv::Bytes;
using ggv::Duration;

// Encodings of the samples by commit 988dba2, which runs beside later builds during an upgrade.
constexpr std::array<std::string_view, 10> RecordedMessages {
    "92009599a3612d310192a831302e302e302e31cd1f4092a831302e302e302e31cd1b58a161a56e6f"
    "72746811c3c204050607",
    "920191919299a3612d310192a831302e302e302e31cd1f4092a831302e302e302e31cd1b58a161a5"
    "6e6f72746811c3c20c",
    "92029193010292019303c3c2",
    "92029193010292029601020304059194060100c4020102",
    "92039408099197a3692d31a473686f7092a831302e302e312e3150a16109c3ccfac0",
    "9203940809c093079200cd012c9197a3692d31a473686f7092a831302e302e312e3150a16109c3cc"
    "fa",
    "9203940809c0c0",
    "9205919194a3692d3114c3cd012c",
    "920694070608c4020102",
    "920498c309074d91a161049199a3612d310192a831302e302e302e31cd1f4092a831302e302e302e"
    "31cd1b58a161a56e6f72746811c3c29199a3612d310192a831302e302e302e31cd1f4092a831302e"
    "302e302e31cd1b58a161a56e6f72746811c3c2",
};

constexpr std::array<std::string_view, 3> RecordedCommands {
    "92009405044dc403010203",
    "920192a161c3",
    "9202920692a831302e302e302e31cd1b58",
};

constexpr std::string_view RecordedState
    = "960305c401099192054d91a16191920692a831302e302e302e31cd1b58";

Bytes fromHex(std::string_view text)
{
    Bytes bytes;
    for (std::size_t n = 0; n + 1 < text.size(); n += 2) {
        std::uint8_t byte = 0;
        (void)std::from_chars(text.data() + n, text.data() + n + 2, byte, 16);
        bytes.push_back(byte);
    }
    return bytes;
}

class RecordedFleetBytesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RecordedFleetBytesTest);
    CPPUNIT_TEST(messagesOfTheLandedBuildAreRead);
    CPPUNIT_TEST(messagesAreWrittenAsTheLandedBuildReadsThem);
    CPPUNIT_TEST(replicatedStateIsUnchanged);
    CPPUNIT_TEST(reportsOfNewKindsHaveTheFormOfTheLandedBuild);
    CPPUNIT_TEST(startsOfTargetsHaveTheFormOfTheLandedBuild);
    CPPUNIT_TEST_SUITE_END();

public:
    void messagesOfTheLandedBuildAreRead()
    {
        const auto samples = sampleMessages();
        CPPUNIT_ASSERT_EQUAL(samples.size(), RecordedMessages.size());
        for (std::size_t n = 0; n < samples.size(); ++n)
            CPPUNIT_ASSERT(samples[n] == ggv::decodeFleetMessage(fromHex(RecordedMessages[n])));
    }

    void messagesAreWrittenAsTheLandedBuildReadsThem()
    {
        const auto samples = sampleMessages();
        for (std::size_t n = 0; n < samples.size(); ++n)
            CPPUNIT_ASSERT(fromHex(RecordedMessages[n]) == ggv::encodeFleetMessage(samples[n]));
    }

    void replicatedStateIsUnchanged()
    {
        const auto commands = sampleCommands();
        CPPUNIT_ASSERT_EQUAL(commands.size(), RecordedCommands.size());
        for (std::size_t n = 0; n < commands.size(); ++n) {
            CPPUNIT_ASSERT(commands[n] == ggv::decodeFleetCommand(fromHex(RecordedCommands[n])));
            CPPUNIT_ASSERT(fromHex(RecordedCommands[n]) == ggv::encodeFleetCommand(commands[n]));
        }
        CPPUNIT_ASSERT(sampleState() == ggv::decodeFleetState(fromHex(RecordedState)));
        CPPUNIT_ASSERT(fromHex(RecordedState) == ggv::encodeFleetState(sampleState()));
    }

    // The landed build takes only records of four fields: text, number, truth value, number.
    void reportsOfNewKindsHaveTheFormOfTheLandedBuild()
    {
        const ggv::TargetStateReports reports {
            { ggv::encodeRateLimitReport({ "i-1", 8.6, Duration(300) }),
              ggv::encodeRequestReport({ ggv::RequestReportKind::Answer,
                                         ggv::RequestFingerprint(255),
                                         "",
                                         Duration(7),
                                         {} }) }
        };
        const auto expected
            = fromHex("9205919294ae726174652d6c696d69743a692d31cd2198c2cd012c"
                      "94bf726571756573742d616e737765723a3030303030303030303030303030666600c207");
        CPPUNIT_ASSERT(expected == ggv::encodeFleetMessage(reports));
    }

    // The start of a target is no part of its entry or of the record that it departed.
    void startsOfTargetsHaveTheFormOfTheLandedBuild()
    {
        auto target = sampleTarget();
        target.startedAt = 1'700'000'000'000;
        const ggv::TargetListReport list { 8, Duration(9), { { target } }, {} };
        CPPUNIT_ASSERT(fromHex(RecordedMessages[4]) == ggv::encodeFleetMessage(list));
        const ggv::TargetStateReport report { "i-1", 20, true, Duration(300), target.startedAt };
        const ggv::TargetStateReports departed { { report } };
        CPPUNIT_ASSERT(fromHex(RecordedMessages[7]) == ggv::encodeFleetMessage(departed));
        auto starts = ggv::encodeTargetStarts({ { 65, 71 } });
        starts.push_back(ggv::encodeDeparture(report));
        const ggv::TargetStateReports records { std::move(starts) };
        const auto expected
            = fromHex("9205919294bb7461726765742d7374617274733a41414141424241414141414248"
                      "00c200"
                      "94bc7461726765742d64657061727465643a6c6f7977337632383a692d3100c3cd012c");
        CPPUNIT_ASSERT(expected == ggv::encodeFleetMessage(records));
        const auto decoded = std::get<ggv::TargetStateReports>(
            ggv::decodeFleetMessage(ggv::encodeFleetMessage(records)));
        CPPUNIT_ASSERT(decoded == records);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordedFleetBytesTest);

} // namespace
