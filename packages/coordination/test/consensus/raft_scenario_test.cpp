#include "cluster.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace ggv;
using namespace ggv::test;

constexpr MemberId Self = 1;
const std::vector<MemberId> ThreeVoters { 1, 2, 3 };
//! Time from the loss of a leader to the next one, whatever the disks.
constexpr Milliseconds MaxElectionTime { 10'000 };

class RaftScenarioTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RaftScenarioTest);
    CPPUNIT_TEST(oneVoterIsAQuorum);
    CPPUNIT_TEST(partitionedMemberRejoinsWithoutElection);
    CPPUNIT_TEST(partitionedMemberNeverRaisesTheTerm);
    CPPUNIT_TEST(partitionedLeaderAcceptsNoRequests);
    CPPUNIT_TEST(leaseExpiresBeforeElectionUnderClockDrift);
    CPPUNIT_TEST(followerRejectsRequests);
    CPPUNIT_TEST(catchesUpAfterHundredsOfChanges);
    CPPUNIT_TEST(largeCommandsDoNotAccumulateInMemory);
    CPPUNIT_TEST(catchesUpWhileLargeCommandsContinue);
    CPPUNIT_TEST(replacedMemberAllowsSecondDiskLoss);
    CPPUNIT_TEST(removedLeaderStepsDown);
    CPPUNIT_TEST(removedMemberLearnsOfItsRemoval);
    CPPUNIT_TEST(lastVoterCannotBeRemoved);
    CPPUNIT_TEST(rejectsRemovalsThatLeaveNoMajority);
    CPPUNIT_TEST(unreachableLearnerDoesNotBlockOtherChanges);
    CPPUNIT_TEST(membershipChangesAreIdempotent);
    CPPUNIT_TEST(differentBootstrapVotersFormNoSecondQuorum);
    CPPUNIT_TEST(slowDisksElectALeader);
    CPPUNIT_TEST(leaderStaysWhileLargeCommandsFillItsLinks);
    CPPUNIT_TEST_SUITE_END();

