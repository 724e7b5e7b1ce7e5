#include <ggv/coordination/consensus/raft_implementation.hpp>
#include <ggv/protocol/codec/raft_codec.hpp>

#include <algorithm>
#include <utility>

namespace ggv {

// Syncs the log before any message or completion that depends on it is output. The second pass
// covers entries that advanceMembership() appended.
void Raft::Implementation::flush()
{
    m_log.sync();
    advanceCommit();
    applyCommitted();
    if (isLeader())
        advanceMembership();
    m_log.sync();
    advanceCommit();
    applyCommitted();
    if (!isLeader())
        return;
    forgetInformedMembers();
    const bool heartbeat = m_heartbeatDue || m_rounds.hasWaitingReads();
    if (heartbeat)
        startReadRound();
    replicate(heartbeat);
    completeReads();
}

void Raft::Implementation::commitUpTo(LogIndex index) noexcept
{
    m_commitIndex = std::max(m_commitIndex, index);
}

// An entry of an earlier term may still be overwritten although a majority has stored it. It is
// committed only together with a later entry of the current term (Raft paper, section 5.4.2).
void Raft::Implementation::advanceCommit()
{
    if (!isLeader())
        return;
    const auto matchOf = [this](MemberId member) {
        if (member == m_self)
            return m_log.durableIndex();
        const auto it = m_progress.find(member);
        return it == m_progress.end() ? 0 : it->second.match();
    };
    const LogIndex index = detail::majorityValue(members(), matchOf);
    if (index > m_commitIndex && m_log.termAt(index) == m_hardState.term)
        commitUpTo(index);
}

void Raft::Implementation::applyCommitted()
{
    while (m_appliedIndex < m_commitIndex) {
        apply(m_log.at(m_appliedIndex + 1));
        ++m_appliedIndex;
    }
    // Since its last message the leader may have committed more.
    if (m_leaderHasCommitted && m_appliedIndex >= m_leaderCommit)
        m_caughtUpAt = m_leaderContact;
    completeMemberChanges();
    if (m_appliedIndex - m_log.snapshot().index >= m_options.snapshotAfterEntries
        || m_appliedBytes >= m_options.snapshotAfterBytes)
        takeSnapshot();
    stepDownIfRemoved();
}

void Raft::Implementation::apply(const LogEntry &entry)
{
    m_appliedBytes += entry.payload.size();
    if (entry.kind != static_cast<std::uint8_t>(detail::EntryKind::Command))
        return;
    Bytes answer = m_machine.apply(entry.index, entry.payload);
    if (m_proposals.empty() || m_proposals.front().index != entry.index)
        return;
    complete(m_proposals.front().ticket, ResultCode::Ok, std::move(answer));
    m_proposals.pop_front();
}

// Returns the first entry that a member in contact still needs, or the one after the applied ones.
LogIndex Raft::Implementation::firstNeededIndex() const
{
    LogIndex held = m_appliedIndex;
    for (const auto &[member, progress] : m_progress) {
        if (hasRecentContact(member))
            held = std::min(held, progress.receivedIndex());
    }
    return held + 1;
}

void Raft::Implementation::takeSnapshot()
{
    Snapshot snapshot;
    snapshot.index = m_appliedIndex;
    snapshot.term = m_log.termAt(m_appliedIndex).value_or(0);
    snapshot.members = encodeMembership(m_members.at(m_appliedIndex));
    snapshot.state = m_machine.encode();
    m_log.compact(std::move(snapshot),
                  { m_options.snapshotAfterEntries, m_options.retainedBytes, firstNeededIndex(),
                    m_options.maxRetainedBytes });
    m_members.compact(m_appliedIndex);
    m_appliedBytes = 0;
}

void Raft::Implementation::installSnapshot(const Snapshot &snapshot)
{
    Membership membership = decodeMembership(snapshot.members);
    const bool keepsEntries = m_log.termAt(snapshot.index) == snapshot.term;
    m_log.install(snapshot);
    m_machine.restore(snapshot.state);
    if (keepsEntries)
        m_members.compact(snapshot.index);
    else
        m_members = detail::MembershipHistory(snapshot.index, std::move(membership));
    m_commitIndex = snapshot.index;
    m_appliedIndex = snapshot.index;
    m_appliedBytes = m_options.snapshotOffset;
}

void Raft::Implementation::startReadRound()
{
    m_rounds.startRound(m_now);
    m_heartbeatDue = false;
    m_heartbeatDeadline = m_now + m_options.heartbeatInterval;
    refreshLease();
}

std::uint64_t Raft::Implementation::confirmedRound() const
{
    const auto roundOf = [this](MemberId member) {
        if (member == m_self)
            return m_rounds.latest();
        const auto it = m_progress.find(member);
        return it == m_progress.end() ? 0 : it->second.ackedRound();
    };
    return detail::majorityValue(members(), roundOf);
}

void Raft::Implementation::refreshLease() { m_leaseStart = m_rounds.startedAt(confirmedRound()); }

// Until an entry of the current term is applied, changes that an earlier leader accepted may be
// missing from the state machine.
bool Raft::Implementation::hasCommittedInCurrentTerm() const noexcept
{
    return m_appliedIndex >= m_firstIndexOfTerm;
}

void Raft::Implementation::completeReads()
{
    if (!hasCommittedInCurrentTerm())
        return;
    for (const Ticket ticket : m_rounds.takeConfirmed(confirmedRound()))
        complete(ticket, ResultCode::Ok);
}

// The outcome of appended proposals is unknown: the next leader may still commit them.
void Raft::Implementation::failPending()
{
    for (const Proposal &proposal : std::exchange(m_proposals, {}))
        complete(proposal.ticket, ResultCode::ChangeOutcomeUnknown);
    for (const Ticket ticket : m_rounds.takeAll())
        complete(ticket, ResultCode::NotLeader);
    failMemberChanges();
    m_progress.clear();
    m_removedMembers.clear();
    m_leaseStart.reset();
}

} // namespace ggv
