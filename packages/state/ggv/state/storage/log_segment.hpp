#pragma once

#include <ggv/state/storage/log_store.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ggv::detail {

//! Where an entry stands in its segment.
struct EntryPosition
{
    Term term = 0;
    std::uint64_t offset = 0; //!< In bytes from the start of the file.

    [[nodiscard]] auto operator<=>(const EntryPosition &) const = default;
};

//! Directory of one file of the log; the file itself is on the disk.
struct LogSegment
{
    std::string name;
    LogIndex first = 1; //!< Index of the first entry, also while there is none.
    std::uint64_t size = 0; //!< In bytes.
    std::vector<EntryPosition> positions;

    //! @return Index of the last entry; first - 1 if there is none.
    [[nodiscard]] LogIndex last() const noexcept { return first + positions.size() - 1; }
    //! @return True if the entry is in this segment.
    [[nodiscard]] bool contains(LogIndex index) const noexcept
    {
        return index >= first && index <= last();
    }
    //! @return Place of an entry that the segment contains.
    [[nodiscard]] const EntryPosition &at(LogIndex index) const
    {
        return positions.at(index - first);
    }
};

//! A segment as found on the disk.
struct ParsedSegment
{
    LogSegment segment; //!< Its size ends with the last valid record.
    std::vector<LogEntry> entries;
    bool torn = false; //!< Bytes of an unfinished write follow the last valid record.
};

/**
 * @brief Starts a segment file.
 * @param owner Member id of the store.
 * @param segment Gets the size of the header.
 * @return Bytes of the file.
 */
[[nodiscard]] Bytes createSegment(std::uint64_t owner, LogSegment &segment);

/**
 * @brief Adds an entry record.
 * @param out Receives the bytes.
 * @param owner Member id of the store.
 * @param segment Gets the position of the entry.
 * @param entry The entry; follows the segment's last one.
 * @param synced Index up to which entries were durable when the record was written.
 */
void appendEntryRecord(Bytes &out, std::uint64_t owner, LogSegment &segment, const LogEntry &entry,
                       LogIndex synced);

/**
 * @brief Adds a mark that entries are durable, so that later damage to them is told from a torn
 * write.
 * @param out Receives the bytes.
 * @param owner Member id of the store.
 * @param segment Grows by the record.
 * @param synced Index up to which entries are durable.
 */
void appendSyncMarker(Bytes &out, std::uint64_t owner, LogSegment &segment, LogIndex synced);

/**
 * @brief Reads a segment file.
 * @param file Its bytes.
 * @param owner Member id of the store.
 * @param name Name of the file.
 * @param first Index of the first entry according to the name.
 * @return What it holds.
 * @throws Error StorageCorrupt if an entry that was durable is damaged.
 */
[[nodiscard]] ParsedSegment parseSegment(ByteView file, std::uint64_t owner,
                                         const std::string &name, LogIndex first);

} // namespace ggv::detail