public:
    void oneVoterIsAQuorum()
    {
        Cluster cluster(1, 1);
        Member &leader = cluster.waitForLeader();
        const Ticket read = cluster.read(leader);
        cluster.proposeUntilAccepted();
        CPPUNIT_ASSERT(ResultCode::Ok == cluster.outcome(read));
        cluster.crash(cluster.member(1));
        cluster.checkOutcome();
    }

    void partitionedMemberRejoinsWithoutElection()
    {
        RaftOptions options;
        options.snapshotAfterEntries = 50;
        Cluster cluster(3, 2, options);
        const MemberId leader = cluster.waitForLeader().id;
        const Term term = cluster.member(leader).raft->status().term;
        const MemberId isolated = leader % 3 + 1;
        cluster.setPartition({ isolated });
        proposeManyUntilAccepted(cluster, 300);
        cluster.run(Milliseconds(60000));
        cluster.setPartition({});
        CPPUNIT_ASSERT(cluster.runUntil([&] { return cluster.isSettled(); }));
        cluster.run(Milliseconds(5000));
        CPPUNIT_ASSERT_EQUAL(term, cluster.member(leader).raft->status().term);
        CPPUNIT_ASSERT(RaftRole::Leader == cluster.member(leader).raft->status().role);
        CPPUNIT_ASSERT(cluster.member(isolated).raft->status().snapshotIndex > 0);
    }

    void partitionedMemberNeverRaisesTheTerm()
    {
        Cluster cluster(3, 3);
        const MemberId isolated = cluster.waitForLeader().id % 3 + 1;
        const Term term = cluster.member(isolated).raft->status().term;
        cluster.setPartition({ isolated });
        cluster.run(Milliseconds(60000));
        CPPUNIT_ASSERT_EQUAL(term, cluster.member(isolated).raft->status().term);
    }

    void partitionedLeaderAcceptsNoRequests()
    {
        Cluster cluster(3, 4);
        Member &old = cluster.waitForLeader();
        cluster.setPartition({ old.id });
        cluster.propose(old);
        const Ticket read = cluster.read(old);
        cluster.run(Milliseconds(1200));
        CPPUNIT_ASSERT(RaftRole::Leader != old.raft->status().role);
        CPPUNIT_ASSERT(ResultCode::NotLeader == cluster.outcome(read));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, cluster.pending());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, cluster.accepted());
        cluster.proposeUntilAccepted();
        CPPUNIT_ASSERT(cluster.leader()->id != old.id);
        cluster.checkOutcome();
    }

    // Guards against two lease holders. Worst case: nearly equal election timeouts, a slow leader
    // clock and fast follower clocks.
    void leaseExpiresBeforeElectionUnderClockDrift()
    {
        RaftOptions options;
        options.electionTimeoutMax = options.electionTimeoutMin + Milliseconds(20);
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            Cluster cluster(3, seed, options);
            cluster.faults.maxDelay = Milliseconds(1);
            const MemberId old = cluster.waitForLeader().id;
            for (const MemberId id : ThreeVoters)
                cluster.member(id).setClockSpeed(id == old ? 95 : 105, cluster.now());
            cluster.run(Milliseconds(500));
            cluster.setPartition({ old });
            cluster.run(Milliseconds(3000));
            cluster.checkOutcome();
        }
    }

    // Guards against elections without end: a term and a vote are synced before they are sent,
    // which can take longer than the election timeout.
    void slowDisksElectALeader()
    {
        const RaftOptions options = controlHostOptions();
        for (const Milliseconds syncTime :
             { Milliseconds(20), Milliseconds(60), Milliseconds(100), Milliseconds(200) }) {
            for (std::uint64_t seed = 1; seed <= 10; ++seed) {
                Cluster cluster(6, seed, options);
                cluster.faults.minDelay = Milliseconds(35);
                cluster.faults.maxDelay = Milliseconds(40);
                cluster.syncTime = syncTime;
                const std::string run = "syncs of " + std::to_string(syncTime.count())
                    + " ms, seed " + std::to_string(seed);
                const auto isElected = [&] { return cluster.leader() != nullptr; };
                CPPUNIT_ASSERT_MESSAGE(run, cluster.runUntil(isElected, MaxElectionTime));
                cluster.proposeUntilAccepted();
                cluster.crash(*cluster.leader());
                CPPUNIT_ASSERT_MESSAGE(run, cluster.runUntil(isElected, MaxElectionTime));
                cluster.proposeUntilAccepted();
            }
        }
    }

    // Guards against elections without end on links that a large configuration takes longer than
    // the election timeout to cross, while the leader has already handed it to its operating
    // system.
    void leaderStaysWhileLargeCommandsFillItsLinks()
    {
        constexpr int Commands = 40;
        constexpr std::size_t CommandBytes = 290'000;
        Cluster cluster(6, 7, controlHostOptions());
        cluster.faults.minDelay = Milliseconds(35);
        cluster.faults.maxDelay = Milliseconds(35);
        const MemberId leader = cluster.waitForLeader().id;
        const Term term = cluster.member(leader).raft->status().term;
        cluster.linkBytesPerSecond = 900'000;
        for (int n = 0; n < Commands; ++n) {
            cluster.propose(cluster.member(leader), Bytes(CommandBytes));
            cluster.run(Milliseconds(330));
            CPPUNIT_ASSERT_EQUAL(term, cluster.member(leader).raft->status().term);
            CPPUNIT_ASSERT(RaftRole::Leader == cluster.member(leader).raft->status().role);
        }
        CPPUNIT_ASSERT(cluster.runUntil([&] { return cluster.accepted() == Commands; }));
        cluster.checkOutcome();
    }

    void followerRejectsRequests()
    {
        Cluster cluster(3, 5);
        Member &follower = cluster.member(cluster.waitForLeader().id % 3 + 1);
        const Ticket read = cluster.read(follower);
        const Ticket change = cluster.changeMember(follower, 9, true);
        cluster.propose(follower);
        cluster.run(Milliseconds(20));
        CPPUNIT_ASSERT(ResultCode::NotLeader == cluster.outcome(read));
        CPPUNIT_ASSERT(ResultCode::NotLeader == cluster.outcome(change));
        cluster.checkOutcome();
    }

    // Covers both ways of catching up: by a snapshot if the log entries are pruned, else by
    // entries.
    void catchesUpAfterHundredsOfChanges()
    {
        for (const std::uint64_t snapshotAfter : { 50, 100000 }) {
            RaftOptions options;
            options.snapshotAfterEntries = snapshotAfter;
            Cluster cluster(3, 6, options);
            const MemberId down = cluster.waitForLeader().id % 3 + 1;
            cluster.crash(cluster.member(down));
            proposeManyUntilAccepted(cluster, 400);
            cluster.start(cluster.member(down));
            CPPUNIT_ASSERT(cluster.runUntil([&] { return cluster.isSettled(); }));
            CPPUNIT_ASSERT_EQUAL(std::size_t { 400 }, cluster.member(down).machine->size());
            cluster.checkOutcome();
        }
    }

    // Guards against members that outgrow the 256 MB of their host after many large changes.
    void largeCommandsDoNotAccumulateInMemory()
    {
        constexpr int Commands = 120;
        constexpr std::size_t CommandBytes = 865'000;
        constexpr std::uint64_t MaxLogBytes = std::uint64_t { 32 } * 1024 * 1024;
        Cluster cluster(3, 14);
        for (int n = 0; n < Commands; ++n) {
            proposeLargeUntilAccepted(cluster, CommandBytes);
            for (const MemberId id : ThreeVoters)
                CPPUNIT_ASSERT(cluster.member(id).raft->status().logBytes <= MaxLogBytes);
        }
        cluster.checkOutcome();
    }

    // Guards against a bound of the log that keeps a new member from catching up: while a snapshot
    // is on its way, the log outgrows the bound several times.
    void catchesUpWhileLargeCommandsContinue()
    {
        constexpr std::size_t CommandBytes = 64UL * 1024;
        RaftOptions options;
        options.snapshotAfterBytes = 4 * CommandBytes;
        options.retainedBytes = 4 * CommandBytes;
        options.maxRetainedBytes = 100 * CommandBytes;
        Cluster cluster(3, 15, options);
        Member &leader = cluster.waitForLeader();
        for (int n = 0; n < 50; ++n)
            proposeLargeUntilAccepted(cluster, CommandBytes);
        cluster.faults.minDelay = cluster.faults.maxDelay = Milliseconds(100);
        cluster.addHost(4);
        const Ticket addition = cluster.changeMember(leader, 4, true);
        for (int n = 0; n < 250 && !cluster.outcome(addition); ++n) {
            cluster.propose(leader, Bytes(CommandBytes));
            cluster.run(Milliseconds(20));
            CPPUNIT_ASSERT(leader.raft->status().logBytes
                           <= options.maxRetainedBytes + 20 * CommandBytes);
        }
        CPPUNIT_ASSERT(ResultCode::Ok == cluster.outcome(addition));
        cluster.checkOutcome();
    }

    void replacedMemberAllowsSecondDiskLoss()
    {
        Cluster cluster(3, 7);
        Member &leader = cluster.waitForLeader();
        proposeManyUntilAccepted(cluster, 20);
        const MemberId lost = leader.id % 3 + 1;
        const MemberId next = lost % 3 + 1;
        cluster.destroy(lost);
        cluster.addHost(4);
        const Ticket removal = cluster.changeMember(leader, lost, false);
        const Ticket addition = cluster.changeMember(leader, 4, true);
        CPPUNIT_ASSERT(cluster.runUntil([&] { return cluster.outcome(addition).has_value(); }));
        CPPUNIT_ASSERT(ResultCode::Ok == cluster.outcome(removal));
        CPPUNIT_ASSERT(ResultCode::Ok == cluster.outcome(addition));
        cluster.destroy(next);
        proposeManyUntilAccepted(cluster, 20);
        cluster.crash(cluster.member(leader.id));
        cluster.checkOutcome();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 41 }, cluster.accepted());
    }

    void removedLeaderStepsDown()
    {
        Cluster cluster(3, 8);
        Member &leader = cluster.waitForLeader();
        const Ticket removal = cluster.changeMember(leader, leader.id, false);
        CPPUNIT_ASSERT(cluster.runUntil([&] { return cluster.outcome(removal).has_value(); }));
        CPPUNIT_ASSERT(ResultCode::Ok == cluster.outcome(removal));
        CPPUNIT_ASSERT(RaftRole::Learner == leader.raft->status().role);
        cluster.proposeUntilAccepted();
        CPPUNIT_ASSERT(cluster.leader()->id != leader.id);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, cluster.leader()->raft->status().voters.size());
    }

    // Guards against a host that cannot tell when it may stop without counting as a lost voter.
    void removedMemberLearnsOfItsRemoval()
    {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            Cluster cluster(4, seed);
            cluster.faults.lossPercent = 5;
            Member &leader = cluster.waitForLeader();
            const MemberId removed = leader.id % 4 + 1;
            CPPUNIT_ASSERT(cluster.member(removed).raft->status().isMember);
            static_cast<void>(cluster.changeMember(leader, removed, false));
            const auto isInformed
                = [&] { return !cluster.member(removed).raft->status().isMember; };
            CPPUNIT_ASSERT(cluster.runUntil(isInformed, Milliseconds(3000)));
            // The leader then no longer replicates to it.
            cluster.run(Milliseconds(1000));
            const LogIndex last = cluster.member(removed).raft->status().lastIndex;
            cluster.proposeUntilAccepted();
            cluster.run(Milliseconds(1000));
            CPPUNIT_ASSERT_EQUAL(last, cluster.member(removed).raft->status().lastIndex);
            cluster.checkOutcome();
        }
    }

    void lastVoterCannotBeRemoved()
    {
        Cluster cluster(1, 9);
        Member &leader = cluster.waitForLeader();
        const Ticket removal = cluster.changeMember(leader, leader.id, false);
        cluster.run(Milliseconds(200));
        CPPUNIT_ASSERT(ResultCode::NoQuorum == cluster.outcome(removal));
        cluster.checkOutcome();
    }

    void rejectsRemovalsThatLeaveNoMajority()
    {
        Cluster cluster(3, 13);
        Member &leader = cluster.waitForLeader();
        const MemberId down = leader.id % 3 + 1;
        cluster.crash(cluster.member(down));
        cluster.run(Milliseconds(1500));
        const Ticket removal = cluster.changeMember(leader, down % 3 + 1, false);
        cluster.run(Milliseconds(200));
        CPPUNIT_ASSERT(ResultCode::NoQuorum == cluster.outcome(removal));
        cluster.checkOutcome();
    }

    void unreachableLearnerDoesNotBlockOtherChanges()
    {
        Cluster cluster(3, 10);
        Member &leader = cluster.waitForLeader();
        const Ticket addition = cluster.changeMember(leader, 9, true);
        const Ticket other = cluster.changeMember(leader, leader.id % 3 + 1, false);
        cluster.run(Milliseconds(3000));
        CPPUNIT_ASSERT(!cluster.outcome(addition));
        CPPUNIT_ASSERT(ResultCode::Ok == cluster.outcome(other));
        const Ticket removal = cluster.changeMember(leader, 9, false);
        cluster.run(Milliseconds(1000));
        CPPUNIT_ASSERT(ResultCode::Ok == cluster.outcome(removal));
        CPPUNIT_ASSERT(ResultCode::ChangeOutcomeUnknown == cluster.outcome(addition));
    }

    void membershipChangesAreIdempotent()
    {
        Cluster cluster(3, 11);
        Member &leader = cluster.waitForLeader();
        const LogIndex before = leader.raft->status().lastIndex;
        const Ticket addition = cluster.changeMember(leader, 2, true);
        const Ticket removal = cluster.changeMember(leader, 9, false);
        cluster.run(Milliseconds(100));
        CPPUNIT_ASSERT(ResultCode::Ok == cluster.outcome(addition));
        CPPUNIT_ASSERT(ResultCode::Ok == cluster.outcome(removal));
        CPPUNIT_ASSERT_EQUAL(before, leader.raft->status().lastIndex);
    }

    // Guards against a second quorum: a member without the quorum's log and a host whose bootstrap
    // voters include both of them are partitioned together and must not elect a leader.
    void differentBootstrapVotersFormNoSecondQuorum()
    {
        Cluster cluster(3, 12);
        const MemberId late = cluster.waitForLeader().id % 3 + 1;
        cluster.crash(cluster.member(late));
        cluster.member(late).disk = FakeDisk();
        cluster.start(cluster.member(late));
        cluster.addHost(4, { late, 4, late % 3 + 1 });
        cluster.setPartition({ late, 4 });
        cluster.run(Milliseconds(20000));
        for (const MemberId id : { late, MemberId { 4 } })
            CPPUNIT_ASSERT(RaftRole::Leader != cluster.member(id).raft->status().role);
        cluster.proposeUntilAccepted();
    }

