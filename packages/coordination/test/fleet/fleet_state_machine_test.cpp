#include <ggv/coordination/fleet/fleet_state_machine.hpp>
#include <ggv/protocol/codec/fleet_codec.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using ggv::ChangeConfiguration;
using ggv::FailureDomainName;
using ggv::FleetCommand;
using ggv::FleetCommandAnswer;
using ggv::FleetStateMachine;
using ggv::ResultCode;
using ggv::SetEvacuation;

class FleetStateMachineTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetStateMachineTest);
    CPPUNIT_TEST(changeRequiresCurrentBaseVersion);
    CPPUNIT_TEST(onlyOneChangePerBaseVersionIsAccepted);
    CPPUNIT_TEST(resentChangeIsAcceptedAgainAfterRestore);
    CPPUNIT_TEST(nonIncreasingVersionIsRejected);
    CPPUNIT_TEST(evacuationIsIdempotent);
    CPPUNIT_TEST_SUITE_END();

public:
    void changeRequiresCurrentBaseVersion()
    {
        CPPUNIT_ASSERT(change(2, 0, 'a').code == ResultCode::Ok);
        CPPUNIT_ASSERT(change(5, 2, 'b').code == ResultCode::Ok);
        CPPUNIT_ASSERT(change(9, 2, 'c').code == ResultCode::VersionConflict);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 5 }, m_stateMachine.state().version);
        CPPUNIT_ASSERT(ggv::Bytes { 'b' } == m_stateMachine.state().configuration);
    }

    void onlyOneChangePerBaseVersionIsAccepted()
    {
        CPPUNIT_ASSERT(change(2, 0, 'a').code == ResultCode::Ok);
        CPPUNIT_ASSERT(change(3, 2, 'b').code == ResultCode::Ok);
        CPPUNIT_ASSERT(change(3, 2, 'c').code == ResultCode::VersionConflict);
        CPPUNIT_ASSERT(ggv::Bytes { 'b' } == m_stateMachine.state().configuration);
    }

    void resentChangeIsAcceptedAgainAfterRestore()
    {
        CPPUNIT_ASSERT(change(2, 0, 'a').code == ResultCode::Ok);
        CPPUNIT_ASSERT(change(3, 2, 'b').code == ResultCode::Ok);
        const auto bytes = m_stateMachine.encode();
        m_stateMachine.restore(bytes);
        CPPUNIT_ASSERT(change(2, 0, 'a').code == ResultCode::Ok);
        CPPUNIT_ASSERT(change(3, 2, 'b').code == ResultCode::Ok);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 3 }, m_stateMachine.state().version);
    }

    void nonIncreasingVersionIsRejected()
    {
        CPPUNIT_ASSERT(change(5, 0, 'a').code == ResultCode::Ok);
        CPPUNIT_ASSERT(change(5, 5, 'b').code == ResultCode::VersionConflict);
        CPPUNIT_ASSERT(change(4, 5, 'b').code == ResultCode::VersionConflict);
    }

    void evacuationIsIdempotent()
    {
        const FailureDomainName domain("a");
        CPPUNIT_ASSERT(applyCommand(SetEvacuation { domain, true }).code == ResultCode::Ok);
        const auto revision = m_stateMachine.state().revision;
        CPPUNIT_ASSERT(applyCommand(SetEvacuation { domain, true }).code == ResultCode::Ok);
        CPPUNIT_ASSERT_EQUAL(revision, m_stateMachine.state().revision);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_stateMachine.state().evacuated.size());
        CPPUNIT_ASSERT(applyCommand(SetEvacuation { domain, false }).code == ResultCode::Ok);
        CPPUNIT_ASSERT(m_stateMachine.state().evacuated.empty());
        CPPUNIT_ASSERT(m_stateMachine.state().revision > revision);
    }

private:
    FleetCommandAnswer applyCommand(const FleetCommand &command)
    {
        return ggv::decodeFleetCommandAnswer(
            m_stateMachine.apply(++m_index, ggv::encodeFleetCommand(command)));
    }

    FleetCommandAnswer change(std::uint64_t version, std::uint64_t base, std::uint8_t content)
    {
        return applyCommand(ChangeConfiguration {
            version, base, std::uint64_t { content } * 1000 + base, { content } });
    }

    FleetStateMachine m_stateMachine { [] {} };
    ggv::LogIndex m_index = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetStateMachineTest);

} // namespace
