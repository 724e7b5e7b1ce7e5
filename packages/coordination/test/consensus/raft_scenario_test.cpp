#include "cluster.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace ggv;
using namespace ggv::test;

constexpr MemberId Self = 1;
const std::vector<MemberId> Three { 1, 2, 3 };

class RaftScenarioTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RaftScenarioTest);
    CPPUNIT_TEST(oneVoterIsAQuorum);
    CPPUNIT_TEST(longCutOffMemberReturnsQuietly);
    CPPUNIT_TEST(longCutOffCandidateNeverRaisesTheTerm);
    CPPUNIT_TEST(cutOffLeaderAnswersNothingAsAccepted);
    CPPUNIT_TEST(leaseEndsBeforeFastClocksElect);
    CPPUNIT_TEST(followerRefusesRequests);
    CPPUNIT_TEST(catchesUpAfterHundredsOfChanges);
    CPPUNIT_TEST(lostDiskReturnsAsNewMemberBeforeSecondLoss);
    CPPUNIT_TEST(removedLeaderHandsOver);
    CPPUNIT_TEST(lastVoterStays);
    CPPUNIT_TEST(refusesRemovalsThatLeaveNoMajority);
    CPPUNIT_TEST(unreachableLearnerBlocksNothing);
    CPPUNIT_TEST(changesOfMembershipAreRepeatable);
    CPPUNIT_TEST(wrongFirstVotersFoundNoSecondQuorum);
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

    void longCutOffMemberReturnsQuietly()
    {
        RaftOptions options;
        options.snapshotAfterEntries = 50;
        Cluster cluster(3, 2, options);
        const MemberId leader = cluster.waitForLeader().id;
        const Term term = cluster.member(leader).raft->status().term;
        const MemberId lone = leader % 3 + 1;
        cluster.setPartition({ lone });
        acceptMany(cluster, 300);
        cluster.run(Milliseconds(60000));
        cluster.setPartition({});
        CPPUNIT_ASSERT(cluster.runUntil([&] { return cluster.isSettled(); }));
        cluster.run(Milliseconds(5000));
        CPPUNIT_ASSERT_EQUAL(term, cluster.member(leader).raft->status().term);
        CPPUNIT_ASSERT(RaftRole::Leader == cluster.member(leader).raft->status().role);
        CPPUNIT_ASSERT(cluster.member(lone).raft->status().snapshotIndex > 0);
    }

    void longCutOffCandidateNeverRaisesTheTerm()
    {
        Cluster cluster(3, 3);
        const MemberId lone = cluster.waitForLeader().id % 3 + 1;
        const Term term = cluster.member(lone).raft->status().term;
        cluster.setPartition({ lone });
        cluster.run(Milliseconds(60000));
        CPPUNIT_ASSERT_EQUAL(term, cluster.member(lone).raft->status().term);
    }

    void cutOffLeaderAnswersNothingAsAccepted()
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

    // The tightest case: equal timeouts, a slow leader, fast followers.
    void leaseEndsBeforeFastClocksElect()
    {
        RaftOptions options;
        options.electionTimeoutMax = options.electionTimeoutMin + Milliseconds(20);
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            Cluster cluster(3, seed, options);
            cluster.faults.maxDelay = Milliseconds(1);
            const MemberId old = cluster.waitForLeader().id;
            for (const MemberId id : Three)
                cluster.member(id).setClockSpeed(id == old ? 95 : 105, cluster.now());
            cluster.run(Milliseconds(500));
            cluster.setPartition({ old });
            cluster.run(Milliseconds(3000));
            cluster.checkOutcome();
        }
    }

    void followerRefusesRequests()
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

    // Both ways of catching up: by log entries, and by a snapshot once they are dropped.
    void catchesUpAfterHundredsOfChanges()
    {
        for (const std::uint64_t snapshotAfter : { 50, 100000 }) {
            RaftOptions options;
            options.snapshotAfterEntries = snapshotAfter;
            Cluster cluster(3, 6, options);
            const MemberId down = cluster.waitForLeader().id % 3 + 1;
            cluster.crash(cluster.member(down));
            acceptMany(cluster, 400);
            cluster.start(cluster.member(down));
            CPPUNIT_ASSERT(cluster.runUntil([&] { return cluster.isSettled(); }));
            CPPUNIT_ASSERT_EQUAL(std::size_t { 400 }, cluster.member(down).machine->size());
            cluster.checkOutcome();
        }
    }

    void lostDiskReturnsAsNewMemberBeforeSecondLoss()
    {
        Cluster cluster(3, 7);
        Member &leader = cluster.waitForLeader();
        acceptMany(cluster, 20);
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
        acceptMany(cluster, 20);
        cluster.crash(cluster.member(leader.id));
        cluster.checkOutcome();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 41 }, cluster.accepted());
    }

    void removedLeaderHandsOver()
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

    void lastVoterStays()
    {
        Cluster cluster(1, 9);
        Member &leader = cluster.waitForLeader();
        const Ticket removal = cluster.changeMember(leader, leader.id, false);
        cluster.run(Milliseconds(200));
        CPPUNIT_ASSERT(ResultCode::NoQuorum == cluster.outcome(removal));
        cluster.checkOutcome();
    }

    void refusesRemovalsThatLeaveNoMajority()
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

    void unreachableLearnerBlocksNothing()
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

    void changesOfMembershipAreRepeatable()
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

    // Member 3 never hears of the quorum of 1 and 2 and meets a host that lists 3 and itself.
    void wrongFirstVotersFoundNoSecondQuorum()
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
    static void acceptMany(Cluster &cluster, int count)
    {
        for (int i = 0; i < count; ++i)
            cluster.proposeUntilAccepted();
    }
};

