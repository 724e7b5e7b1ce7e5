#include <ggv/coordination/consensus/raft.hpp>

#include <ggv/coordination/consensus/raft_implementation.hpp>
#include <ggv/protocol/codec/raft_codec.hpp>
#include <ggv/state/core/error.hpp>

#include <algorithm>
#include <atomic>
#include <utility>

namespace ggv {

namespace {

// Time until the next tick() of a learner, which has no timers.
constexpr Duration LearnerInterval = std::chrono::hours(1);

Ticket nextTicket() noexcept
{
    static std::atomic<Ticket> last { 0 };
    return ++last;
}

Membership bootstrapMembership(std::vector<MemberId> voters)
{
    std::sort(voters.begin(), voters.end());
    voters.erase(std::unique(voters.begin(), voters.end()), voters.end());
    return { std::move(voters), {} };
}

// Returns the membership in force before the first log entry.
Membership firstMembership(const RecoveredState &recovered, std::vector<MemberId> bootstrapVoters)
{
    if (recovered.snapshot.index > 0)
        return decodeMembership(recovered.snapshot.members);
    return bootstrapMembership(std::move(bootstrapVoters));
}

void checkRecovered(const RecoveredState &recovered)
{
    Term term = recovered.snapshot.term;
    for (const LogEntry &entry : recovered.entries) {
        if (entry.term < term)
            throw Error(ResultCode::StorageCorrupt, "terms of the recovered log entries decrease");
        term = entry.term;
    }
    if (term > recovered.hardState.term)
        throw Error(ResultCode::StorageCorrupt,
                    "recovered log has a later term than the hard state");
}

} // namespace

Raft::Implementation::Implementation(MemberId self, const RaftOptions &options,
                                     RecoveredState recovered, Membership membership,
                                     LogStore &store, StateMachine &machine, Instant now)
    : m_self(self)
    , m_options(options)
    , m_store(store)
    , m_machine(machine)
    , m_hardState(recovered.hardState)
    , m_log(store, std::move(recovered.snapshot), std::move(recovered.entries))
    , m_members(m_log.snapshot().index, std::move(membership))
    , m_commitIndex(m_log.snapshot().index)
    , m_appliedBytes(options.snapshotOffset)
    , m_appliedIndex(m_commitIndex)
    , m_now(now)
    // Before the restart, this member may have acknowledged a leader whose lease is still valid.
    , m_leaderContact(now)
    , m_random(options.seed ^ self)
{
    if (m_commitIndex > 0)
        m_machine.restore(m_log.snapshot().state);
    for (LogIndex index = m_commitIndex + 1; index <= m_log.lastIndex(); ++index) {
        const LogEntry &entry = m_log.at(index);
        if (entry.kind == static_cast<std::uint8_t>(detail::EntryKind::Membership))
            m_members.add(index, decodeMembership(entry.payload));
    }
    resetElectionTimer();
}

bool Raft::Implementation::selfIsVoter() const noexcept
{
    return detail::isVoter(members(), m_self);
}

bool Raft::Implementation::isMember() const noexcept
{
    return selfIsVoter() || detail::isLearner(members(), m_self);
}

// A voter whose removal is not known to be committed may campaign: it may have the only log that
// can win an election.
bool Raft::Implementation::canCampaign() const noexcept
{
    return selfIsVoter() || detail::isVoter(m_members.at(m_commitIndex), m_self);
}

void Raft::Implementation::advanceClock(Instant now) noexcept { m_now = std::max(m_now, now); }

void Raft::Implementation::send(MemberId to, RaftBody body)
{
    m_output.messages.push_back({ m_self, to, std::move(body) });
}

void Raft::Implementation::complete(Ticket ticket, ResultCode code, Bytes answer)
{
    m_output.completions.push_back({ ticket, code, std::move(answer) });
}

void Raft::Implementation::setLeader(MemberId leader) noexcept
{
    if (m_leader != leader)
        m_output.leadershipChanged = true;
    if (leader != 0) {
        m_hasYielded = false;
        m_electionsWithoutLeader = 0;
    }
    if (m_leader != leader) {
        m_leaderCommit = 0;
        m_leaderHasCommitted = false;
    }
    m_leader = leader;
}

void Raft::Implementation::receive(const RaftMessage &message, Instant now)
{
    advanceClock(now);
    if (message.to != m_self || message.from == m_self || message.from == 0)
        return;
    std::visit([&](const auto &body) { handle(message.from, body); }, message.body);
}

void Raft::Implementation::tick(Instant now)
{
    advanceClock(now);
    if (isLeader()) {
        checkQuorum();
        m_heartbeatDue = m_heartbeatDue || m_now >= m_heartbeatDeadline;
    } else if (canCampaign() && m_now >= m_electionDeadline) {
        startPreVote();
    } else if (m_role == RaftRole::Candidate && m_now >= m_voteRequestDeadline) {
        sendVoteRequests();
    }
}

Ticket Raft::Implementation::propose(Bytes command, Instant now)
{
    advanceClock(now);
    const Ticket ticket = nextTicket();
    if (!isLeader()) {
        complete(ticket, ResultCode::NotLeader);
        return ticket;
    }
    appendAsLeader(detail::EntryKind::Command, std::move(command));
    m_proposals.push_back({ m_log.lastIndex(), ticket });
    return ticket;
}

Ticket Raft::Implementation::confirmRead(Instant now)
{
    advanceClock(now);
    const Ticket ticket = nextTicket();
    if (isLeader())
        m_rounds.add(ticket);
    else
        complete(ticket, ResultCode::NotLeader);
    return ticket;
}

Ticket Raft::Implementation::changeMember(MemberId member, bool add, Instant now)
{
    advanceClock(now);
    const Ticket ticket = nextTicket();
    if (isLeader())
        m_changes.push_back({ ticket, member, add });
    else
        complete(ticket, ResultCode::NotLeader);
    return ticket;
}

RaftOutput Raft::Implementation::takeOutput()
{
    flush();
    return std::exchange(m_output, {});
}

bool Raft::Implementation::hasLeaderLease(Instant now) const noexcept
{
    constexpr std::uint32_t HundredPercent = 100;
    if (!isLeader() || !hasCommittedInCurrentTerm() || !m_leaseStart)
        return false;
    // The leader's clock may be slow and a voter's clock fast, each by the maximum drift.
    const std::uint32_t drift = std::min(m_options.maxClockDriftPercent, HundredPercent);
    const Duration lease
        = m_options.electionTimeoutMin * (HundredPercent - drift) / (HundredPercent + drift);
    return now < *m_leaseStart + lease;
}

Instant Raft::Implementation::nextDeadline() const noexcept
{
    if (isLeader())
        return m_heartbeatDeadline;
    if (!canCampaign())
        return m_now + LearnerInterval;
    return m_role == RaftRole::Candidate ? std::min(m_electionDeadline, m_voteRequestDeadline)
                                         : m_electionDeadline;
}

RaftStatus Raft::Implementation::status() const
{
    const bool isLearner = m_role == RaftRole::Follower && !canCampaign();
    RaftStatus status;
    status.role = isLearner ? RaftRole::Learner : m_role;
    status.term = m_hardState.term;
    status.leader = m_leader;
    status.commitIndex = m_commitIndex;
    status.lastIndex = m_log.lastIndex();
    status.snapshotIndex = m_log.snapshot().index;
    status.logEntries = m_log.size();
    status.logBytes = m_log.bytes();
    status.snapshotBytes = m_log.snapshot().state.size();
    status.voters = members().voters;
    status.learners = members().learners;
    status.caughtUpAt = m_caughtUpAt;
    const Membership &committed = m_members.at(m_commitIndex);
    status.isMember
        = isMember() || detail::isVoter(committed, m_self) || detail::isLearner(committed, m_self);
    if (isLeader()) {
        status.inContact.push_back(m_self);
        for (const auto &[member, progress] : m_progress) {
            if (hasRecentContact(member) && !m_removedMembers.contains(member))
                status.inContact.push_back(member);
        }
    }
    return status;
}

Result<std::unique_ptr<Raft>> Raft::create(MemberId self, std::vector<MemberId> bootstrapVoters,
                                           const RaftOptions &options, LogStore &store,
                                           StateMachine &machine, Instant now)
{
    try {
        RecoveredState recovered = store.takeRecoveredState();
        checkRecovered(recovered);
        Membership membership = firstMembership(recovered, std::move(bootstrapVoters));
        auto implementation = std::make_unique<Implementation>(
            self, options, std::move(recovered), std::move(membership), store, machine, now);
        return std::unique_ptr<Raft>(new Raft(std::move(implementation)));
    } catch (const Error &error) {
        return Error(ResultCode::StorageCorrupt, error.what());
    }
}

Raft::Raft(std::unique_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{ }

Raft::~Raft() = default;

void Raft::receive(const RaftMessage &message, Instant now)
{
    m_implementation->receive(message, now);
}

void Raft::observeTransfer(MemberId member, Instant now)
{
    m_implementation->observeTransfer(member, now);
}

void Raft::tick(Instant now) { m_implementation->tick(now); }

Ticket Raft::propose(Bytes command, Instant now)
{
    return m_implementation->propose(std::move(command), now);
}

Ticket Raft::confirmRead(Instant now) { return m_implementation->confirmRead(now); }

Ticket Raft::addMember(MemberId member, Instant now)
{
    return m_implementation->changeMember(member, true, now);
}

Ticket Raft::removeMember(MemberId member, Instant now)
{
    return m_implementation->changeMember(member, false, now);
}

bool Raft::hasLeaderLease(Instant now) const noexcept
{
    return m_implementation->hasLeaderLease(now);
}

Instant Raft::nextDeadline() const noexcept { return m_implementation->nextDeadline(); }

RaftOutput Raft::takeOutput() { return m_implementation->takeOutput(); }

RaftStatus Raft::status() const { return m_implementation->status(); }

} // namespace ggv
