#include <ggv/coordination/fleet/membership_policy.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using ggv::Duration;
using ggv::HostObservation;
using ggv::HostRole;
using ggv::MemberId;
using ggv::MembershipPolicyInput;
using ggv::MembershipStepKind;
using std::chrono::seconds;

ggv::Endpoint addressOf(unsigned number) { return { "10.0.0." + std::to_string(number), 7000 }; }

HostObservation memberAt(unsigned address, MemberId member, Duration age)
{
    HostObservation observation;
    observation.host.name = ggv::HostName("core-" + std::to_string(address));
    observation.host.role = HostRole::Control;
    observation.host.internal = addressOf(address);
    observation.host.member = member;
    observation.host.ready = true;
    observation.age = age;
    return observation;
}

//! Returns an input with six live, registered voters.
MembershipPolicyInput sixVoters()
{
    MembershipPolicyInput input;
    input.timeAsLeader = seconds(60);
    input.toleratedFailures = 2;
    for (unsigned n = 1; n <= 6; ++n) {
        input.status.voters.push_back(n);
        input.registered.push_back({ n, addressOf(n) });
        input.hosts.push_back(memberAt(n, n, Duration(0)));
    }
    return input;
}

constexpr MemberId Learner = 70;

//! Returns an input with six live voters and a live learner.
MembershipPolicyInput withLearner()
{
    MembershipPolicyInput input = sixVoters();
    input.status.learners = { Learner };
    input.registered.push_back({ Learner, addressOf(7) });
    input.hosts.push_back(memberAt(7, Learner, Duration(0)));
    return input;
}

//! Returns an input with eight live voters, two of which are successors.
MembershipPolicyInput eightVoters()
{
    MembershipPolicyInput input = sixVoters();
    for (const unsigned n : { 7U, 8U }) {
        input.status.voters.push_back(n);
        input.registered.push_back({ n, addressOf(n) });
        input.hosts.push_back(memberAt(n, n, Duration(0)));
    }
    return input;
}

class MembershipPolicyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MembershipPolicyTest);
    CPPUNIT_TEST(noStepIfMembershipMatches);
    CPPUNIT_TEST(newHostIsRegisteredThenAdded);
    CPPUNIT_TEST(newMemberIsAddedBeforeTheOldOneIsRemoved);
    CPPUNIT_TEST(silentMembersAreRemovedOnlyWhileEnoughVotersRemain);
    CPPUNIT_TEST(newLeaderWaitsBeforeRemovingSilentMember);
    CPPUNIT_TEST(replacedMembersAreRemovedBeforeTheNextLossCounts);
    CPPUNIT_TEST(memberInContactIsNotRemoved);
    CPPUNIT_TEST(learnerThatCatchesUpIsKept);
    CPPUNIT_TEST(silentLearnerIsRemoved);
    CPPUNIT_TEST(learnerDelaysNoRemovalOfLostVoters);
    CPPUNIT_TEST(entryHostsAreNotAdded);
    CPPUNIT_TEST(leavingVotersAreRemovedAtOnce);
    CPPUNIT_TEST(silentVotersThatEndangerTheMajorityAreRemovedSooner);
    CPPUNIT_TEST(leavingVotersStayIfTooFewWouldRemain);
    CPPUNIT_TEST(leavingHostIsNotAddedAndReturnsAsAMember);
    CPPUNIT_TEST(leavingLearnerIsRemoved);
    CPPUNIT_TEST(leaderRemovesItselfAfterAllOthers);
    CPPUNIT_TEST(leavingHostWaitsOnlyForARemovalToCome);
    CPPUNIT_TEST_SUITE_END();