// One member without a network; the messages of the others are made up.
class Solo
{
public:
    explicit Solo(FakeDisk &disk, std::vector<MemberId> bootstrap = Three)
        : m_store(LogStore::open(disk, "q-", Self).value())
        , m_machine(m_history)
        , raft(Raft::create(Self, std::move(bootstrap), RaftOptions(), *m_store, m_machine, now)
                   .value())
    { }

    RaftOutput receive(MemberId from, RaftBody body)
    {
        raft->receive({ from, Self, std::move(body) }, now);
        return raft->takeOutput();
    }

    // Campaigns and gets the votes of some members.
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

    void lead()
    {
        campaign({ 2, 3 });
        CPPUNIT_ASSERT(RaftRole::Leader == raft->status().role);
    }

private:
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
    CPPUNIT_TEST(strangerNeverVotes);
    CPPUNIT_TEST(votesForNobodyWhileALeaderMayHoldItsLease);
    CPPUNIT_TEST(remembersItsVoteAcrossRestarts);
    CPPUNIT_TEST(firstLeaderNeedsEveryVoter);
    CPPUNIT_TEST(commitsOnlyByEntriesOfItsTerm);
    CPPUNIT_TEST(changesMembersOnlyAfterCommitOfItsTerm);
    CPPUNIT_TEST(promotesOnlyLearnersThatHaveCaughtUp);
    CPPUNIT_TEST(forgetsTheMembershipOfACutEntry);
    CPPUNIT_TEST(syncsOnceForManyProposals);
    CPPUNIT_TEST(failedSyncLetsNothingOut);
    CPPUNIT_TEST(refusesLogThatIsNewerThanHardState);
    CPPUNIT_TEST(dropsMessagesForOthersAndMalformedOnes);
    CPPUNIT_TEST_SUITE_END();

public:
    void strangerNeverVotes()
    {
        FakeDisk disk;
        Solo solo(disk, {});
        solo.now += std::chrono::seconds(60);
        for (const bool preVote : { true, false })
            CPPUNIT_ASSERT(solo.receive(2, VoteRequest { 5, 9, 4, preVote }).messages.empty());
        CPPUNIT_ASSERT(solo.raft->nextDeadline() > solo.now + std::chrono::minutes(1));
    }