private:
    // Timeouts of the control hosts.
    static RaftOptions controlHostOptions()
    {
        RaftOptions options;
        options.heartbeatInterval = Milliseconds(80);
        options.electionTimeoutMin = Milliseconds(300);
        options.electionTimeoutMax = Milliseconds(600);
        return options;
    }

    static void proposeManyUntilAccepted(Cluster &cluster, int count)
    {
        for (int i = 0; i < count; ++i)
            cluster.proposeUntilAccepted();
    }

    static void proposeLargeUntilAccepted(Cluster &cluster, std::size_t bytes)
    {
        const std::size_t before = cluster.accepted();
        cluster.propose(cluster.waitForLeader(), Bytes(bytes));
        CPPUNIT_ASSERT(cluster.runUntil([&] { return cluster.accepted() > before; }));
    }
};

// A single member without a network; the test supplies the messages of the other members.
class SingleMember
{
public:
    explicit SingleMember(FakeDisk &disk, std::vector<MemberId> bootstrap = ThreeVoters,
                          MemberId self = Self)
        : m_self(self)
        , m_store(LogStore::open(disk, "q-", self).value())
        , m_machine(m_history)
        , raft(Raft::create(self, std::move(bootstrap), RaftOptions(), *m_store, m_machine, now)
                   .value())
    { }

