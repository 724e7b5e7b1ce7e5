#include <ggv/state/storage/log_segment.hpp>

#include <ggv/state/core/error.hpp>
#include <ggv/state/storage/record.hpp>

namespace ggv::detail {

namespace {

enum class RecordKind : std::uint8_t { Header = 1, Entry = 2, SyncMark = 3 };

[[noreturn]] void throwCorrupt(const std::string &name, std::uint64_t offset)
{
    const std::string location = name + " at byte " + std::to_string(offset);
    throw Error(ResultCode::StorageCorrupt, "corrupt record in log file " + location);
}

void appendSegmentRecord(Bytes &out, std::uint64_t owner, LogSegment &segment, ByteView body)
{
    const auto before = out.size();
    appendRecord(out, { owner, segment.first, segment.size }, body);
    segment.size += out.size() - before;
}

// Returns the index of the last durable entry that an entry or marker record states in its second
// field; 0 for a header record.
LogIndex syncedIndexOf(ByteView body)
{
    ByteReader reader(body);
    const auto kind = static_cast<RecordKind>(reader.getU8());
    return kind == RecordKind::Header ? 0 : reader.getU64();
}

LogEntry readEntry(ByteReader &reader)
{
    LogEntry entry;
    entry.index = reader.getU64();
    entry.term = reader.getU64();
    entry.kind = reader.getU8();
    const ByteView payload = reader.getRemaining();
    entry.payload.assign(payload.begin(), payload.end());
    return entry;
}

// Parses a segment file record by record.
class SegmentParser
{
public:
    SegmentParser(ByteView file, std::uint64_t owner, const std::string &name, LogIndex first)
        : m_file(file)
        , m_owner(owner)
    {
        m_result.segment.name = name;
        m_result.segment.first = first;
    }

    ParsedSegment run()
    {
        readHeader();
        while (const auto body = recordAt(segment().size))
            readRecord(*body);
        m_result.torn = segment().size < m_file.size();
        if (m_result.torn)
            rejectDamageBeforeTail();
        return std::move(m_result);
    }

private:
    LogSegment &segment() noexcept { return m_result.segment; }

    std::optional<ByteView> recordAt(std::uint64_t offset) const noexcept
    {
        return parseRecord(m_file, { m_owner, m_result.segment.first, offset });
    }

    void readHeader()
    {
        const auto body = recordAt(0);
        if (!body || body->empty()
            || body->front() != static_cast<std::uint8_t>(RecordKind::Header))
            throwCorrupt(segment().name, 0);
        segment().size = RecordHeaderBytes + body->size();
    }

    void readRecord(ByteView body)
    {
        ByteReader reader(body);
        const auto kind = static_cast<RecordKind>(reader.getU8());
        static_cast<void>(reader.getU64());
        if (kind == RecordKind::Entry)
            addEntry(readEntry(reader));
        segment().size += RecordHeaderBytes + body.size();
    }

    void addEntry(LogEntry entry)
    {
        if (entry.index != segment().last() + 1)
            throwCorrupt(segment().name, segment().size);
        segment().positions.push_back({ entry.term, segment().size });
        m_result.entries.push_back(std::move(entry));
    }

    // An invalid record counts as a torn write unless a later valid record states that the entry
    // was already durable, which proves that it was damaged afterwards.
    void rejectDamageBeforeTail()
    {
        const LogIndex missing = segment().last() + 1;
        for (auto offset = segment().size + 1; offset < m_file.size(); ++offset) {
            const auto body = recordAt(offset);
            if (body && syncedIndexOf(*body) >= missing)
                throwCorrupt(segment().name, segment().size);
        }
    }

    ByteView m_file;
    std::uint64_t m_owner;
    ParsedSegment m_result;
};

} // namespace

Bytes createSegment(std::uint64_t owner, LogSegment &segment)
{
    Bytes out;
    const Bytes body { static_cast<std::uint8_t>(RecordKind::Header) };
    segment.size = 0;
    appendSegmentRecord(out, owner, segment, body);
    return out;
}

void appendEntryRecord(Bytes &out, std::uint64_t owner, LogSegment &segment, const LogEntry &entry,
                       LogIndex synced)
{
    Bytes body;
    ByteWriter writer(body);
    writer.putU8(static_cast<std::uint8_t>(RecordKind::Entry));
    writer.putU64(synced);
    writer.putU64(entry.index);
    writer.putU64(entry.term);
    writer.putU8(entry.kind);
    writer.putBytes(entry.payload);
    segment.positions.push_back({ entry.term, segment.size });
    appendSegmentRecord(out, owner, segment, body);
}

void appendSyncMarker(Bytes &out, std::uint64_t owner, LogSegment &segment, LogIndex synced)
{
    Bytes body;
    ByteWriter writer(body);
    writer.putU8(static_cast<std::uint8_t>(RecordKind::SyncMark));
    writer.putU64(synced);
    appendSegmentRecord(out, owner, segment, body);
}

ParsedSegment parseSegment(ByteView file, std::uint64_t owner, const std::string &name,
                           LogIndex first)
{
    return SegmentParser(file, owner, name, first).run();
}

} // namespace ggv::detail
