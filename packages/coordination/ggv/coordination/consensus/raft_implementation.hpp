#pragma once

#include <ggv/coordination/consensus/membership_history.hpp>
#include <ggv/coordination/consensus/raft.hpp>
#include <ggv/coordination/consensus/raft_log.hpp>
#include <ggv/coordination/consensus/read_rounds.hpp>
#include <ggv/coordination/consensus/replication_progress.hpp>

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace ggv {

/**
 * @brief State of a Raft member; each raft_*.cpp source implements one concern.
 *
 * receive(), tick() and the request functions change only memory and, for votes and terms, the hard
 * state. flush() syncs the log first and then commits, applies and sends.
 */
class Raft::Implementation
{
public:
    Implementation(MemberId self, const RaftOptions &options, RecoveredState recovered,
                   Membership membership, LogStore &store, StateMachine &machine, Instant now);

    void receive(const RaftMessage &message, Instant now);
    void observeTransfer(MemberId member, Instant now);
    void tick(Instant now);
    Ticket propose(Bytes command, Instant now);
    Ticket confirmRead(Instant now);
    Ticket changeMember(MemberId member, bool add, Instant now);
    RaftOutput takeOutput();
    bool hasLeaderLease(Instant now) const noexcept;
    Instant nextDeadline() const noexcept;
    RaftStatus status() const;

private:
    struct Proposal
    {
        LogIndex index;
        Ticket ticket;
    };

    //! A requested membership change.
    struct MembershipChange
    {
        Ticket ticket;
        MemberId member;
        bool add;
        bool entryAppended = false;
    };

    //! A removed member that still receives the log, until it knows that it was removed.
    struct RemovedMember
    {
        LogIndex index; // Of the entry that removes it.
        std::optional<std::uint64_t> round; // First round with that entry committed.
    };

    // --- raft.cpp
    [[nodiscard]] bool isLeader() const noexcept { return m_role == RaftRole::Leader; }
    [[nodiscard]] const Membership &members() const noexcept { return m_members.current(); }
    [[nodiscard]] bool selfIsVoter() const noexcept;
    [[nodiscard]] bool isMember() const noexcept;
    [[nodiscard]] bool canCampaign() const noexcept;
    void advanceClock(Instant now) noexcept;
    void send(MemberId to, RaftBody body);
    void complete(Ticket ticket, ResultCode code, Bytes answer = {});
    void setLeader(MemberId leader) noexcept;

    // --- raft_election.cpp
    void handle(MemberId from, const VoteRequest &request);
    void handle(MemberId from, const VoteAnswer &answer);
    void answerPreVote(MemberId from, const VoteRequest &request);
    void answerVote(MemberId from, const VoteRequest &request);
    void countPreVote(MemberId from, const VoteAnswer &answer);
    void countVote(MemberId from, const VoteAnswer &answer);
    [[nodiscard]] bool hasRecentLeaderContact() const noexcept;
    [[nodiscard]] bool wonElection() const;
    void resetElectionTimer();
    [[nodiscard]] int electionBackoff() const noexcept;
    void campaign(bool preVote);
    void sendVoteRequests();
    void yieldTo(MemberId candidate);
    void startPreVote();
    void startElection();
    void becomeLeader();
    void becomeFollower(Term term, MemberId votedFor = 0);
    void saveHardState(const HardState &hardState);
    void checkQuorum();
    void confirmReception();
    [[nodiscard]] bool hasRecentContact(MemberId member) const;
    [[nodiscard]] bool hasRecentContactWithMajority(const Membership &membership) const;

    // --- raft_replication.cpp
    void handle(MemberId from, const AppendRequest &request);
    void handle(MemberId from, const AppendAnswer &answer);
    void handle(MemberId from, const InstallSnapshot &request);
    [[nodiscard]] bool acceptLeader(MemberId from, Term term);
    [[nodiscard]] std::optional<LogIndex> findConflict(const AppendRequest &request) const;
    void appendReceivedEntries(const AppendRequest &request);
    void appendEntry(LogEntry entry);
    void appendAsLeader(detail::EntryKind kind, Bytes payload);
    void installSnapshot(const Snapshot &snapshot);
    void answerAppend(MemberId to, bool accepted, LogIndex lastIndex, std::uint64_t readRound);
    void replicate(bool heartbeat);
    void replicateTo(MemberId member, detail::ReplicationProgress &progress, bool heartbeat);
    void sendEntries(MemberId member, detail::ReplicationProgress &progress);
    [[nodiscard]] bool isSnapshotSmaller(LogIndex next) const;
    void sendHeartbeat(MemberId member, detail::ReplicationProgress &progress);
    void refreshSnapshot();
    void sendSnapshot(MemberId member, detail::ReplicationProgress &progress);
    void sendAppend(MemberId member, LogIndex previous, std::vector<LogEntry> entries);

    // --- raft_commit.cpp
    void flush();
    void commitUpTo(LogIndex index) noexcept;
    void advanceCommit();
    void applyCommitted();
    void apply(const LogEntry &entry);
    [[nodiscard]] LogIndex firstNeededIndex() const;
    void takeSnapshot();
    void startReadRound();
    void completeReads();
    void failPending();
    [[nodiscard]] std::uint64_t confirmedRound() const;
    [[nodiscard]] bool hasCommittedInCurrentTerm() const noexcept;
    void refreshLease();

    // --- raft_membership.cpp
    void onMembershipAppended(LogIndex index, ByteView payload);
    void updateProgress();
    void forgetInformedMembers();
    void advanceMembership();
    bool startChange(MembershipChange &change);
    void promoteLearner();
    [[nodiscard]] bool isCaughtUp(MemberId learner) const;
    void proposeMembership(const Membership &membership);
    void completeMemberChanges();
    void failSuperseded(const std::set<MemberId> &removed);
    void stepDownIfRemoved();
    void failMemberChanges();

    const MemberId m_self;
    const RaftOptions m_options;
    LogStore &m_store;
    StateMachine &m_machine;

    HardState m_hardState;
    detail::RaftLog m_log;
    detail::MembershipHistory m_members;
    LogIndex m_commitIndex;
    std::uint64_t m_appliedBytes; // Payload of the entries applied since the snapshot.
    LogIndex m_appliedIndex;

    RaftRole m_role = RaftRole::Follower;
    MemberId m_leader = 0;
    Instant m_now;
    Instant m_leaderContact; // Last leader contact; no votes are granted for electionTimeoutMin
                             // after it.
    Instant m_leaderTransfer
        = Instant::min(); // Last time at which a message of the leader was arriving.
    LogIndex m_leaderCommit = 0; // Commit index that the present leader has reported.
    bool m_leaderHasCommitted = false; // An entry of its own term, as far as known here.
    Instant m_caughtUpAt = Instant::min();
    Instant m_electionDeadline;
    int m_electionsWithoutLeader = 0; // Started or voted in since there was a leader.
    std::mt19937_64 m_random;

    // Candidate.
    bool m_isPreVote = false;
    bool m_hasYielded = false; // To another candidate since there was a leader.
    std::set<MemberId> m_votes;

    // Leader.
    std::map<MemberId, detail::ReplicationProgress> m_progress;
    std::map<MemberId, RemovedMember> m_removedMembers; // Each has an entry in m_progress.
    LogIndex m_firstIndexOfTerm = 0;
    Instant m_heartbeatDeadline;
    Instant m_voteRequestDeadline {}; // Of a candidate.
    bool m_heartbeatDue = false;
    detail::ReadRounds m_rounds;
    std::optional<Instant> m_leaseStart;
    std::deque<Proposal> m_proposals;
    std::deque<MembershipChange> m_changes;

    RaftOutput m_output;
};

} // namespace ggv