    RaftOutput receive(MemberId from, RaftBody body)
    {
        raft->receive({ from, m_self, std::move(body) }, now);
        return raft->takeOutput();
    }

    // Starts an election and delivers pre-votes and votes of the given members.
    void campaign(const std::vector<MemberId> &voters)
    {
        now = raft->nextDeadline();
        raft->tick(now);
        static_cast<void>(raft->takeOutput());
        const Term term = raft->status().term + 1;
        for (const bool preVote : { true, false }) {
            for (const MemberId voter : voters)
                static_cast<void>(receive(voter, VoteAnswer { term, true, preVote }));
        }
    }

    void becomeLeader()
    {
        campaign({ 2, 3 });
        CPPUNIT_ASSERT(RaftRole::Leader == raft->status().role);
    }

private:
    MemberId m_self;
    std::unique_ptr<LogStore> m_store;
    SharedHistory m_history;
    ListStateMachine m_machine;

public:
    Instant now { std::chrono::seconds(10) };
    std::unique_ptr<Raft> raft;
};

class RaftRulesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RaftRulesTest);
    CPPUNIT_TEST(nonMemberNeverVotes);
    CPPUNIT_TEST(grantsNoVoteWhileALeaderMayHoldItsLease);
    CPPUNIT_TEST(persistsItsVoteAcrossRestarts);
    CPPUNIT_TEST(syncsTermAndVoteTogether);
    CPPUNIT_TEST(candidateRepeatsUnansweredRequests);
    CPPUNIT_TEST(yieldsOnceToAnotherCandidate);
    CPPUNIT_TEST(firstLeaderNeedsEveryVoter);
    CPPUNIT_TEST(commitsOnlyWithEntriesOfItsTerm);
    CPPUNIT_TEST(changesMembersOnlyAfterCommitOfItsTerm);
    CPPUNIT_TEST(promotesOnlyLearnersThatHaveCaughtUp);
    CPPUNIT_TEST(revertsTheMembershipOfATruncatedEntry);
    CPPUNIT_TEST(boundsTheBytesInFlightToAMember);
    CPPUNIT_TEST(sendsTheSnapshotIfItIsSmallerThanTheEntries);
    CPPUNIT_TEST(repeatsASnapshotOnlyIfItWasLost);
    CPPUNIT_TEST(newMemberGetsOneStateInsteadOfManyEntries);
    CPPUNIT_TEST(followerIsCaughtUpOnceItHasAppliedWhatIsCommitted);
    CPPUNIT_TEST(followerIsNotCaughtUpBeforeANewLeaderHasCommitted);
    CPPUNIT_TEST(followerIsCaughtUpAsOfItsLeadersLastMessage);
    CPPUNIT_TEST(followerWaitsWhileALongMessageArrives);
    CPPUNIT_TEST(leaderStaysWhileALongMessageIsSent);
    CPPUNIT_TEST(followerConfirmsThatALongMessageArrives);
    CPPUNIT_TEST(syncsOnceForManyProposals);
    CPPUNIT_TEST(membersTakeSnapshotsAtDifferentTimes);
    CPPUNIT_TEST(failedSyncPreventsOutput);
    CPPUNIT_TEST(rejectsLogWithLaterTermThanHardState);
    CPPUNIT_TEST(ignoresMisaddressedAndMalformedMessages);
    CPPUNIT_TEST_SUITE_END();

