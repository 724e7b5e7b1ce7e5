#include <ggv/coordination/consensus/raft_log.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace ggv::detail {

RaftLog::RaftLog(LogStore &store, Snapshot snapshot, std::vector<LogEntry> entries)
    : m_store(store)
    , m_snapshot(std::move(snapshot))
    , m_baseIndex(m_snapshot.index)
    , m_baseTerm(m_snapshot.term)
    , m_entries(std::make_move_iterator(entries.begin()), std::make_move_iterator(entries.end()))
    , m_durable(lastIndex())
{
    for (const LogEntry &entry : m_entries)
        m_bytes += entry.payload.size();
}

Term RaftLog::lastTerm() const noexcept
{
    return m_entries.empty() ? m_baseTerm : m_entries.back().term;
}

std::optional<Term> RaftLog::termAt(LogIndex index) const noexcept
{
    if (index < m_baseIndex || index > lastIndex())
        return std::nullopt;
    if (index == m_baseIndex)
        return m_baseTerm;
    return m_entries[index - m_baseIndex - 1].term;
}

const LogEntry &RaftLog::at(LogIndex index) const { return m_entries.at(index - m_baseIndex - 1); }

bool RaftLog::isUpToDate(LogIndex index, Term term) const noexcept
{
    return std::pair(term, index) >= std::pair(lastTerm(), lastIndex());
}

LogIndex RaftLog::firstOfTerm(LogIndex index, LogIndex lowest) const
{
    const auto term = termAt(index);
    while (index > lowest && termAt(index - 1) == term)
        --index;
    return index;
}

std::uint64_t RaftLog::bytesBetween(LogIndex first, LogIndex last) const
{
    std::uint64_t bytes = 0;
    for (LogIndex index = first; index <= last; ++index)
        bytes += at(index).payload.size();
    return bytes;
}

std::vector<LogEntry> RaftLog::slice(LogIndex from, std::uint64_t maxBytes) const
{
    std::vector<LogEntry> entries;
    std::uint64_t bytes = 0;
    for (LogIndex index = from; index <= lastIndex(); ++index) {
        const LogEntry &entry = at(index);
        bytes += entry.payload.size();
        if (!entries.empty() && bytes > maxBytes)
            break;
        entries.push_back(entry);
    }
    return entries;
}

void RaftLog::append(LogEntry entry)
{
    m_store.append({ entry });
    truncateFrom(entry.index);
    m_bytes += entry.payload.size();
    m_entries.push_back(std::move(entry));
}

void RaftLog::sync()
{
    if (m_durable == lastIndex())
        return;
    m_store.sync();
    m_durable = lastIndex();
}

void RaftLog::truncateFrom(LogIndex index)
{
    while (index <= lastIndex()) {
        m_bytes -= m_entries.back().payload.size();
        m_entries.pop_back();
    }
    m_durable = std::min(m_durable, index - 1);
}

void RaftLog::compact(Snapshot snapshot, const LogRetention &retention)
{
    m_store.saveSnapshot(snapshot);
    m_snapshot = std::move(snapshot);
    while (m_baseIndex < m_snapshot.index) {
        const bool isRecent = m_snapshot.index - m_baseIndex <= retention.maxEntries
            && m_bytes <= retention.maxBytes;
        const bool isNeeded
            = m_baseIndex + 1 >= retention.neededFrom && m_bytes <= retention.maxNeededBytes;
        if (isRecent || isNeeded)
            return;
        popFront();
    }
}

void RaftLog::popFront()
{
    const LogEntry &first = m_entries.front();
    m_baseIndex = first.index;
    m_baseTerm = first.term;
    m_bytes -= first.payload.size();
    m_entries.pop_front();
}

void RaftLog::install(const Snapshot &snapshot)
{
    m_store.saveSnapshot(snapshot);
    m_snapshot = snapshot;
    if (termAt(snapshot.index) == snapshot.term) {
        while (m_baseIndex < snapshot.index)
            popFront();
    } else {
        m_entries.clear();
        m_bytes = 0;
    }
    m_baseIndex = snapshot.index;
    m_baseTerm = snapshot.term;
    m_durable = lastIndex();
}

} // namespace ggv::detail
