#include <ggv/coordination/consensus/raft_implementation.hpp>
#include <ggv/protocol/codec/raft_codec.hpp>
#include <ggv/state/core/error.hpp>

#include <algorithm>
#include <utility>

namespace ggv {

namespace {

bool isMembership(ByteView bytes)
{
    try {
        return !decodeMembership(bytes).voters.empty();
    } catch (const Error &) {
        return false;
    }
}

bool isWellFormed(const LogEntry &entry)
{
    if (entry.kind == static_cast<std::uint8_t>(detail::EntryKind::Membership))
        return isMembership(entry.payload);
    return entry.kind == static_cast<std::uint8_t>(detail::EntryKind::Command);
}

// Returns true if the entries are consecutive, their terms do not decrease and do not exceed the
// term of the request.
bool isWellFormed(const AppendRequest &request)
{
    LogIndex index = request.previousIndex;
    Term term = request.previousTerm;
    for (const LogEntry &entry : request.entries) {
        if (entry.index != ++index || entry.term < term || entry.term > request.term)
            return false;
        if (!isWellFormed(entry))
            return false;
        term = entry.term;
    }
    return true;
}

} // namespace

// --- Follower side.

bool Raft::Implementation::acceptLeader(MemberId from, Term term)
{
    if (term < m_hardState.term) {
        answerAppend(from, false, m_log.lastIndex(), 0);
        return false;
    }
    if (term == m_hardState.term && isLeader())
        throw Error(ResultCode::Internal,
                    "append request from a second leader in the current term");
    if (term > m_hardState.term || m_role != RaftRole::Follower)
        becomeFollower(term);
    setLeader(from);
    m_leaderContact = m_now;
    resetElectionTimer();
    return true;
}

void Raft::Implementation::handle(MemberId from, const AppendRequest &request)
{
    if (!isWellFormed(request) || !acceptLeader(from, request.term))
        return;
    m_leaderCommit = std::max(m_leaderCommit, request.commitIndex);
    if (const auto hint = findConflict(request)) {
        answerAppend(from, false, *hint, request.readRound);
        return;
    }
    appendReceivedEntries(request);
    // Before that, a new leader does not know all that is committed.
    if (m_log.termAt(request.commitIndex) == request.term)
        m_leaderHasCommitted = true;
    const LogIndex matched = request.previousIndex + request.entries.size();
    commitUpTo(std::min(request.commitIndex, matched));
    answerAppend(from, true, std::max(matched, m_commitIndex), request.readRound);
}

// Returns std::nullopt if the entry before the request's entries matches, else a hint at which
// index the logs may match. Committed entries match the log of every later leader.
std::optional<LogIndex> Raft::Implementation::findConflict(const AppendRequest &request) const
{
    const LogIndex previous = request.previousIndex;
    if (previous <= m_commitIndex)
        return std::nullopt;
    if (previous > m_log.lastIndex())
        return m_log.lastIndex();
    if (m_log.termAt(previous) == request.previousTerm)
        return std::nullopt;
    return m_log.firstOfTerm(previous, m_commitIndex + 1) - 1;
}

void Raft::Implementation::appendReceivedEntries(const AppendRequest &request)
{
    for (const LogEntry &entry : request.entries) {
        const bool isKnown
            = entry.index <= m_commitIndex || m_log.termAt(entry.index) == entry.term;
        if (!isKnown)
            appendEntry(entry);
    }
}

void Raft::Implementation::appendEntry(LogEntry entry)
{
    m_members.truncateFrom(entry.index);
    m_log.append(std::move(entry));
    const LogEntry &added = m_log.at(m_log.lastIndex());
    if (added.kind == static_cast<std::uint8_t>(detail::EntryKind::Membership))
        onMembershipAppended(added.index, added.payload);
}

void Raft::Implementation::appendAsLeader(detail::EntryKind kind, Bytes payload)
{
    const auto number = static_cast<std::uint8_t>(kind);
    appendEntry({ m_log.lastIndex() + 1, m_hardState.term, number, std::move(payload) });
}

void Raft::Implementation::handle(MemberId from, const InstallSnapshot &request)
{
    if (!isMembership(request.snapshot.members) || !acceptLeader(from, request.term))
        return;
    if (request.snapshot.index > m_commitIndex)
        installSnapshot(request.snapshot);
    answerAppend(from, true, m_commitIndex, request.readRound);
}

void Raft::Implementation::answerAppend(MemberId to, bool accepted, LogIndex lastIndex,
                                        std::uint64_t readRound)
{
    send(to, AppendAnswer { m_hardState.term, accepted, lastIndex, readRound });
}

// --- Leader side.

void Raft::Implementation::handle(MemberId from, const AppendAnswer &answer)
{
    if (answer.term > m_hardState.term) {
        becomeFollower(answer.term);
        return;
    }
    const auto it = m_progress.find(from);
    if (!isLeader() || answer.term < m_hardState.term || it == m_progress.end())
        return;
    detail::ReplicationProgress &progress = it->second;
    progress.recordContact(std::min(answer.readRound, m_rounds.latest()), m_now);
    if (!answer.accepted)
        progress.recordRejected(std::min(answer.lastIndex, m_log.lastIndex()));
    else if (answer.lastIndex <= m_log.lastIndex())
        progress.recordAccepted(answer.lastIndex);
    refreshLease();
}

void Raft::Implementation::replicate(bool heartbeat)
{
    for (auto &[member, progress] : m_progress)
        replicateTo(member, progress, heartbeat);
}

void Raft::Implementation::replicateTo(MemberId member, detail::ReplicationProgress &progress,
                                       bool heartbeat)
{
    const auto before = m_output.messages.size();
    while (progress.canSend() && progress.next() <= m_log.lastIndex())
        sendEntries(member, progress);
    if (heartbeat && m_output.messages.size() == before)
        sendHeartbeat(member, progress);
}

void Raft::Implementation::sendEntries(MemberId member, detail::ReplicationProgress &progress)
{
    const bool isMissing = !m_log.termAt(progress.next() - 1);
    if (isMissing || (!progress.hasSentSnapshot() && isSnapshotSmaller(progress.next()))) {
        refreshSnapshot();
        sendSnapshot(member, progress);
        return;
    }
    auto entries = m_log.slice(progress.next(), m_options.maxAppendBytes);
    const LogIndex previous = progress.next() - 1;
    const LogIndex last = previous + entries.size();
    progress.recordSent(last, m_log.bytesBetween(progress.next(), last));
    sendAppend(member, previous, std::move(entries));
}

// Returns true if the snapshot has fewer bytes than the entries that it replaces.
bool Raft::Implementation::isSnapshotSmaller(LogIndex next) const
{
    const Snapshot &snapshot = m_log.snapshot();
    return next <= snapshot.index
        && m_log.bytesBetween(next, snapshot.index) > snapshot.state.size();
}

// Takes a new snapshot if the entries after the latest one have more bytes: a new member must catch
// up before the next loss.
void Raft::Implementation::refreshSnapshot()
{
    const Snapshot &snapshot = m_log.snapshot();
    if (m_log.bytesBetween(snapshot.index + 1, m_appliedIndex) > snapshot.state.size())
        takeSnapshot();
}

// Sends a snapshot again if the member has answered later messages but not the snapshot. Lost
// append requests are detected otherwise: the member rejects the heartbeat.
void Raft::Implementation::sendHeartbeat(MemberId member, detail::ReplicationProgress &progress)
{
    const bool isSnapshot = progress.mode() == detail::ReplicationMode::Snapshot;
    const bool isLost = progress.hasAnsweredSinceSnapshot()
        && m_now >= progress.snapshotSentAt() + m_options.electionTimeoutMax;
    const bool isMissing = !m_log.termAt(progress.next() - 1);
    if (isSnapshot ? isLost : isMissing)
        sendSnapshot(member, progress);
    else
        sendAppend(member, isSnapshot ? 0 : progress.next() - 1, {});
}

void Raft::Implementation::sendSnapshot(MemberId member, detail::ReplicationProgress &progress)
{
    progress.recordSnapshotSent(m_log.snapshot().index, m_rounds.latest(), m_now);
    send(member, InstallSnapshot { m_hardState.term, m_rounds.latest(), m_log.snapshot() });
}

void Raft::Implementation::sendAppend(MemberId member, LogIndex previous,
                                      std::vector<LogEntry> entries)
{
    AppendRequest request;
    request.term = m_hardState.term;
    request.previousIndex = previous;
    request.previousTerm = m_log.termAt(previous).value_or(0);
    request.commitIndex = m_commitIndex;
    request.readRound = m_rounds.latest();
    request.entries = std::move(entries);
    send(member, std::move(request));
}

} // namespace ggv
