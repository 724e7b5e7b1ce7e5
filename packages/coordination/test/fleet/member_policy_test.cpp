#include <ggv/coordination/fleet/member_policy.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using ggv::Duration;
using ggv::HostRole;
using ggv::HostSighting;
using ggv::MemberId;
using ggv::MemberStepKind;
using ggv::MemberView;
using std::chrono::seconds;

ggv::Endpoint addressOf(unsigned number) { return { "10.0.0." + std::to_string(number), 7000 }; }

HostSighting memberAt(unsigned address, MemberId member, Duration age)
{
    HostSighting sighting;
    sighting.host.name = ggv::HostName("core-" + std::to_string(address));
    sighting.host.role = HostRole::Control;
    sighting.host.internal = addressOf(address);
    sighting.host.member = member;
    sighting.age = age;
    return sighting;
}

//! Six voters that are alive and registered.
MemberView sixVoters()
{
    MemberView view;
    view.leadingFor = seconds(60);
    view.toleratedLosses = 2;
    for (unsigned n = 1; n <= 6; ++n) {
        view.status.voters.push_back(n);
        view.registered.push_back({ n, addressOf(n) });
        view.hosts.push_back(memberAt(n, n, Duration(0)));
    }
    return view;
}

class MemberPolicyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MemberPolicyTest);
    CPPUNIT_TEST(nothingToDo);
    CPPUNIT_TEST(aNewHostIsRegisteredAndThenAdded);
    CPPUNIT_TEST(aLostDiskIsReplacedBeforeItsOldIdentityGoes);
    CPPUNIT_TEST(silentMembersGoOnlyWhileEnoughRemain);
    CPPUNIT_TEST(aNewLeaderWaitsBeforeItCallsAMemberSilent);
    CPPUNIT_TEST(nobodyIsRemovedWhileAMemberIsCaughtUp);
    CPPUNIT_TEST(entryHostsAreNoMembers);
    CPPUNIT_TEST_SUITE_END();

public:
    void nothingToDo() { CPPUNIT_ASSERT(!ggv::nextMemberStep(sixVoters())); }

    void aNewHostIsRegisteredAndThenAdded()
    {
        auto view = sixVoters();
        view.hosts.push_back(memberAt(7, 70, Duration(0)));
        auto step = ggv::nextMemberStep(view);
        CPPUNIT_ASSERT(step && step->kind == MemberStepKind::Register && step->member == 70);
        view.registered.push_back({ 70, addressOf(7) });
        step = ggv::nextMemberStep(view);
        CPPUNIT_ASSERT(step && step->kind == MemberStepKind::Add && step->member == 70);
        view.hosts.back().age = seconds(5);
        CPPUNIT_ASSERT(!ggv::nextMemberStep(view));
    }

    void aLostDiskIsReplacedBeforeItsOldIdentityGoes()
    {
        auto view = sixVoters();
        view.hosts[2] = memberAt(3, 30, Duration(0));
        view.registered.push_back({ 30, addressOf(3) });
        auto step = ggv::nextMemberStep(view);
        CPPUNIT_ASSERT(step && step->kind == MemberStepKind::Add && step->member == 30);
        view.status.voters.push_back(30);
        step = ggv::nextMemberStep(view);
        CPPUNIT_ASSERT(step && step->kind == MemberStepKind::Remove && step->member == 3);
    }

    void silentMembersGoOnlyWhileEnoughRemain()
    {
        auto view = sixVoters();
        view.hosts[0].age = seconds(20);
        view.hosts[1].age = seconds(20);
        const auto step = ggv::nextMemberStep(view);
        CPPUNIT_ASSERT(step && step->kind == MemberStepKind::Remove && step->member == 1);
        view.status.voters.erase(view.status.voters.begin());
        // Five voters bear the loss of two; four would not.
        CPPUNIT_ASSERT(!ggv::nextMemberStep(view));
    }

    void aNewLeaderWaitsBeforeItCallsAMemberSilent()
    {
        auto view = sixVoters();
        view.hosts.erase(view.hosts.begin());
        view.leadingFor = seconds(2);
        CPPUNIT_ASSERT(!ggv::nextMemberStep(view));
        view.leadingFor = seconds(20);
        CPPUNIT_ASSERT(ggv::nextMemberStep(view).has_value());
    }

    void nobodyIsRemovedWhileAMemberIsCaughtUp()
    {
        auto view = sixVoters();
        view.hosts[0].age = seconds(20);
        view.status.learners = { 70 };
        CPPUNIT_ASSERT(!ggv::nextMemberStep(view));
    }

    void entryHostsAreNoMembers()
    {
        auto view = sixVoters();
        view.hosts.push_back(memberAt(9, 0, Duration(0)));
        view.hosts.back().host.role = HostRole::Entry;
        CPPUNIT_ASSERT(!ggv::nextMemberStep(view));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberPolicyTest);

} // namespace
