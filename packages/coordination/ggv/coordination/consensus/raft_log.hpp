#pragma once

#include <ggv/state/storage/log_store.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace ggv::detail {

//! Type of an entry's payload; stored as LogEntry::kind.
enum class EntryKind : std::uint8_t {
    Command = 0, //!< Applied to the state machine.
    Membership = 1, //!< Encoded Membership, in force from this entry on.
};

//! Which entries before a snapshot stay in memory.
struct LogRetention
{
    std::uint64_t maxEntries = 0;
    std::uint64_t maxBytes = 0; //!< Payload of these entries.
    LogIndex neededFrom = 0; //!< First entry that a member in contact still needs.
    std::uint64_t maxNeededBytes = 0; //!< Payload up to which entries are retained for members.
};

/**
 * @brief In-memory log of a member with write-through to its store.
 *
 * Some entries before the snapshot stay in memory, so that a member that lags only slightly can be
 * caught up without a snapshot.
 */
class RaftLog
{
public:
    /**
     * @brief Creates the log from recovered state.
     * @param store Durable log; must outlive this object.
     * @param snapshot The latest snapshot; its index is 0 if there is none.
     * @param entries Entries after the snapshot.
     */
    RaftLog(LogStore &store, Snapshot snapshot, std::vector<LogEntry> entries);

    [[nodiscard]] const Snapshot &snapshot() const noexcept { return m_snapshot; }
    [[nodiscard]] LogIndex lastIndex() const noexcept { return m_baseIndex + m_entries.size(); }
    [[nodiscard]] Term lastTerm() const noexcept;
    //! Returns the number of entries in memory.
    [[nodiscard]] std::uint64_t size() const noexcept { return m_entries.size(); }
    //! Returns the total payload of the entries in memory, in bytes.
    [[nodiscard]] std::uint64_t bytes() const noexcept { return m_bytes; }
    //! Returns the index of the last durable entry.
    [[nodiscard]] LogIndex durableIndex() const noexcept { return m_durable; }
    //! Returns the term of an entry, or std::nullopt if it is not in memory. Index 0 has term 0.
    [[nodiscard]] std::optional<Term> termAt(LogIndex index) const noexcept;
    //! Returns an entry, which must be in memory.
    [[nodiscard]] const LogEntry &at(LogIndex index) const;
    //! Returns true if a log with this last entry contains every entry that this log may have
    //! committed.
    [[nodiscard]] bool isUpToDate(LogIndex index, Term term) const noexcept;
    //! Returns the lowest index, not below lowest, of the consecutive entries that end at index and
    //! have its term.
    [[nodiscard]] LogIndex firstOfTerm(LogIndex index, LogIndex lowest) const;
    //! Returns the total payload of the entries from one index to another; both are in memory.
    [[nodiscard]] std::uint64_t bytesBetween(LogIndex first, LogIndex last) const;

    /**
     * @brief Copies consecutive entries.
     * @param from Index of the first entry.
     * @param maxBytes Limit on the total payload size; at least one entry is copied.
     */
    [[nodiscard]] std::vector<LogEntry> slice(LogIndex from, std::uint64_t maxBytes) const;

    //! Appends an entry. Truncates an existing entry at its index and all entries after it.
    void append(LogEntry entry);
    //! Makes all entries durable; has no effect if they are.
    void sync();
    /**
     * @brief Saves a snapshot and prunes the entries before it from memory.
     * @param snapshot The snapshot, taken at an index that the log contains.
     * @param retention Entries before the snapshot that are retained in memory.
     */
    void compact(Snapshot snapshot, const LogRetention &retention);
    //! Installs a snapshot from the leader. Entries after it are retained if the log contains its
    //! last entry.
    void install(const Snapshot &snapshot);

private:
    void truncateFrom(LogIndex index);
    void popFront();

    LogStore &m_store;
    Snapshot m_snapshot;
    LogIndex m_baseIndex; // Index of the entry before the first one in memory.
    Term m_baseTerm;
    std::deque<LogEntry> m_entries;
    std::uint64_t m_bytes = 0; // Total payload of m_entries.
    LogIndex m_durable;
};

} // namespace ggv::detail