    // Also right after a start, because the run before may have confirmed a leader.
    void votesForNobodyWhileALeaderMayHoldItsLease()
    {
        FakeDisk disk;
        Solo solo(disk);
        const VoteRequest request { 5, 9, 4, false };
        solo.now += RaftOptions().electionTimeoutMin - Duration(1);
        CPPUNIT_ASSERT(solo.receive(2, request).messages.empty());
        static_cast<void>(solo.receive(3, AppendRequest { 1, 0, 0, 0, 0, {} }));
        solo.now += RaftOptions().electionTimeoutMin - Duration(1);
        CPPUNIT_ASSERT(solo.receive(2, request).messages.empty());
        solo.now += Duration(1);
        CPPUNIT_ASSERT(granted(solo.receive(2, request)));
    }

    void remembersItsVoteAcrossRestarts()
    {
        FakeDisk disk;
        for (const MemberId candidate : { 2, 3 }) {
            Solo solo(disk);
            solo.now += RaftOptions().electionTimeoutMin;
            const RaftOutput output = solo.receive(candidate, VoteRequest { 5, 9, 4, false });
            CPPUNIT_ASSERT_EQUAL(candidate == 2, granted(output));
        }
    }

    void firstLeaderNeedsEveryVoter()
    {
        FakeDisk disk;
        Solo solo(disk);
        solo.campaign({ 2 });
        CPPUNIT_ASSERT(RaftRole::Leader != solo.raft->status().role);
        FakeDisk used;
        storeEntryOfEarlierTerm(used);
        Solo later(used);
        later.campaign({ 2 });
        CPPUNIT_ASSERT(RaftRole::Leader == later.raft->status().role);
    }

    void commitsOnlyByEntriesOfItsTerm()
    {
        FakeDisk disk;
        storeEntryOfEarlierTerm(disk);
        Solo solo(disk);
        solo.lead();
        static_cast<void>(solo.receive(2, AppendAnswer { 4, true, 1, 0 }));
        CPPUNIT_ASSERT_EQUAL(LogIndex { 0 }, solo.raft->status().commitIndex);
        static_cast<void>(solo.receive(2, AppendAnswer { 4, true, 2, 0 }));
        CPPUNIT_ASSERT_EQUAL(LogIndex { 2 }, solo.raft->status().commitIndex);
    }

    void changesMembersOnlyAfterCommitOfItsTerm()
    {
        FakeDisk disk;
        Solo solo(disk);
        solo.lead();
        static_cast<void>(solo.raft->addMember(4, solo.now));
        static_cast<void>(solo.raft->takeOutput());
        CPPUNIT_ASSERT(solo.raft->status().learners.empty());
        static_cast<void>(solo.receive(2, AppendAnswer { 1, true, 1, 0 }));
        CPPUNIT_ASSERT(std::vector<MemberId> { 4 } == solo.raft->status().learners);
    }

    void promotesOnlyLearnersThatHaveCaughtUp()
    {
        FakeDisk disk;
        Solo solo(disk);
        solo.lead();
        const auto acknowledge = [&solo](MemberId member, LogIndex index) {
            static_cast<void>(solo.receive(member, AppendAnswer { 1, true, index, 1 }));
        };
        acknowledge(2, 1);
        static_cast<void>(solo.raft->addMember(4, solo.now));
        static_cast<void>(solo.raft->takeOutput());
        const LogIndex added = solo.raft->status().lastIndex;
        for (std::uint64_t command = 1; command <= 100; ++command)
            static_cast<void>(solo.raft->propose(encodeNumber(command), solo.now));
        static_cast<void>(solo.raft->takeOutput());
        acknowledge(2, added);
        acknowledge(4, added);
        CPPUNIT_ASSERT(std::vector<MemberId> { 4 } == solo.raft->status().learners);
        acknowledge(4, added + 100);
        CPPUNIT_ASSERT(solo.raft->status().learners.empty());
    }