public:
    void nonMemberNeverVotes()
    {
        FakeDisk disk;
        SingleMember single(disk, {});
        single.now += std::chrono::seconds(60);
        for (const bool preVote : { true, false })
            CPPUNIT_ASSERT(single.receive(2, VoteRequest { 5, 9, 4, preVote }).messages.empty());
        CPPUNIT_ASSERT(single.raft->nextDeadline() > single.now + std::chrono::minutes(1));
    }

    // Guards against a send queue that exceeds its limit: its connection would be closed, and all
    // that was queued sent again.
    void boundsTheBytesInFlightToAMember()
    {
        constexpr std::uint64_t MaxBytes = std::uint64_t { 2 } * 1024 * 1024;
        FakeDisk disk;
        SingleMember single(disk);
        single.becomeLeader();
        static_cast<void>(single.receive(2, AppendAnswer { 1, true, 1, 0 }));
        for (int n = 0; n < 40; ++n)
            static_cast<void>(single.raft->propose(Bytes(600'000), single.now));
        std::uint64_t sent = payloadTo(2, single.raft->takeOutput());
        CPPUNIT_ASSERT(sent > 0 && sent <= MaxBytes);
        // Each acknowledgement lets the next entries go out.
        LogIndex acknowledged = 1;
        while (acknowledged < single.raft->status().lastIndex) {
            ++acknowledged;
            const auto output = single.receive(2, AppendAnswer { 1, true, acknowledged, 0 });
            sent += payloadTo(2, output);
            CPPUNIT_ASSERT(sent <= (acknowledged - 1) * 600'000 + MaxBytes);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 40 } * 600'000, sent);
    }

    // Guards against a member that lost its disk and gets every retained change instead of one
    // state.
    void sendsTheSnapshotIfItIsSmallerThanTheEntries()
    {
        FakeDisk disk;
        SingleMember single(disk);
        leadWithSnapshot(single);
        const auto output = single.receive(3, AppendAnswer { 1, true, 1, 0 });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, snapshotsTo(3, output));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, payloadTo(3, output));
    }

    // Guards against a slow link that carries the same snapshot again and again.
    void repeatsASnapshotOnlyIfItWasLost()
    {
        FakeDisk disk;
        SingleMember single(disk);
        leadWithSnapshot(single);
        static_cast<void>(single.receive(3, AppendAnswer { 1, true, 1, 0 }));
        const auto heartbeat = [&single] {
            single.now += std::chrono::seconds(3);
            static_cast<void>(single.receive(2, AppendAnswer { 1, true, 2, 0 }));
            single.raft->tick(single.now);
            return single.raft->takeOutput();
        };
        const auto silent = heartbeat();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, snapshotsTo(3, silent));
        const auto round = std::get<AppendRequest>(silent.messages.back().body).readRound;
        static_cast<void>(single.receive(3, AppendAnswer { 1, true, 0, round }));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, snapshotsTo(3, heartbeat()));
    }

    // Guards against a member that lost its disk and takes longer than the next loss to catch up:
    // on a distant host, each of the entries after an old snapshot costs a part of a round trip.
    void newMemberGetsOneStateInsteadOfManyEntries()
    {
        FakeDisk disk;
        SingleMember single(disk);
        leadWithSnapshot(single);
        CPPUNIT_ASSERT(single.raft->status().snapshotIndex < single.raft->status().commitIndex);
        constexpr MemberId NewMember = 9;
        static_cast<void>(single.raft->addMember(NewMember, single.now));
        static_cast<void>(single.raft->takeOutput());
        static_cast<void>(
            single.receive(2, AppendAnswer { 1, true, single.raft->status().lastIndex, 0 }));
        const auto output = single.receive(NewMember, AppendAnswer { 1, false, 0, 0 });
        const auto *snapshot = snapshotTo(NewMember, output);
        CPPUNIT_ASSERT(snapshot != nullptr);
        CPPUNIT_ASSERT_EQUAL(single.raft->status().commitIndex, snapshot->index);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, payloadTo(NewMember, output));
    }

    // Guards against a follower that presents an old state as current while it catches up.
    void followerIsCaughtUpOnceItHasAppliedWhatIsCommitted()
    {
        FakeDisk disk;
        SingleMember single(disk);
        const auto caughtUpAt = [&single] { return single.raft->status().caughtUpAt; };
        const Snapshot snapshot { 5, 1, encodeMembership({ ThreeVoters, {} }), encodeNumber(1) };
        static_cast<void>(single.receive(2, InstallSnapshot { 1, 1, snapshot }));
        CPPUNIT_ASSERT(caughtUpAt() == Instant::min());
        const LogEntry sixth { 6, 1, 0, encodeNumber(2) };
        const LogEntry seventh { 7, 1, 0, encodeNumber(3) };
        static_cast<void>(single.receive(2, AppendRequest { 1, 5, 1, 7, 2, { sixth } }));
        CPPUNIT_ASSERT(caughtUpAt() == Instant::min());
        static_cast<void>(single.receive(2, AppendRequest { 1, 6, 1, 7, 3, { seventh } }));
        CPPUNIT_ASSERT(caughtUpAt() == single.now);
        // The next leader may know of later entries.
        single.now += std::chrono::seconds(2);
        static_cast<void>(single.receive(3, InstallSnapshot { 2, 1, snapshot }));
        CPPUNIT_ASSERT(caughtUpAt() < single.now);
    }

    // Guards against an acknowledged configuration that entry hosts do not get after the loss of
    // the leader: the next one knows that it is committed only after an entry of its own.
    void followerIsNotCaughtUpBeforeANewLeaderHasCommitted()
    {
        FakeDisk disk;
        SingleMember single(disk);
        const auto caughtUpAt = [&single] { return single.raft->status().caughtUpAt; };
        const LogEntry first { 1, 1, 0, encodeNumber(1) };
        const LogEntry acknowledged { 2, 1, 0, encodeNumber(2) };
        static_cast<void>(single.receive(2, AppendRequest { 1, 0, 0, 1, 1, { first } }));
        CPPUNIT_ASSERT(caughtUpAt() == single.now);
        static_cast<void>(single.receive(2, AppendRequest { 1, 1, 1, 1, 2, { acknowledged } }));
        single.now += std::chrono::seconds(2);
        static_cast<void>(single.receive(3, AppendRequest { 2, 2, 1, 1, 1, {} }));
        CPPUNIT_ASSERT(caughtUpAt() < single.now);
        const LogEntry ofNewLeader { 3, 2, 0, encodeNumber(3) };
        static_cast<void>(single.receive(3, AppendRequest { 2, 2, 1, 3, 2, { ofNewLeader } }));
        CPPUNIT_ASSERT(caughtUpAt() == single.now);
    }

    // Guards against a follower that passes an old state on as current because others keep sending.
    void followerIsCaughtUpAsOfItsLeadersLastMessage()
    {
        FakeDisk disk;
        SingleMember single(disk);
        const auto caughtUpAt = [&single] { return single.raft->status().caughtUpAt; };
        const LogEntry first { 1, 1, 0, encodeNumber(1) };
        static_cast<void>(single.receive(2, AppendRequest { 1, 0, 0, 1, 1, { first } }));
        const Instant heardAt = single.now;
        single.now += std::chrono::milliseconds(200);
        static_cast<void>(single.receive(3, VoteRequest { 2, 9, 9, true }));
        CPPUNIT_ASSERT(caughtUpAt() == heardAt);
        static_cast<void>(single.receive(2, AppendRequest { 1, 1, 1, 1, 2, {} }));
        CPPUNIT_ASSERT(caughtUpAt() == single.now);
    }

    // Guards against elections without end: a configuration that takes longer than the election
    // timeout on a link would never be acknowledged.
    void followerWaitsWhileALongMessageArrives()
    {
        FakeDisk disk;
        SingleMember single(disk);
        single.now += std::chrono::seconds(3);
        static_cast<void>(single.receive(2, AppendRequest { 1, 0, 0, 0, 1, {} }));
        transferFor(single, std::chrono::seconds(3));
        CPPUNIT_ASSERT(RaftRole::Follower == single.raft->status().role);
        CPPUNIT_ASSERT(single.receive(3, VoteRequest { 2, 9, 9, false }).messages.empty());
        // A link that only trickles does not prevent an election for good.
        transferFor(single, std::chrono::seconds(5));
        CPPUNIT_ASSERT(RaftRole::Candidate == single.raft->status().role);
    }

    // Guards against a leader that gives up while its message is on the way to all others.
    void followerConfirmsThatALongMessageArrives()
    {
        FakeDisk disk;
        SingleMember single(disk);
        single.now += std::chrono::seconds(3);
        static_cast<void>(single.receive(2, AppendRequest { 1, 0, 0, 0, 4, {} }));
        single.raft->observeTransfer(2, single.now);
        const auto output = single.raft->takeOutput();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, output.messages.size());
        CPPUNIT_ASSERT_EQUAL(MemberId { 2 }, output.messages.front().to);
        const auto &answer = std::get<AppendAnswer>(output.messages.front().body);
        CPPUNIT_ASSERT(answer.accepted);
        // It confirms neither entries nor a lease.
        CPPUNIT_ASSERT_EQUAL(LogIndex { 0 }, answer.lastIndex);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 0 }, answer.readRound);
        // A message of another member confirms nothing.
        single.raft->observeTransfer(3, single.now);
        CPPUNIT_ASSERT(single.raft->takeOutput().messages.empty());
    }

    void leaderStaysWhileALongMessageIsSent()
    {
        FakeDisk disk;
        SingleMember single(disk);
        single.becomeLeader();
        static_cast<void>(single.receive(2, AppendAnswer { 1, true, 1, 0 }));
        transferFor(single, std::chrono::seconds(3));
        CPPUNIT_ASSERT(RaftRole::Leader == single.raft->status().role);
        // The lease relies on replies alone.
        CPPUNIT_ASSERT(!single.raft->hasLeaderLease(single.now));
        transferFor(single, std::chrono::seconds(3));
        CPPUNIT_ASSERT(RaftRole::Leader != single.raft->status().role);
    }

    // Holds also right after a start, because the member may have acknowledged a leader before it.
    void grantsNoVoteWhileALeaderMayHoldItsLease()
    {
        FakeDisk disk;
        SingleMember single(disk);
        const VoteRequest request { 5, 9, 4, false };
        single.now += RaftOptions().electionTimeoutMin - Duration(1);
        CPPUNIT_ASSERT(single.receive(2, request).messages.empty());
        static_cast<void>(single.receive(3, AppendRequest { 1, 0, 0, 0, 0, {} }));
        single.now += RaftOptions().electionTimeoutMin - Duration(1);
        CPPUNIT_ASSERT(single.receive(2, request).messages.empty());
        single.now += Duration(1);
        CPPUNIT_ASSERT(granted(single.receive(2, request)));
    }

    // After a restart of all members, the first requests are lost because the connections are not
    // established yet.
    void candidateRepeatsUnansweredRequests()
    {
        FakeDisk disk;
        storeEntryOfEarlierTerm(disk);
        SingleMember single(disk);
        for (const bool preVote : { true, false }) {
            single.now = single.raft->nextDeadline();
            single.raft->tick(single.now);
            CPPUNIT_ASSERT_EQUAL(2U, voteRequests(single.raft->takeOutput()));
            single.now = single.raft->nextDeadline();
            single.raft->tick(single.now);
            CPPUNIT_ASSERT_EQUAL(2U, voteRequests(single.raft->takeOutput()));
            const Term term = single.raft->status().term + (preVote ? 1 : 0);
            static_cast<void>(single.receive(2, VoteAnswer { term, true, preVote }));
        }
        CPPUNIT_ASSERT(RaftRole::Leader == single.raft->status().role);
    }

    // Timers of several members expire within a round trip, as after a restart of all of them.
    void yieldsOnceToAnotherCandidate()
    {
        FakeDisk disk;
        storeEntryOfEarlierTerm(disk, 2);
        SingleMember single(disk, ThreeVoters, 2);
        const VoteRequest request { 4, 1, 2, true };
        single.now = single.raft->nextDeadline();
        single.raft->tick(single.now);
        CPPUNIT_ASSERT_EQUAL(2U, voteRequests(single.raft->takeOutput()));
        CPPUNIT_ASSERT(granted(single.receive(3, request)));
        CPPUNIT_ASSERT(RaftRole::Candidate == single.raft->status().role);
        CPPUNIT_ASSERT(granted(single.receive(1, request)));
        CPPUNIT_ASSERT(RaftRole::Follower == single.raft->status().role);
        const Instant deadline = single.raft->nextDeadline();
        CPPUNIT_ASSERT(deadline >= single.now + RaftOptions().electionTimeoutMin);
        // The other candidate may be unable to win: its next request is not waited for.
        single.now += std::chrono::milliseconds(100);
        CPPUNIT_ASSERT(granted(single.receive(1, request)));
        CPPUNIT_ASSERT(deadline == single.raft->nextDeadline());
        single.now = deadline;
        single.raft->tick(single.now);
        CPPUNIT_ASSERT(RaftRole::Candidate == single.raft->status().role);
    }

    // Guards against votes that arrive after the election: each wait for a slow disk counts.
    void syncsTermAndVoteTogether()
    {
        FakeDisk disk;
        SingleMember single(disk);
        single.now += std::chrono::seconds(60);
        const std::uint64_t before = disk.waits();
        CPPUNIT_ASSERT(granted(single.receive(2, VoteRequest { 5, 0, 0, false })));
        const std::uint64_t ofOneFile = 2;
        CPPUNIT_ASSERT_EQUAL(before + ofOneFile, disk.waits());
    }

    void persistsItsVoteAcrossRestarts()
    {
        FakeDisk disk;
        for (const MemberId candidate : { 2, 3 }) {
            SingleMember single(disk);
            single.now += RaftOptions().electionTimeoutMin;
            const RaftOutput output = single.receive(candidate, VoteRequest { 5, 9, 4, false });
            CPPUNIT_ASSERT_EQUAL(candidate == 2, granted(output));
        }
    }

    void firstLeaderNeedsEveryVoter()
    {
        FakeDisk disk;
        SingleMember single(disk);
        single.campaign({ 2 });
        CPPUNIT_ASSERT(RaftRole::Leader != single.raft->status().role);
        FakeDisk used;
        storeEntryOfEarlierTerm(used);
        SingleMember later(used);
        later.campaign({ 2 });
        CPPUNIT_ASSERT(RaftRole::Leader == later.raft->status().role);
    }

    void commitsOnlyWithEntriesOfItsTerm()
    {
        FakeDisk disk;
        storeEntryOfEarlierTerm(disk);
        SingleMember single(disk);
        single.becomeLeader();
        static_cast<void>(single.receive(2, AppendAnswer { 4, true, 1, 0 }));
        CPPUNIT_ASSERT_EQUAL(LogIndex { 0 }, single.raft->status().commitIndex);
        static_cast<void>(single.receive(2, AppendAnswer { 4, true, 2, 0 }));
        CPPUNIT_ASSERT_EQUAL(LogIndex { 2 }, single.raft->status().commitIndex);
    }

    void changesMembersOnlyAfterCommitOfItsTerm()
    {
        FakeDisk disk;
        SingleMember single(disk);
        single.becomeLeader();
        static_cast<void>(single.raft->addMember(4, single.now));
        static_cast<void>(single.raft->takeOutput());
        CPPUNIT_ASSERT(single.raft->status().learners.empty());
        static_cast<void>(single.receive(2, AppendAnswer { 1, true, 1, 0 }));
        CPPUNIT_ASSERT(std::vector<MemberId> { 4 } == single.raft->status().learners);
    }

    void promotesOnlyLearnersThatHaveCaughtUp()
    {
        FakeDisk disk;
        SingleMember single(disk);
        single.becomeLeader();
        const auto acknowledge = [&single](MemberId member, LogIndex index) {
            static_cast<void>(single.receive(member, AppendAnswer { 1, true, index, 1 }));
        };
        acknowledge(2, 1);
        static_cast<void>(single.raft->addMember(4, single.now));
        static_cast<void>(single.raft->takeOutput());
        const LogIndex added = single.raft->status().lastIndex;
        for (std::uint64_t command = 1; command <= 100; ++command)
            static_cast<void>(single.raft->propose(encodeNumber(command), single.now));
        static_cast<void>(single.raft->takeOutput());
        acknowledge(2, added);
        acknowledge(4, added);
        CPPUNIT_ASSERT(std::vector<MemberId> { 4 } == single.raft->status().learners);
        acknowledge(4, added + 100);
        CPPUNIT_ASSERT(single.raft->status().learners.empty());
    }

    void revertsTheMembershipOfATruncatedEntry()
    {
        FakeDisk disk;
        SingleMember single(disk);
        const LogEntry removal { 1, 1, 1, encodeMembership({ { 1, 2 }, {} }) };
        const LogEntry command { 1, 2, 0, encodeNumber(1) };
        static_cast<void>(single.receive(2, AppendRequest { 1, 0, 0, 0, 0, { removal } }));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, single.raft->status().voters.size());
        static_cast<void>(single.receive(3, AppendRequest { 2, 0, 0, 0, 0, { command } }));
        CPPUNIT_ASSERT(ThreeVoters == single.raft->status().voters);
    }

    // Guards against elections with each snapshot: a majority that waits for its disks at the same
    // time answers no heartbeats.
    void membersTakeSnapshotsAtDifferentTimes()
    {
        constexpr std::size_t CommandBytes = 500'000;
        RaftOptions options;
        const auto firstSnapshot = [&options](std::uint64_t offset) {
            options.snapshotOffset = offset;
            Cluster cluster(1, 1, options);
            Member &leader = cluster.waitForLeader();
            int commands = 0;
            while (leader.raft->status().snapshotIndex == 0) {
                ++commands;
                cluster.propose(leader, Bytes(CommandBytes));
                cluster.run(Cluster::Step);
            }
            return commands;
        };
        const int whole = firstSnapshot(0);
        CPPUNIT_ASSERT_EQUAL(whole, firstSnapshot(CommandBytes - 1) + 1);
        CPPUNIT_ASSERT(firstSnapshot(options.snapshotAfterBytes / 2) <= whole / 2 + 1);
    }

    void syncsOnceForManyProposals()
    {
        FakeDisk disk;
        SingleMember single(disk);
        single.becomeLeader();
        const auto before = disk.syncs();
        for (std::uint64_t command = 1; command <= 100; ++command)
            static_cast<void>(single.raft->propose(encodeNumber(command), single.now));
        static_cast<void>(single.raft->takeOutput());
        CPPUNIT_ASSERT_EQUAL(before + 1, disk.syncs());
    }

    void failedSyncPreventsOutput()
    {
        FakeDisk disk;
        SingleMember single(disk);
        static_cast<void>(single.receive(2, AppendRequest { 1, 0, 0, 0, 0, {} }));
        const LogEntry entry { 1, 1, 0, encodeNumber(1) };
        single.raft->receive({ 2, Self, AppendRequest { 1, 0, 0, 0, 0, { entry } } }, single.now);
        disk.limit(0);
        CPPUNIT_ASSERT_THROW(single.raft->takeOutput(), Error);
        disk.limit(100);
        CPPUNIT_ASSERT_THROW(single.raft->takeOutput(), Error);
    }

    void rejectsLogWithLaterTermThanHardState()
    {
        FakeDisk disk;
        storeEntryOfEarlierTerm(disk);
        LogStore::open(disk, "q-", Self).value()->saveHardState({ 1, 0 });
        const auto store = LogStore::open(disk, "q-", Self).value();
        SharedHistory history;
        ListStateMachine machine(history);
        const auto result
            = Raft::create(Self, ThreeVoters, RaftOptions(), *store, machine, Instant());
        CPPUNIT_ASSERT(!result);
        CPPUNIT_ASSERT(ResultCode::StorageCorrupt == result.error().code());
    }

    void ignoresMisaddressedAndMalformedMessages()
    {
        FakeDisk disk;
        SingleMember single(disk);
        const LogEntry gap { 3, 1, 0, {} };
        const LogEntry future { 1, 9, 0, {} };
        const LogEntry members { 1, 1, 1, { 0xc1 } };
        for (const LogEntry &entry : { gap, future, members })
            CPPUNIT_ASSERT(
                single.receive(2, AppendRequest { 1, 0, 0, 0, 0, { entry } }).messages.empty());
        single.raft->receive({ 2, 3, AppendRequest { 1, 0, 0, 0, 0, {} } }, single.now);
        CPPUNIT_ASSERT(single.raft->takeOutput().messages.empty());
    }

