#pragma once

#include <ggv/state/storage/log_store.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace ggv::detail {

//! What an entry's payload is; stored as LogEntry::kind.
enum class EntryKind : std::uint8_t {
    Command = 0, //!< For the state machine.
    Membership = 1, //!< Encoded Membership that holds from this entry on.
};

/**
 * @brief The log of one member in memory, written through to its store.
 *
 * Some entries before the snapshot stay in memory, so that a member that is only a little behind
 * needs no snapshot.
 */
class RaftLog
{
public:
    /**
     * @brief Takes over what a store held.
     * @param store Durable log; outlives this object.
     * @param snapshot The last snapshot; index 0 if there is none.
     * @param entries Entries after the snapshot.
     */
    RaftLog(LogStore &store, Snapshot snapshot, std::vector<LogEntry> entries);

    [[nodiscard]] const Snapshot &snapshot() const noexcept { return m_snapshot; }
    [[nodiscard]] LogIndex lastIndex() const noexcept { return m_baseIndex + m_entries.size(); }
    [[nodiscard]] Term lastTerm() const noexcept;
    //! @return Index up to which entries are durable.
    [[nodiscard]] LogIndex durableIndex() const noexcept { return m_durable; }
    //! @return Term of an entry; nothing if it is not in memory. Index 0 has term 0.
    [[nodiscard]] std::optional<Term> termAt(LogIndex index) const noexcept;
    //! @return An entry that is in memory.
    [[nodiscard]] const LogEntry &at(LogIndex index) const;
    //! @return True if a log with this last entry holds everything that this log may have
    //! committed.
    [[nodiscard]] bool isUpToDate(LogIndex index, Term term) const noexcept;
    //! @return Lowest index from which on entries of the same term reach up to this one.
    [[nodiscard]] LogIndex firstOfTerm(LogIndex index, LogIndex lowest) const;

    /**
     * @brief Copies consecutive entries.
     * @param from Index of the first one.
     * @param maxBytes Bound on their payloads together; at least one entry is copied.
     */
    [[nodiscard]] std::vector<LogEntry> slice(LogIndex from, std::uint64_t maxBytes) const;

    //! Appends an entry; an existing one at its index is cut with all that follow it.
    void append(LogEntry entry);
    //! Makes all entries durable.
    void sync();
    /**
     * @brief Saves a snapshot of an index that the log holds.
     * @param snapshot The snapshot.
     * @param keep Number of entries before it that stay in memory.
     */
    void compact(Snapshot snapshot, std::uint64_t keep);
    //! Takes over a snapshot from the leader; keeps only entries that follow it.
    void install(const Snapshot &snapshot);

private:
    void truncateFrom(LogIndex index);

    LogStore &m_store;
    Snapshot m_snapshot;
    LogIndex m_baseIndex; // Entry before the first one in memory.
    Term m_baseTerm;
    std::deque<LogEntry> m_entries;
    LogIndex m_durable;
};

} // namespace ggv::detail
