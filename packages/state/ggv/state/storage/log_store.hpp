#pragma once

#include <ggv/state/core/result.hpp>
#include <ggv/state/storage/disk.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace ggv {

using Term = std::uint64_t; //!< Election period of a quorum.
using LogIndex = std::uint64_t; //!< Position in a quorum's log, from 1.

//! One entry of a replicated log.
struct LogEntry
{
    LogIndex index = 0;
    Term term = 0;
    std::uint8_t kind = 0; //!< Meaning belongs to the consensus layer.
    Bytes payload;

    [[nodiscard]] auto operator<=>(const LogEntry &) const = default;
};

//! What a member must remember across restarts besides the log.
struct HardState
{
    Term term = 0;
    std::uint64_t votedFor = 0; //!< Member id; 0: no vote in this term.

    [[nodiscard]] auto operator<=>(const HardState &) const = default;
};

//! State machine content up to an index.
struct Snapshot
{
    LogIndex index = 0;
    Term term = 0;
    Bytes members; //!< Encoded membership at the index.
    Bytes state; //!< Encoded state machine.

    [[nodiscard]] auto operator<=>(const Snapshot &) const = default;
};

//! Everything a member finds on its disk.
struct RecoveredState
{
    HardState hardState;
    Snapshot snapshot; //!< Index 0 if there is none.
    std::vector<LogEntry> entries; //!< Consecutive, first one after the snapshot.
};

/**
 * @brief Durable log, hard state and snapshot of one member of one quorum.
 *
 * Records carry lengths and checksums. A torn last record is cut; damage before it is refused with
 * StorageCorrupt. The store carries the identity of its member: a store of another one is refused.
 * Every function throws Error StorageIo; after one the store refuses all further use.
 */
class LogStore
{
public:
    /**
     * @brief Opens or creates a store.
     * @param disk The data folder; outlives the store.
     * @param prefix Start of this store's file names; one store a prefix.
     * @param memberId Identity of the member.
     * @return The store, or StorageCorrupt, StorageIdentityMismatch.
     */
    [[nodiscard]] static Result<std::unique_ptr<LogStore>> open(Disk &disk, std::string prefix,
                                                                std::uint64_t memberId);

    ~LogStore();
    LogStore(const LogStore &) = delete;
    LogStore &operator=(const LogStore &) = delete;

    //! @return What was on the disk when the store was opened; empty after the first call.
    [[nodiscard]] RecoveredState takeRecoveredState();
    //! Replaces the hard state durably.
    void saveHardState(const HardState &hardState);
    //! Appends entries; an entry at an existing index cuts the log there first. Durable after
    //! sync().
    void append(const std::vector<LogEntry> &entries);
    //! Makes appended entries durable.
    void sync();
    //! Saves a snapshot durably and drops the entries that it covers.
    void saveSnapshot(const Snapshot &snapshot);

private:
    class Implementation;
    explicit LogStore(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> m_implementation;
};

} // namespace ggv