private:
    static std::uint64_t payloadTo(MemberId member, const RaftOutput &output)
    {
        std::uint64_t bytes = 0;
        for (const RaftMessage &it : output.messages) {
            const auto *request = std::get_if<AppendRequest>(&it.body);
            if (it.to != member || request == nullptr)
                continue;
            for (const LogEntry &entry : request->entries)
                bytes += entry.payload.size();
        }
        return bytes;
    }

    static std::size_t snapshotsTo(MemberId member, const RaftOutput &output)
    {
        const auto &messages = output.messages;
        return static_cast<std::size_t>(
            std::count_if(messages.begin(), messages.end(), [member](const RaftMessage &it) {
                return it.to == member && std::holds_alternative<InstallSnapshot>(it.body);
            }));
    }

    // Lets time pass while a message from or to member 2 is on its way.
    static void transferFor(SingleMember &single, Milliseconds time)
    {
        for (const Instant end = single.now + time; single.now < end;) {
            single.now += Milliseconds(100);
            single.raft->observeTransfer(2, single.now);
            single.raft->tick(single.now);
        }
        static_cast<void>(single.raft->takeOutput());
    }

    // Makes the member leader of entries larger than its snapshot, some of them retained; member 3
    // has answered nothing.
    static void leadWithSnapshot(SingleMember &single)
    {
        constexpr LogIndex Commands = 20;
        single.becomeLeader();
        for (LogIndex index = 1; index <= Commands; ++index) {
            static_cast<void>(single.receive(2, AppendAnswer { 1, true, index, 0 }));
            Bytes command = encodeNumber(index);
            command.resize(500'000);
            static_cast<void>(single.raft->propose(std::move(command), single.now));
            static_cast<void>(single.raft->takeOutput());
        }
        static_cast<void>(single.receive(2, AppendAnswer { 1, true, Commands + 1, 0 }));
        CPPUNIT_ASSERT(single.raft->status().snapshotIndex > 0);
        CPPUNIT_ASSERT(single.raft->status().logEntries == Commands + 1);
    }

    // Returns the snapshot that is sent to a member, or null.
    static const Snapshot *snapshotTo(MemberId member, const RaftOutput &output)
    {
        for (const RaftMessage &it : output.messages) {
            const auto *request = std::get_if<InstallSnapshot>(&it.body);
            if (it.to == member && request != nullptr)
                return &request->snapshot;
        }
        return nullptr;
    }

    static bool granted(const RaftOutput &output)
    {
        return output.messages.size() == 1
            && std::get<VoteAnswer>(output.messages.front().body).granted;
    }

    static unsigned voteRequests(const RaftOutput &output)
    {
        return static_cast<unsigned>(
            std::count_if(output.messages.begin(), output.messages.end(), [](const auto &it) {
                return std::holds_alternative<VoteRequest>(it.body);
            }));
    }

    static void storeEntryOfEarlierTerm(FakeDisk &disk, MemberId self = Self)
    {
        const auto store = LogStore::open(disk, "q-", self).value();
        store->saveHardState({ 3, 0 });
        store->append({ { 1, 2, 0, encodeNumber(1) } });
        store->sync();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RaftScenarioTest);
CPPUNIT_TEST_SUITE_REGISTRATION(RaftRulesTest);

} // namespace
