#include <ggv/coordination/consensus/raft_implementation.hpp>
#include <ggv/state/core/error.hpp>

#include <algorithm>

namespace ggv {

void Raft::Implementation::handle(MemberId from, const VoteRequest &request)
{
    if (!isMember() && !canCampaign())
        return;
    if (request.preVote)
        answerPreVote(from, request);
    else
        answerVote(from, request);
}

void Raft::Implementation::answerPreVote(MemberId from, const VoteRequest &request)
{
    const bool granted = request.term > m_hardState.term && !hasRecentLeaderContact()
        && m_log.isUpToDate(request.lastIndex, request.lastTerm);
    const Term term = granted ? request.term : m_hardState.term;
    if (granted)
        yieldTo(from);
    send(from, VoteAnswer { term, granted, true });
}

// Lets another candidate go first, so that members whose timers expire within a round trip of each
// other do not split the votes. Of two candidates the one with the lower id goes first. Yields once
// only until there is a leader: the other one may be unable to receive the answers.
void Raft::Implementation::yieldTo(MemberId candidate)
{
    const bool competes = m_role == RaftRole::Candidate;
    if (m_hasYielded || (competes && (!m_isPreVote || candidate > m_self)))
        return;
    m_hasYielded = true;
    m_role = RaftRole::Follower;
    m_votes.clear();
    resetElectionTimer();
}

// Ignores vote requests while there is recent leader contact: the leader lease relies on this, and
// a member that was partitioned away must not raise the term.
void Raft::Implementation::answerVote(MemberId from, const VoteRequest &request)
{
    if (hasRecentLeaderContact())
        return;
    const bool isNewTerm = request.term > m_hardState.term;
    const bool canVoteForCandidate
        = isNewTerm || m_hardState.votedFor == 0 || m_hardState.votedFor == from;
    const bool granted = request.term >= m_hardState.term && canVoteForCandidate
        && m_log.isUpToDate(request.lastIndex, request.lastTerm);
    if (granted && isNewTerm)
        ++m_electionsWithoutLeader;
    // One sync for the term and the vote.
    if (isNewTerm)
        becomeFollower(request.term, granted ? from : 0);
    else if (granted)
        saveHardState({ m_hardState.term, from });
    if (granted)
        resetElectionTimer();
    send(from, VoteAnswer { m_hardState.term, granted, false });
}

bool Raft::Implementation::hasRecentLeaderContact() const noexcept
{
    const Instant contact = std::max(m_leaderContact, m_leaderTransfer);
    return isLeader() || m_now < contact + m_options.electionTimeoutMin;
}

void Raft::Implementation::observeTransfer(MemberId member, Instant now)
{
    advanceClock(now);
    if (isLeader()) {
        const auto it = m_progress.find(member);
        if (it != m_progress.end())
            it->second.recordTransfer(m_now);
    } else if (member == m_leader && m_now < m_leaderContact + m_options.maxTransferTime) {
        m_leaderTransfer = m_now;
        resetElectionTimer();
        confirmReception();
    }
}

// Tells the leader that this member is receiving a message of it. The leader itself may see nothing
// of that: its operating system, or the network, holds the rest of the message.
void Raft::Implementation::confirmReception()
{
    // Committed entries match the log of every leader. Round 0 extends no lease.
    answerAppend(m_leader, true, m_commitIndex, 0);
}

void Raft::Implementation::handle(MemberId from, const VoteAnswer &answer)
{
    if (!answer.granted && answer.term > m_hardState.term) {
        becomeFollower(answer.term);
        return;
    }
    if (m_role != RaftRole::Candidate || m_isPreVote != answer.preVote || !answer.granted)
        return;
    if (m_isPreVote)
        countPreVote(from, answer);
    else
        countVote(from, answer);
}

void Raft::Implementation::countPreVote(MemberId from, const VoteAnswer &answer)
{
    if (answer.term != m_hardState.term + 1)
        return;
    m_votes.insert(from);
    if (wonElection())
        startElection();
}

void Raft::Implementation::countVote(MemberId from, const VoteAnswer &answer)
{
    if (answer.term != m_hardState.term)
        return;
    m_votes.insert(from);
    if (wonElection())
        becomeLeader();
}

// The first leader of a quorum needs the votes of all voters. Otherwise a member with different
// bootstrap voters could form a second quorum beside one that has already committed entries.
bool Raft::Implementation::wonElection() const
{
    const auto hasVoted = [this](MemberId member) { return m_votes.contains(member) ? 1U : 0U; };
    const std::vector<MemberId> &voters = members().voters;
    if (m_log.lastIndex() == 0)
        return std::all_of(voters.begin(), voters.end(), hasVoted);
    return detail::majorityValue(members(), hasVoted) == 1;
}

void Raft::Implementation::resetElectionTimer()
{
    const auto range = m_options.electionTimeoutMax - m_options.electionTimeoutMin;
    const auto width = static_cast<std::uint64_t>(std::max(range.count(), Duration::rep { 0 })) + 1;
    const Duration jitter(static_cast<Duration::rep>(m_random() % width));
    m_electionDeadline = m_now + electionBackoff() * (m_options.electionTimeoutMin + jitter);
}

// Terms and votes are synced before they are sent. On slow disks an election can take longer than
// the timeout, so that each would be cut off by the next one.
int Raft::Implementation::electionBackoff() const noexcept
{
    constexpr int MaxDoublings = 3;
    const int failedElections = std::max(m_electionsWithoutLeader - 1, 0);
    return 1 << std::min(failedElections, MaxDoublings);
}

void Raft::Implementation::campaign(bool preVote)
{
    m_role = RaftRole::Candidate;
    m_isPreVote = preVote;
    m_votes = { m_self };
    sendVoteRequests();
}

// Requests the votes that are missing. Repeated, because after a restart of all members some of
// them cannot be reached yet when the first request is sent.
void Raft::Implementation::sendVoteRequests()
{
    m_voteRequestDeadline = m_now + m_options.heartbeatInterval;
    const Term term = m_isPreVote ? m_hardState.term + 1 : m_hardState.term;
    for (const MemberId member : members().voters) {
        if (!m_votes.contains(member))
            send(member, VoteRequest { term, m_log.lastIndex(), m_log.lastTerm(), m_isPreVote });
    }
}

// The term is raised only once a majority would vote for this member.
void Raft::Implementation::startPreVote()
{
    setLeader(0);
    resetElectionTimer();
    campaign(true);
    if (wonElection())
        startElection();
}

void Raft::Implementation::startElection()
{
    saveHardState({ m_hardState.term + 1, m_self });
    ++m_electionsWithoutLeader;
    resetElectionTimer();
    campaign(false);
    if (wonElection())
        becomeLeader();
}

void Raft::Implementation::becomeLeader()
{
    m_role = RaftRole::Leader;
    setLeader(m_self);
    m_rounds = {};
    m_leaseStart.reset();
    m_progress.clear();
    m_removedMembers.clear();
    m_heartbeatDue = true;
    // Entries of earlier terms are committed by an entry of the current term. The membership serves
    // as that entry, which also records it in the log.
    m_firstIndexOfTerm = m_log.lastIndex() + 1;
    proposeMembership(members());
}

void Raft::Implementation::becomeFollower(Term term, MemberId votedFor)
{
    if (term > m_hardState.term)
        saveHardState({ term, votedFor });
    const bool wasLeader = isLeader();
    m_role = RaftRole::Follower;
    m_votes.clear();
    setLeader(0);
    resetElectionTimer();
    if (wasLeader)
        failPending();
}

void Raft::Implementation::saveHardState(const HardState &hardState)
{
    if (hardState == m_hardState)
        return;
    m_store.saveHardState(hardState);
    m_hardState = hardState;
}

void Raft::Implementation::checkQuorum()
{
    if (!hasRecentContactWithMajority(members()))
        becomeFollower(m_hardState.term);
}

bool Raft::Implementation::hasRecentContact(MemberId member) const
{
    if (member == m_self)
        return true;
    const auto it = m_progress.find(member);
    if (it == m_progress.end())
        return false;
    const detail::ReplicationProgress &progress = it->second;
    const Instant limit = m_now - m_options.electionTimeoutMin;
    const bool isInTransfer = progress.lastTransfer() > limit
        && m_now < progress.lastContact() + m_options.maxTransferTime;
    return progress.lastContact() > limit || isInTransfer;
}

bool Raft::Implementation::hasRecentContactWithMajority(const Membership &membership) const
{
    const auto hasContact = [this](MemberId member) { return hasRecentContact(member) ? 1U : 0U; };
    return detail::majorityValue(membership, hasContact) == 1;
}

} // namespace ggv