public:
    void noStepIfMembershipMatches() { CPPUNIT_ASSERT(!ggv::nextMembershipStep(sixVoters())); }

    void newHostIsRegisteredThenAdded()
    {
        auto input = sixVoters();
        input.hosts.push_back(memberAt(7, 70, Duration(0)));
        auto step = ggv::nextMembershipStep(input);
        CPPUNIT_ASSERT(step && step->kind == MembershipStepKind::Register && step->member == 70);
        input.registered.push_back({ 70, addressOf(7) });
        step = ggv::nextMembershipStep(input);
        CPPUNIT_ASSERT(step && step->kind == MembershipStepKind::Add && step->member == 70);
        input.hosts.back().age = seconds(5);
        CPPUNIT_ASSERT(!ggv::nextMembershipStep(input));
    }

    void newMemberIsAddedBeforeTheOldOneIsRemoved()
    {
        auto input = sixVoters();
        input.hosts[2] = memberAt(3, 30, Duration(0));
        input.registered.push_back({ 30, addressOf(3) });
        auto step = ggv::nextMembershipStep(input);
        CPPUNIT_ASSERT(step && step->kind == MembershipStepKind::Add && step->member == 30);
        input.status.voters.push_back(30);
        step = ggv::nextMembershipStep(input);
        CPPUNIT_ASSERT(step && step->kind == MembershipStepKind::Remove && step->member == 3);
    }

    void silentMembersAreRemovedOnlyWhileEnoughVotersRemain()
    {
        auto input = sixVoters();
        input.hosts[0].age = seconds(20);
        input.hosts[1].age = seconds(20);
        const auto step = ggv::nextMembershipStep(input);
        CPPUNIT_ASSERT(step && step->kind == MembershipStepKind::Remove && step->member == 1);
        input.status.voters.erase(input.status.voters.begin());
        // Five voters tolerate two failures; four would not.
        CPPUNIT_ASSERT(!ggv::nextMembershipStep(input));
    }

    void newLeaderWaitsBeforeRemovingSilentMember()
    {
        auto input = sixVoters();
        input.hosts.erase(input.hosts.begin());
        input.timeAsLeader = seconds(2);
        CPPUNIT_ASSERT(!ggv::nextMembershipStep(input));
        input.timeAsLeader = seconds(20);
        CPPUNIT_ASSERT(ggv::nextMembershipStep(input).has_value());
    }

    // Guards against voters that are gone for good and still count when the operators allow the
    // next losses: 4 s after the successors started, with a new leader meanwhile.
    void replacedMembersAreRemovedBeforeTheNextLossCounts()
    {
        auto input = sixVoters();
        input.status.voters = { 1, 2, 3, 4, 5, 6, 70, 80 };
        input.hosts.push_back(memberAt(7, 70, Duration(0)));
        input.hosts.push_back(memberAt(8, 80, Duration(0)));
        input.registered.push_back({ 70, addressOf(7) });
        input.registered.push_back({ 80, addressOf(8) });
        input.hosts[0].age = input.hosts[1].age = std::chrono::milliseconds(3100);
        input.timeAsLeader = std::chrono::milliseconds(1200);
        for (const MemberId gone : { 1, 2 }) {
            const auto step = ggv::nextMembershipStep(input);
            CPPUNIT_ASSERT(step && step->kind == MembershipStepKind::Remove);
            CPPUNIT_ASSERT_EQUAL(gone, step->member);
            std::erase(input.status.voters, gone);
        }
        CPPUNIT_ASSERT(!ggv::nextMembershipStep(input));
        input.timeAsLeader = std::chrono::milliseconds(900);
        input.status.voters.push_back(1);
        CPPUNIT_ASSERT(!ggv::nextMembershipStep(input));
    }

    void memberInContactIsNotRemoved()
    {
        auto input = sixVoters();
        input.hosts[0].age = seconds(20);
        input.status.inContact = { 1 };
        CPPUNIT_ASSERT(!ggv::nextMembershipStep(input));
    }

    void learnerThatCatchesUpIsKept()
    {
        auto input = withLearner();
        CPPUNIT_ASSERT(!ggv::nextMembershipStep(input));
        input.hosts.back().age = seconds(20);
        input.status.inContact = { Learner };
        CPPUNIT_ASSERT(!ggv::nextMembershipStep(input));
    }

    // Guards against a learner that is lost for good and stays a member for ever.
    void silentLearnerIsRemoved()
    {
        auto input = withLearner();
        input.hosts.back().age = ggv::MemberSilenceTimeout;
        CPPUNIT_ASSERT(!ggv::nextMembershipStep(input));
        input.hosts.back().age += std::chrono::milliseconds(1);
        const auto step = ggv::nextMembershipStep(input);
        CPPUNIT_ASSERT(step && step->kind == MembershipStepKind::Remove);
        CPPUNIT_ASSERT_EQUAL(Learner, step->member);
        input.timeAsLeader = std::chrono::milliseconds(900);
        CPPUNIT_ASSERT(!ggv::nextMembershipStep(input));
    }

    // Guards against lost voters that stay voters while a learner, alive or lost, does not catch
    // up: the quorum grew with each replacement until a loss left no majority.
    void learnerDelaysNoRemovalOfLostVoters()
    {
        for (const Duration silence : { Duration(0), Duration(seconds(20)) }) {
            auto input = withLearner();
            input.hosts.back().age = silence;
            input.hosts[0].age = seconds(20);
            const auto step = ggv::nextMembershipStep(input);
            CPPUNIT_ASSERT(step && step->kind == MembershipStepKind::Remove);
            CPPUNIT_ASSERT_EQUAL(MemberId { 1 }, step->member);
        }
    }

    void entryHostsAreNotAdded()
    {
        auto input = sixVoters();
        input.hosts.push_back(memberAt(9, 0, Duration(0)));
        input.hosts.back().host.role = HostRole::Entry;
        CPPUNIT_ASSERT(!ggv::nextMembershipStep(input));
    }

    // Guards against a host that was stopped and replaced as planned and still counts for the
    // majority: two more lost disks then leave four of eight voters.
    void leavingVotersAreRemovedAtOnce()
    {
        auto input = eightVoters();
        input.timeAsLeader = Duration(0);
        input.hosts[4].host.ready = input.hosts[5].host.ready = false;
        for (const MemberId leaving : { 5, 6 }) {
            const auto step = ggv::nextMembershipStep(input);
            CPPUNIT_ASSERT(step && step->kind == MembershipStepKind::Remove);
            CPPUNIT_ASSERT_EQUAL(leaving, step->member);
            CPPUNIT_ASSERT(ggv::MembershipStepReason::Leaving == step->reason);
            std::erase(input.status.voters, leaving);
        }
        CPPUNIT_ASSERT(!ggv::nextMembershipStep(input));
    }

    // Guards against hosts that were killed after their successors came and still count when two
    // others lose their disks.
    void silentVotersThatEndangerTheMajorityAreRemovedSooner()
    {
        auto input = eightVoters();
        input.hosts[4].age = ggv::EndangeringSilenceTimeout;
        input.hosts[5].age = ggv::EndangeringSilenceTimeout + std::chrono::milliseconds(1);
        CPPUNIT_ASSERT(!ggv::nextMembershipStep(input)); // Five of eight would be left.
        input.hosts[4].age = input.hosts[5].age;
        const auto step = ggv::nextMembershipStep(input);
        CPPUNIT_ASSERT(step && step->kind == MembershipStepKind::Remove);
        CPPUNIT_ASSERT_EQUAL(MemberId { 5 }, step->member);
        input.status.voters.erase(input.status.voters.begin() + 4);
        CPPUNIT_ASSERT(!ggv::nextMembershipStep(input)); // Four of seven would be left.

        // Two lost hosts of six are the tolerated failures themselves.
        input = sixVoters();
        input.hosts[4].age = input.hosts[5].age = ggv::MemberSilenceTimeout;
        CPPUNIT_ASSERT(!ggv::nextMembershipStep(input));
        input = eightVoters();
        input.hosts[4].age = input.hosts[5].age = seconds(2);
        input.timeAsLeader = std::chrono::milliseconds(900);
        CPPUNIT_ASSERT(!ggv::nextMembershipStep(input));
    }

    // Guards against restarts of all hosts that shrink the quorum below what it tolerates.
    void leavingVotersStayIfTooFewWouldRemain()
    {
        auto input = sixVoters();
        for (auto &it : input.hosts)
            it.host.ready = false;
        const auto step = ggv::nextMembershipStep(input);
        CPPUNIT_ASSERT(step && step->kind == MembershipStepKind::Remove);
        std::erase(input.status.voters, step->member);
        CPPUNIT_ASSERT(!ggv::nextMembershipStep(input));
    }

    void leavingHostIsNotAddedAndReturnsAsAMember()
    {
        auto input = sixVoters();
        std::erase(input.status.voters, MemberId { 6 });
        input.hosts[5].host.ready = false;
        CPPUNIT_ASSERT(!ggv::nextMembershipStep(input));
        input.hosts[5].host.ready = true;
        const auto step = ggv::nextMembershipStep(input);
        CPPUNIT_ASSERT(step && step->kind == MembershipStepKind::Add);
        CPPUNIT_ASSERT_EQUAL(MemberId { 6 }, step->member);
    }

    void leavingLearnerIsRemoved()
    {
        auto input = withLearner();
        std::erase(input.status.voters, MemberId { 6 });
        input.hosts.erase(input.hosts.begin() + 5);
        input.hosts.back().host.ready = false;
        const auto step = ggv::nextMembershipStep(input);
        CPPUNIT_ASSERT(step && step->kind == MembershipStepKind::Remove);
        CPPUNIT_ASSERT_EQUAL(Learner, step->member);
    }

    // Guards against a leader that steps down while others still wait for their removal.
    void leaderRemovesItselfAfterAllOthers()
    {
        auto input = eightVoters();
        input.status.leader = 1;
        input.hosts[0].host.ready = input.hosts[7].host.ready = false;
        input.hosts.push_back(memberAt(9, 90, Duration(0)));
        for (const auto kind : { MembershipStepKind::Remove, MembershipStepKind::Register }) {
            const auto step = ggv::nextMembershipStep(input);
            CPPUNIT_ASSERT(step && step->kind == kind && step->member != 1);
            std::erase(input.status.voters, step->member);
        }
        input.hosts.pop_back();
        const auto step = ggv::nextMembershipStep(input);
        CPPUNIT_ASSERT(step && step->kind == MembershipStepKind::Remove);
        CPPUNIT_ASSERT_EQUAL(MemberId { 1 }, step->member);
    }

    void leavingHostWaitsOnlyForARemovalToCome()
    {
        const auto awaitsRemoval
            = [](const ggv::RaftStatus &status) { return ggv::awaitsRemoval(status, 1, 2); };
        ggv::RaftStatus status;
        CPPUNIT_ASSERT(!awaitsRemoval(status)); // Never added, or its disk is full.
        status.isMember = true;
        status.voters = { 1, 2, 3, 4, 5, 6 };
        CPPUNIT_ASSERT(awaitsRemoval(status));
        status.voters = { 1, 2, 3, 4, 5 };
        CPPUNIT_ASSERT(!awaitsRemoval(status)); // Not removed: too few would remain.
        status.voters = { 2, 3, 4, 5, 6 };
        CPPUNIT_ASSERT(awaitsRemoval(status)); // The removal is not committed yet.
        status.isMember = false;
        CPPUNIT_ASSERT(!awaitsRemoval(status));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipPolicyTest);

} // namespace
