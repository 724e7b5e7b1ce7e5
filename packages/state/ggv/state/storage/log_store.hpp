#pragma once

#include <ggv/state/core/result.hpp>
#include <ggv/state/storage/disk.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace ggv {

using Term = std::uint64_t; //!< Election period of a quorum.
using LogIndex = std::uint64_t; //!< Position in a quorum's log, starting at 1.

//! One entry of a replicated log.
struct LogEntry
{
    LogIndex index = 0;
    Term term = 0;
    std::uint8_t kind = 0; //!< Interpreted by the consensus layer.
    Bytes payload;

    [[nodiscard]] auto operator<=>(const LogEntry &) const = default;
};

//! State besides the log that a member must persist across restarts.
struct HardState
{
    Term term = 0;
    std::uint64_t votedFor = 0; //!< Member id; 0 if no vote was cast in this term.

    [[nodiscard]] auto operator<=>(const HardState &) const = default;
};

//! State of the state machine after applying all entries up to an index.
struct Snapshot
{
    LogIndex index = 0;
    Term term = 0;
    Bytes members; //!< Encoded membership at the index.
    Bytes state; //!< Encoded state machine.

    [[nodiscard]] auto operator<=>(const Snapshot &) const = default;
};

//! State read from the disk when a store is opened.
struct RecoveredState
{
    HardState hardState;
    Snapshot snapshot; //!< Its index is 0 if there is no snapshot.
    std::vector<LogEntry> entries; //!< Consecutive, starting right after the snapshot.
};

/**
 * @brief Durable log, hard state and snapshot of one member of one quorum.
 *
 * Records have lengths and checksums. A torn record at the end of the log is truncated; damage to
 * durable records is reported as StorageCorrupt. The store contains the identity of its member and
 * cannot be opened by another one. All functions throw Error StorageIo if the disk fails, or
 * StorageFull if it has no room; all later write operations then fail too. After StorageFull the
 * store can be opened again, as after a crash.
 */
class LogStore
{
public:
    /**
     * @brief Opens or creates a store.
     * @param disk The data folder; must outlive the store.
     * @param prefix Prefix of the file names of this store; unique among the stores of the folder.
     * @param memberId Identity of the member.
     * @return The store, or StorageCorrupt or StorageIdentityMismatch.
     */
    [[nodiscard]] static Result<std::unique_ptr<LogStore>> open(Disk &disk, std::string prefix,
                                                                std::uint64_t memberId);

    ~LogStore();
    LogStore(const LogStore &) = delete;
    LogStore &operator=(const LogStore &) = delete;

    //! @return State recovered when the store was opened; later calls return an empty state.
    [[nodiscard]] RecoveredState takeRecoveredState();
    //! Replaces the hard state durably.
    void saveHardState(const HardState &hardState);
    //! Appends entries; an entry at an existing index truncates the log there first. Not durable
    //! until sync().
    void append(const std::vector<LogEntry> &entries);
    //! Makes all appended entries durable.
    void sync();
    //! Saves a snapshot durably and removes the entries that it covers.
    void saveSnapshot(const Snapshot &snapshot);

private:
    class Implementation;
    explicit LogStore(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> m_implementation;
};

} // namespace ggv
