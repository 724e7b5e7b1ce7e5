#include <ggv/coordination/fleet/target_state_relay.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using ggv::Duration;
using ggv::Instant;
using ggv::TargetStateRelay;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant Start { seconds(100) };

class TargetStateRelayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetStateRelayTest);
    CPPUNIT_TEST(reportIsForwardedOnce);
    CPPUNIT_TEST(reportFromControlHostIsNotSentBack);
    CPPUNIT_TEST(olderReportsAreDropped);
    CPPUNIT_TEST(trackedTargetsAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void reportIsForwardedOnce()
    {
        TargetStateRelay relay;
        relay.addFromEntry({ { "t", 9, false, milliseconds(50) } }, Start);
        const auto sent = relay.takeForControl(Start + milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, sent.size());
        CPPUNIT_ASSERT(Duration(milliseconds(150)) == sent.front().age);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 9 }, sent.front().load);
        CPPUNIT_ASSERT(relay.takeForControl(Start + milliseconds(200)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, relay.takeForEntry(Start).size());
        CPPUNIT_ASSERT(relay.takeForEntry(Start).empty());
    }

    void reportFromControlHostIsNotSentBack()
    {
        TargetStateRelay relay;
        relay.addFromControl({ { "t", 9, false, Duration(0) } }, Start);
        CPPUNIT_ASSERT(relay.takeForControl(Start).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, relay.takeForEntry(Start).size());
    }

    void olderReportsAreDropped()
    {
        TargetStateRelay relay;
        relay.addFromEntry({ { "t", 9, false, Duration(0) } }, Start);
        relay.addFromControl({ { "t", 3, false, milliseconds(100) } }, Start);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 9 }, relay.takeForEntry(Start).front().load);
        relay.addFromEntry({ { "u", 9, false, seconds(3) } }, Start);
        CPPUNIT_ASSERT(relay.takeForEntry(Start).empty());
        relay.addFromEntry({ { "v", 9, false, Duration(0) } }, Start);
        CPPUNIT_ASSERT(relay.takeForEntry(Start + seconds(3)).empty());
    }

    void trackedTargetsAreBounded()
    {
        TargetStateRelay relay;
        std::vector<ggv::TargetStateReport> many;
        for (std::size_t n = 0; n < TargetStateRelay::MaxTargets + 10; ++n)
            many.push_back({ std::to_string(n), 1, false, Duration(0) });
        relay.addFromEntry(many, Start);
        CPPUNIT_ASSERT_EQUAL(TargetStateRelay::MaxTargets, relay.takeForEntry(Start).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetStateRelayTest);

} // namespace
