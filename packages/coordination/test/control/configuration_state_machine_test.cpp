#include "change_commands.hpp"

#include <ggv/state/core/error.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace ggv;
using namespace ggv::test;

class Fixture
{
public:
    explicit Fixture(ConfigurationLimits limits = {})
        : machine([this](auto content, ByteView) { inForce = content->version(); }, limits)
    {
        static_cast<void>(apply(firstChange()));
    }

    ChangeAnswer apply(const ChangeCommand &command)
    {
        return decodeChangeAnswer(machine.apply(++m_index, encodeChangeCommand(command)));
    }

    RegisterVersion inForce = 0;
    ConfigurationStateMachine machine;

private:
    LogIndex m_index = 0;
};

class ConfigurationStateMachineTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigurationStateMachineTest);
    CPPUNIT_TEST(oneChangePerVersionIsAccepted);
    CPPUNIT_TEST(resentChangesGetTheirFirstAnswer);
    CPPUNIT_TEST(firstAnswersSurviveSnapshots);
    CPPUNIT_TEST(reusedChangeIdsAreRejected);
    CPPUNIT_TEST(invalidChangesDoNotModifyTheRegister);
    CPPUNIT_TEST(evictedChangesAreNotAppliedAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    void oneChangePerVersionIsAccepted()
    {
        Fixture fixture;
        const ChangeAnswer first = fixture.apply(markerChange("a", 1));
        const ChangeAnswer second = fixture.apply(markerChange("b", 1));
        CPPUNIT_ASSERT(first == (ChangeAnswer { ResultCode::Ok, 2, {} }));
        CPPUNIT_ASSERT(ResultCode::VersionConflict == second.code);
        CPPUNIT_ASSERT_EQUAL(RegisterVersion { 2 }, second.version);
        CPPUNIT_ASSERT_EQUAL(markerUrl("a"), fixture.machine.current()->content().platformListUrl);
        CPPUNIT_ASSERT_EQUAL(RegisterVersion { 2 }, fixture.inForce);
    }

    void resentChangesGetTheirFirstAnswer()
    {
        Fixture fixture;
        const ChangeAnswer accepted = fixture.apply(markerChange("a", 1));
        const ChangeAnswer rejected = fixture.apply(markerChange("b", 1));
        static_cast<void>(fixture.apply(markerChange("c", 2)));
        CPPUNIT_ASSERT(accepted == fixture.apply(markerChange("a", 1)));
        CPPUNIT_ASSERT(rejected == fixture.apply(markerChange("b", 1)));
        CPPUNIT_ASSERT_EQUAL(RegisterVersion { 3 }, fixture.machine.current()->version());
    }

    void firstAnswersSurviveSnapshots()
    {
        Fixture fixture;
        const ChangeAnswer accepted = fixture.apply(markerChange("a", 1));
        const ChangeAnswer rejected = fixture.apply(markerChange("b", 1));
        Fixture restored;
        restored.machine.restore(fixture.machine.encode());
        CPPUNIT_ASSERT(*fixture.machine.current() == *restored.machine.current());
        CPPUNIT_ASSERT_EQUAL(RegisterVersion { 2 }, restored.inForce);
        CPPUNIT_ASSERT(accepted == restored.apply(markerChange("a", 1)));
        CPPUNIT_ASSERT(rejected == restored.apply(markerChange("b", 1)));
        CPPUNIT_ASSERT(fixture.machine.encode() == restored.machine.encode());
    }

    void reusedChangeIdsAreRejected()
    {
        Fixture fixture;
        const ChangeAnswer accepted = fixture.apply(markerChange("a", 1));
        ChangeCommand other = markerChange("a", 2);
        ++other.digest;
        CPPUNIT_ASSERT(ResultCode::ChangeIdReused == fixture.apply(other).code);
        CPPUNIT_ASSERT(accepted == fixture.apply(markerChange("a", 1)));
    }

    void invalidChangesDoNotModifyTheRegister()
    {
        Fixture fixture;
        const Register before = *fixture.machine.current();
        ChangeCommand malformed = markerChange("a", 1);
        malformed.delta = { 0xc1 };
        RegisterDelta delta;
        delta.from = 1;
        delta.to = 2;
        delta.regions.remove = { "north" };
        ChangeCommand invalid = markerChange("b", 1);
        invalid.delta = encodeDelta(delta);
        CPPUNIT_ASSERT(ResultCode::ProtocolViolation == fixture.apply(malformed).code);
        CPPUNIT_ASSERT(ResultCode::RegisterInvalid == fixture.apply(invalid).code);
        const Bytes answerToMalformed = fixture.machine.apply(9, Bytes { 0xc1 });
        CPPUNIT_ASSERT(ResultCode::ProtocolViolation == decodeChangeAnswer(answerToMalformed).code);
        CPPUNIT_ASSERT(before == *fixture.machine.current());
    }

    void evictedChangesAreNotAppliedAgain()
    {
        Fixture fixture({ .maxRetainedAnswers = 2 });
        for (RegisterVersion version = 1; version < 6; ++version)
            static_cast<void>(fixture.apply(markerChange(std::to_string(version), version)));
        const ChangeAnswer answer = fixture.apply(markerChange("1", 1));
        CPPUNIT_ASSERT(ResultCode::VersionConflict == answer.code);
        CPPUNIT_ASSERT_EQUAL(RegisterVersion { 6 }, fixture.machine.current()->version());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationStateMachineTest);

} // namespace
