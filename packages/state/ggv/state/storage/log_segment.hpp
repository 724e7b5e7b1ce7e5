#pragma once

#include <ggv/state/storage/log_store.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ggv::detail {

//! Term and location of an entry in its segment.
struct EntryPosition
{
    Term term = 0;
    std::uint64_t offset = 0; //!< In bytes from the start of the file.

    [[nodiscard]] auto operator<=>(const EntryPosition &) const = default;
};

//! In-memory index of one log file.
struct LogSegment
{
    std::string name;
    LogIndex first = 1; //!< Index of the first entry, even if the segment is still empty.
    std::uint64_t size = 0; //!< In bytes.
    std::vector<EntryPosition> positions;

    //! @return Index of the last entry; first - 1 if the segment is empty.
    [[nodiscard]] LogIndex last() const noexcept { return first + positions.size() - 1; }
    //! @return True if the entry with this index is in this segment.
    [[nodiscard]] bool contains(LogIndex index) const noexcept
    {
        return index >= first && index <= last();
    }
    //! @return Position of an entry; the segment must contain it.
    [[nodiscard]] const EntryPosition &at(LogIndex index) const
    {
        return positions.at(index - first);
    }
};

//! Result of reading a segment file.
struct ParsedSegment
{
    LogSegment segment; //!< Its size covers the records up to the last valid one.
    std::vector<LogEntry> entries;
    bool torn = false; //!< Bytes of an incomplete write follow the last valid record.
};

/**
 * @brief Encodes an empty segment file.
 * @param owner Member id of the store.
 * @param segment Segment to create; its size is set to the size of the header.
 * @return Content of the file.
 */
[[nodiscard]] Bytes createSegment(std::uint64_t owner, LogSegment &segment);

/**
 * @brief Encodes an entry record.
 * @param out The record is appended here.
 * @param owner Member id of the store.
 * @param segment Updated with the size of the record and the position of the entry.
 * @param entry The entry; its index must follow the last one of the segment.
 * @param synced Index of the last durable entry at the time of writing.
 */
void appendEntryRecord(Bytes &out, std::uint64_t owner, LogSegment &segment, const LogEntry &entry,
                       LogIndex synced);

/**
 * @brief Encodes a marker that entries are durable; it distinguishes later damage to them from a
 * torn write.
 * @param out The record is appended here.
 * @param owner Member id of the store.
 * @param segment Updated with the size of the record.
 * @param synced Index of the last durable entry.
 */
void appendSyncMarker(Bytes &out, std::uint64_t owner, LogSegment &segment, LogIndex synced);

/**
 * @brief Parses a segment file.
 * @param file Content of the file.
 * @param owner Member id of the store.
 * @param name Name of the file.
 * @param first Index of the first entry according to the name.
 * @return The valid entries.
 * @throws Error StorageCorrupt if the header or a durable entry is damaged.
 */
[[nodiscard]] ParsedSegment parseSegment(ByteView file, std::uint64_t owner,
                                         const std::string &name, LogIndex first);

} // namespace ggv::detail
