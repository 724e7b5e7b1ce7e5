#include <ggv/coordination/fleet/membership_policy.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using ggv::Duration;
using ggv::HostRole;
using ggv::HostSighting;
using ggv::MemberId;
using ggv::MembershipPolicyInput;
using ggv::MembershipStepKind;
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
MembershipPolicyInput sixVoters()
{
    MembershipPolicyInput view;
    view.timeAsLeader = seconds(60);
    view.toleratedFailures = 2;
    for (unsigned n = 1; n <= 6; ++n) {
        view.status.voters.push_back(n);
        view.registered.push_back({ n, addressOf(n) });
        view.hosts.push_back(memberAt(n, n, Duration(0)));
    }
    return view;
}

class MembershipPolicyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MembershipPolicyTest);
    CPPUNIT_TEST(nothingToDo);
    CPPUNIT_TEST(aNewHostIsRegisteredAndThenAdded);
    CPPUNIT_TEST(aLostDiskIsReplacedBeforeItsOldIdentityGoes);
    CPPUNIT_TEST(silentMembersGoOnlyWhileEnoughRemain);
    CPPUNIT_TEST(aNewLeaderWaitsBeforeItCallsAMemberSilent);
    CPPUNIT_TEST(nobodyIsRemovedWhileAMemberIsCaughtUp);
    CPPUNIT_TEST(entryHostsAreNoMembers);
    CPPUNIT_TEST_SUITE_END();

public:
    void nothingToDo() { CPPUNIT_ASSERT(!ggv::nextMembershipStep(sixVoters())); }

    void aNewHostIsRegisteredAndThenAdded()
    {
        auto view = sixVoters();
        view.hosts.push_back(memberAt(7, 70, Duration(0)));
        auto step = ggv::nextMembershipStep(view);
        CPPUNIT_ASSERT(step && step->kind == MembershipStepKind::Register && step->member == 70);
        view.registered.push_back({ 70, addressOf(7) });
        step = ggv::nextMembershipStep(view);
        CPPUNIT_ASSERT(step && step->kind == MembershipStepKind::Add && step->member == 70);
        view.hosts.back().age = seconds(5);
        CPPUNIT_ASSERT(!ggv::nextMembershipStep(view));
    }

    void aLostDiskIsReplacedBeforeItsOldIdentityGoes()
    {
        auto view = sixVoters();
        view.hosts[2] = memberAt(3, 30, Duration(0));
        view.registered.push_back({ 30, addressOf(3) });
        auto step = ggv::nextMembershipStep(view);
        CPPUNIT_ASSERT(step && step->kind == MembershipStepKind::Add && step->member == 30);
        view.status.voters.push_back(30);
        step = ggv::nextMembershipStep(view);
        CPPUNIT_ASSERT(step && step->kind == MembershipStepKind::Remove && step->member == 3);
    }

    void silentMembersGoOnlyWhileEnoughRemain()
    {
        auto view = sixVoters();
        view.hosts[0].age = seconds(20);
        view.hosts[1].age = seconds(20);
        const auto step = ggv::nextMembershipStep(view);
        CPPUNIT_ASSERT(step && step->kind == MembershipStepKind::Remove && step->member == 1);
        view.status.voters.erase(view.status.voters.begin());
        // Five voters bear the loss of two; four would not.
        CPPUNIT_ASSERT(!ggv::nextMembershipStep(view));
    }

    void aNewLeaderWaitsBeforeItCallsAMemberSilent()
    {
        auto view = sixVoters();
        view.hosts.erase(view.hosts.begin());
        view.timeAsLeader = seconds(2);
        CPPUNIT_ASSERT(!ggv::nextMembershipStep(view));
        view.timeAsLeader = seconds(20);
        CPPUNIT_ASSERT(ggv::nextMembershipStep(view).has_value());
    }

    void nobodyIsRemovedWhileAMemberIsCaughtUp()
    {
        auto view = sixVoters();
        view.hosts[0].age = seconds(20);
        view.status.learners = { 70 };
        CPPUNIT_ASSERT(!ggv::nextMembershipStep(view));
    }

    void entryHostsAreNoMembers()
    {
        auto view = sixVoters();
        view.hosts.push_back(memberAt(9, 0, Duration(0)));
        view.hosts.back().host.role = HostRole::Entry;
        CPPUNIT_ASSERT(!ggv::nextMembershipStep(view));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipPolicyTest);

} // namespace