    void forgetsTheMembershipOfACutEntry()
    {
        FakeDisk disk;
        Solo solo(disk);
        const LogEntry removal { 1, 1, 1, encodeMembership({ { 1, 2 }, {} }) };
        const LogEntry command { 1, 2, 0, encodeNumber(1) };
        static_cast<void>(solo.receive(2, AppendRequest { 1, 0, 0, 0, 0, { removal } }));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, solo.raft->status().voters.size());
        static_cast<void>(solo.receive(3, AppendRequest { 2, 0, 0, 0, 0, { command } }));
        CPPUNIT_ASSERT(Three == solo.raft->status().voters);
    }

    void syncsOnceForManyProposals()
    {
        FakeDisk disk;
        Solo solo(disk);
        solo.lead();
        const auto before = disk.syncs();
        for (std::uint64_t command = 1; command <= 100; ++command)
            static_cast<void>(solo.raft->propose(encodeNumber(command), solo.now));
        static_cast<void>(solo.raft->takeOutput());
        CPPUNIT_ASSERT_EQUAL(before + 1, disk.syncs());
    }

    void failedSyncLetsNothingOut()
    {
        FakeDisk disk;
        Solo solo(disk);
        static_cast<void>(solo.receive(2, AppendRequest { 1, 0, 0, 0, 0, {} }));
        const LogEntry entry { 1, 1, 0, encodeNumber(1) };
        solo.raft->receive({ 2, Self, AppendRequest { 1, 0, 0, 0, 0, { entry } } }, solo.now);
        disk.limit(0);
        CPPUNIT_ASSERT_THROW(solo.raft->takeOutput(), Error);
        disk.limit(100);
        CPPUNIT_ASSERT_THROW(solo.raft->takeOutput(), Error);
    }

    void refusesLogThatIsNewerThanHardState()
    {
        FakeDisk disk;
        storeEntryOfEarlierTerm(disk);
        LogStore::open(disk, "q-", Self).value()->saveHardState({ 1, 0 });
        const auto store = LogStore::open(disk, "q-", Self).value();
        SharedHistory history;
        ListStateMachine machine(history);
        const auto result = Raft::create(Self, Three, RaftOptions(), *store, machine, Instant());
        CPPUNIT_ASSERT(!result);
        CPPUNIT_ASSERT(ResultCode::StorageCorrupt == result.error().code());
    }

    void dropsMessagesForOthersAndMalformedOnes()
    {
        FakeDisk disk;
        Solo solo(disk);
        const LogEntry gap { 3, 1, 0, {} };
        const LogEntry future { 1, 9, 0, {} };
        const LogEntry members { 1, 1, 1, { 0xc1 } };
        for (const LogEntry &entry : { gap, future, members })
            CPPUNIT_ASSERT(
                solo.receive(2, AppendRequest { 1, 0, 0, 0, 0, { entry } }).messages.empty());
        solo.raft->receive({ 2, 3, AppendRequest { 1, 0, 0, 0, 0, {} } }, solo.now);
        CPPUNIT_ASSERT(solo.raft->takeOutput().messages.empty());
    }

private:
    static bool granted(const RaftOutput &output)
    {
        return output.messages.size() == 1
            && std::get<VoteAnswer>(output.messages.front().body).granted;
    }

    static void storeEntryOfEarlierTerm(FakeDisk &disk)
    {
        const auto store = LogStore::open(disk, "q-", Self).value();
        store->saveHardState({ 3, 0 });
        store->append({ { 1, 2, 0, encodeNumber(1) } });
        store->sync();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RaftScenarioTest);
CPPUNIT_TEST_SUITE_REGISTRATION(RaftRulesTest);

} // namespace
