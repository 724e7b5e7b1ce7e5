#include <ggv/protocol/codec/fleet_codec.hpp>
#include <ggv/state/core/error.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace {

using ggv::Bytes;
using ggv::Duration;
using ggv::FleetCommand;
using ggv::FleetMessage;
using ggv::FleetState;

ggv::HostAnnouncement sampleHost()
{
    return { ggv::HostName("a-1"),
             ggv::HostRole::Control,
             { "10.0.0.1", 8000 },
             { "10.0.0.1", 7000 },
             ggv::FailureDomainName("a"),
             ggv::RegionName("north"),
             17,
             true,
             false };
}

ggv::ListedTarget sampleTarget()
{
    return { "i-1",
             ggv::ServiceName("shop"),
             { "10.0.1.1", 80 },
             ggv::FailureDomainName("a"),
             9,
             true,
             Duration(250) };
}

std::vector<FleetMessage> sampleMessages()
{
    ggv::FleetFeed feed;
    feed.current = true;
    feed.revision = 9;
    feed.version = 7;
    feed.evacuated = { ggv::FailureDomainName("a") };
    feed.entryHosts = 4;
    feed.controlHosts = { sampleHost() };
    feed.forwardingPeers = { sampleHost() };
    return { ggv::HostReport { sampleHost(), 4, 5 },
             ggv::HostObservationReport { { { sampleHost(), Duration(12) } } },
             ggv::QuorumEnvelope { { 1, 2, ggv::VoteAnswer { 3, true, false } } },
             ggv::TargetListReport { 8, Duration(9), { { sampleTarget() } }, {} },
             ggv::TargetListReport {
                 8, Duration(9), {}, { { 7, { 0, 300 }, { sampleTarget() } } } },
             ggv::TargetListReport { 8, Duration(9), {}, {} },
             ggv::TargetStateReports { { { "i-1", 20, true, Duration(300) } } },
             ggv::DocumentUpdate { 7, 6, 8, { 1, 2 } },
             feed };
}

class FleetCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetCodecTest);
    CPPUNIT_TEST(messagesRoundTrip);
    CPPUNIT_TEST(commandsAndStateRoundTrip);
    CPPUNIT_TEST(corruptedBytesAreRejectedOrDecode);
    CPPUNIT_TEST_SUITE_END();

public:
    void messagesRoundTrip()
    {
        for (const auto &it : sampleMessages())
            CPPUNIT_ASSERT(it == ggv::decodeFleetMessage(ggv::encodeFleetMessage(it)));
    }

    void commandsAndStateRoundTrip()
    {
        const std::vector<FleetCommand> commands {
            ggv::ChangeConfiguration { 5, 4, 77, { 1, 2, 3 } },
            ggv::SetEvacuation { ggv::FailureDomainName("a"), true },
            ggv::RegisterMember { 6, { "10.0.0.1", 7000 } }
        };
        for (const auto &it : commands)
            CPPUNIT_ASSERT(it == ggv::decodeFleetCommand(ggv::encodeFleetCommand(it)));
        const FleetState state { 3,
                                 5,
                                 { 9 },
                                 { { 5, 77 } },
                                 { ggv::FailureDomainName("a") },
                                 { { 6, { "10.0.0.1", 7000 } } } };
        CPPUNIT_ASSERT(state == ggv::decodeFleetState(ggv::encodeFleetState(state)));
    }

    void corruptedBytesAreRejectedOrDecode()
    {
        CPPUNIT_ASSERT(
            rc::check("truncated or modified bytes either decode or raise ProtocolViolation", [] {
                const auto messages = sampleMessages();
                Bytes bytes = ggv::encodeFleetMessage(
                    messages[*rc::gen::inRange<std::size_t>(0, messages.size())]);
                const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
                if (*rc::gen::arbitrary<bool>())
                    bytes.resize(at);
                else
                    bytes[at] = *rc::gen::arbitrary<std::uint8_t>();
                try {
                    (void)ggv::decodeFleetMessage(bytes);
                } catch (const ggv::Error &error) {
                    RC_ASSERT(error.code() == ggv::ResultCode::ProtocolViolation);
                }
            }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetCodecTest);

} // namespace
