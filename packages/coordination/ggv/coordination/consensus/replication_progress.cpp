#include <ggv/coordination/consensus/replication_progress.hpp>

#include <algorithm>

namespace ggv::detail {

namespace {

constexpr std::size_t MaxRequestsInFlight = 32;
//! Payload in flight from which on no further request is sent. Heartbeats wait behind it.
constexpr std::uint64_t MaxBytesInFlight = std::uint64_t { 1024 } * 1024;

} // namespace

ReplicationProgress::ReplicationProgress(LogIndex next, Instant now) noexcept
    : m_next(next)
    , m_lastContact(now)
{ }

bool ReplicationProgress::canSend() const noexcept
{
    switch (m_mode) {
    case ReplicationMode::Probe:
        return !m_probeSent;
    case ReplicationMode::Pipeline:
        return m_inFlight.size() < MaxRequestsInFlight && m_inFlightBytes < MaxBytesInFlight;
    case ReplicationMode::Snapshot:
        return false;
    }
    return false;
}

LogIndex ReplicationProgress::receivedIndex() const noexcept
{
    return m_mode == ReplicationMode::Snapshot ? std::max(m_match, m_snapshotIndex) : m_match;
}

void ReplicationProgress::recordContact(std::uint64_t round, Instant now) noexcept
{
    m_ackedRound = std::max(m_ackedRound, round);
    m_lastContact = std::max(m_lastContact, now);
}

void ReplicationProgress::recordSent(LogIndex last, std::uint64_t bytes)
{
    if (m_mode == ReplicationMode::Probe) {
        m_probeSent = true;
        return;
    }
    m_inFlight.push_back({ last, bytes });
    m_inFlightBytes += bytes;
    m_next = last + 1;
}

bool ReplicationProgress::hasAnsweredSinceSnapshot() const noexcept
{
    return m_ackedRound > m_snapshotRound;
}

void ReplicationProgress::recordSnapshotSent(LogIndex index, std::uint64_t round,
                                             Instant now) noexcept
{
    m_mode = ReplicationMode::Snapshot;
    m_snapshotIndex = index;
    m_snapshotRound = round;
    m_snapshotSent = true;
    m_snapshotSentAt = now;
}

void ReplicationProgress::recordAccepted(LogIndex index)
{
    m_match = std::max(m_match, index);
    while (!m_inFlight.empty() && m_inFlight.front().last <= m_match) {
        m_inFlightBytes -= m_inFlight.front().bytes;
        m_inFlight.pop_front();
    }
    const LogIndex requiredIndex
        = m_mode == ReplicationMode::Snapshot ? m_snapshotIndex : m_next - 1;
    if (m_mode != ReplicationMode::Pipeline && m_match >= requiredIndex) {
        m_mode = ReplicationMode::Pipeline;
        m_next = m_match + 1;
        clearInFlight();
    }
    m_next = std::max(m_next, m_match + 1);
}

// A rejection that does not lower the next index is a delayed reply and is ignored.
void ReplicationProgress::recordRejected(LogIndex hint)
{
    if (m_mode == ReplicationMode::Snapshot || hint + 1 >= m_next)
        return;
    const LogIndex next = std::max(hint, m_match) + 1;
    if (next < m_next)
        probeFrom(next);
}

void ReplicationProgress::probeFrom(LogIndex next)
{
    m_mode = ReplicationMode::Probe;
    m_next = next;
    m_probeSent = false;
    m_snapshotSent = false;
    clearInFlight();
}

void ReplicationProgress::clearInFlight() noexcept
{
    m_inFlight.clear();
    m_inFlightBytes = 0;
}

} // namespace ggv::detail
