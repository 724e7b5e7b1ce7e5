#include <ggv/state/storage/log_store.hpp>

#include <ggv/state/core/error.hpp>
#include <ggv/state/storage/log_segment.hpp>
#include <ggv/state/storage/record.hpp>

#include <algorithm>
#include <charconv>
#include <deque>
#include <iomanip>
#include <iterator>
#include <limits>
#include <sstream>
#include <utility>

namespace ggv {

namespace {

using detail::appendRecord;
using detail::ByteReader;
using detail::ByteWriter;
using detail::LogSegment;
using detail::ParsedSegment;
using detail::parseRecord;

constexpr std::uint32_t FormatVersion = 1;
constexpr std::uint64_t MaxSegmentBytes = std::uint64_t { 4 } * 1024 * 1024;
constexpr std::size_t MaxBufferedBytes = std::size_t { 1024 } * 1024;
constexpr int IndexDigits = 20;

// File numbers for RecordLocation. A segment uses the index of its first entry instead.
enum class FileNumber : std::uint64_t {
    Identity = ~0ULL,
    HardState = ~0ULL - 1,
    Snapshot = ~0ULL - 2,
};

[[noreturn]] void throwCorrupt(const std::string &what)
{
    throw Error(ResultCode::StorageCorrupt, what);
}

} // namespace

class LogStore::Implementation
{
public:
    Implementation(Disk &disk, std::string prefix, std::uint64_t memberId)
        : m_disk(disk)
        , m_prefix(std::move(prefix))
        , m_memberId(memberId)
    { }

    void open()
    {
        if (m_disk.read(identityName()))
            recover();
        else
            initialise();
    }

    RecoveredState takeRecoveredState() { return std::exchange(m_recovered, {}); }

    // Runs a write operation. After a failure the content of the disk is unknown, so all further
    // write operations are rejected.
    template <typename Action>
    void guarded(Action action)
    {
        if (m_failed)
            throw Error(ResultCode::StorageIo,
                        "log store is unusable after an earlier I/O failure: " + m_prefix);
        m_failed = true;
        action();
        m_failed = false;
    }

    void saveHardState(const HardState &hardState)
    {
        Bytes body;
        ByteWriter writer(body);
        writer.putU64(hardState.term);
        writer.putU64(hardState.votedFor);
        replaceRecord(hardStateName(), FileNumber::HardState, body);
    }

    void append(const std::vector<LogEntry> &entries)
    {
        for (const LogEntry &entry : entries) {
            if (entry.index <= lastIndex())
                truncateFrom(entry.index);
            if (entry.index != lastIndex() + 1)
                throw Error(ResultCode::Internal,
                            "index of the log entry does not follow the last entry");
            appendEntry(entry);
        }
    }

    void sync()
    {
        flush();
        if (m_synced == lastIndex())
            return;
        m_disk.sync(activeSegment().name);
        m_synced = lastIndex();
        detail::appendSyncMarker(m_buffer, m_memberId, activeSegment(), m_synced);
        flush();
    }

    void saveSnapshot(const Snapshot &snapshot)
    {
        sync();
        Bytes body;
        ByteWriter writer(body);
        writer.putU64(snapshot.index);
        writer.putU64(snapshot.term);
        writer.putLengthPrefixed(snapshot.members);
        writer.putLengthPrefixed(snapshot.state);
        replaceRecord(snapshotName(), FileNumber::Snapshot, body);
        removeCoveredSegments(snapshot);
    }

private:
    std::string identityName() const { return m_prefix + "identity"; }
    std::string hardStateName() const { return m_prefix + "hardstate"; }
    std::string snapshotName() const { return m_prefix + "snapshot"; }
    std::string segmentPrefix() const { return m_prefix + "log."; }

    std::string segmentName(LogIndex first) const
    {
        std::ostringstream name;
        name << segmentPrefix() << std::setw(IndexDigits) << std::setfill('0') << first;
        return name.str();
    }

    LogSegment &activeSegment() noexcept { return m_segments.back(); }
    LogIndex lastIndex() const noexcept { return m_segments.back().last(); }

    // --- Files with a single record.

    void replaceRecord(const std::string &name, FileNumber number, ByteView body)
    {
        if (body.size() > std::numeric_limits<std::uint32_t>::max())
            throw Error(ResultCode::StorageIo, "record exceeds the maximum size in file " + name);
        Bytes file;
        appendRecord(file, { m_memberId, static_cast<std::uint64_t>(number), 0 }, body);
        m_disk.replace(name, file);
    }

    // Uses owner 0 instead of the member id, because another member must be able to read the
    // identity to detect the mismatch.
    void writeIdentity()
    {
        Bytes body;
        ByteWriter writer(body);
        writer.putU32(FormatVersion);
        writer.putU64(m_memberId);
        Bytes file;
        appendRecord(file, { 0, static_cast<std::uint64_t>(FileNumber::Identity), 0 }, body);
        m_disk.replace(identityName(), file);
    }

    Bytes readRecord(const std::string &name, FileNumber number, std::uint64_t owner)
    {
        const auto file = m_disk.read(name);
        if (!file)
            throwCorrupt("missing store file " + name);
        const auto body = parseRecord(*file, { owner, static_cast<std::uint64_t>(number), 0 });
        if (!body || body->size() + detail::RecordHeaderBytes != file->size())
            throwCorrupt("checksum or length mismatch in file " + name);
        return Bytes(body->begin(), body->end());
    }

    // --- Opening.

    // The identity is written last: after a crash in this function the next open initialises the
    // store again.
    void initialise()
    {
        rejectOrphanedFiles();
        saveHardState({});
        startSegment(1);
        writeIdentity();
    }

    void rejectOrphanedFiles()
    {
        const std::vector<LogIndex> segments = storedSegments();
        const bool unusedLog = segments.empty() || segments == std::vector<LogIndex> { 1 };
        if (!unusedLog || m_disk.read(snapshotName()))
            throwCorrupt("missing store file " + identityName());
        if (!m_disk.read(hardStateName()))
            return;
        Bytes body = readRecord(hardStateName(), FileNumber::HardState, m_memberId);
        ByteReader reader(body);
        if (reader.getU64() != 0)
            throwCorrupt("missing store file " + identityName());
    }

    std::vector<LogIndex> storedSegments()
    {
        std::vector<LogIndex> found;
        const std::string start = segmentPrefix();
        for (const std::string &name : m_disk.list()) {
            if (!name.starts_with(start))
                continue;
            LogIndex first = 0;
            std::from_chars(name.data() + start.size(), name.data() + name.size(), first);
            if (name == segmentName(first))
                found.push_back(first);
        }
        return found;
    }

    void recover()
    {
        checkIdentity();
        readHardState();
        readSnapshot();
        readSegments();
    }

    void checkIdentity()
    {
        const Bytes body = readRecord(identityName(), FileNumber::Identity, 0);
        ByteReader reader(body);
        if (reader.getU32() != FormatVersion)
            throwCorrupt("unsupported format version in " + identityName());
        if (reader.getU64() != m_memberId)
            throw Error(ResultCode::StorageIdentityMismatch,
                        "log store belongs to another member: " + m_prefix);
    }

    void readHardState()
    {
        const Bytes body = readRecord(hardStateName(), FileNumber::HardState, m_memberId);
        ByteReader reader(body);
        m_recovered.hardState.term = reader.getU64();
        m_recovered.hardState.votedFor = reader.getU64();
    }

    void readSnapshot()
    {
        if (!m_disk.read(snapshotName()))
            return;
        const Bytes body = readRecord(snapshotName(), FileNumber::Snapshot, m_memberId);
        ByteReader reader(body);
        Snapshot &snapshot = m_recovered.snapshot;
        snapshot.index = reader.getU64();
        snapshot.term = reader.getU64();
        const ByteView members = reader.getLengthPrefixed();
        snapshot.members.assign(members.begin(), members.end());
        const ByteView state = reader.getLengthPrefixed();
        snapshot.state.assign(state.begin(), state.end());
    }

    void readSegments()
    {
        const Snapshot &snapshot = m_recovered.snapshot;
        const std::vector<LogIndex> stored = storedSegments();
        if (stored.empty() || stored.front() > snapshot.index + 1)
            throwCorrupt("missing log segment with prefix " + segmentPrefix());
        for (const LogIndex first : stored)
            readSegment(first);
        truncateTornTails();
        m_synced = lastIndex();
        if (snapshot.index > 0)
            removeCoveredSegments(snapshot);
        removeEntriesOutsideLog();
    }

    void readSegment(LogIndex first)
    {
        const std::string name = segmentName(first);
        const Bytes file = m_disk.read(name).value_or(Bytes {});
        ParsedSegment parsed = detail::parseSegment(file, m_memberId, name, first);
        checkContiguous(first);
        if (parsed.torn)
            m_tornSegments.push_back(name);
        m_segments.push_back(std::move(parsed.segment));
        std::move(parsed.entries.begin(), parsed.entries.end(),
                  std::back_inserter(m_recovered.entries));
    }

    // A gap between segments is valid only after a crash while a snapshot replaced the complete
    // log. removeCoveredSegments() then removes the earlier segments, which do not connect to the
    // snapshot.
    void checkContiguous(LogIndex first) const
    {
        const bool isContiguous = m_segments.empty() || first == lastIndex() + 1;
        if (!isContiguous && first != m_recovered.snapshot.index + 1)
            throwCorrupt("gap between log segments before entry " + std::to_string(first));
    }

    // Runs after all segments have been validated. Entries that were read may exist only in the
    // page cache, so each segment is synced before use.
    void truncateTornTails()
    {
        for (const LogSegment &segment : m_segments) {
            if (std::find(m_tornSegments.begin(), m_tornSegments.end(), segment.name)
                != m_tornSegments.end())
                m_disk.truncate(segment.name, segment.size);
            m_disk.sync(segment.name);
        }
    }

    void removeEntriesOutsideLog()
    {
        const LogIndex covered = m_recovered.snapshot.index;
        const LogIndex last = lastIndex();
        std::erase_if(m_recovered.entries, [covered, last](const LogEntry &entry) {
            return entry.index <= covered || entry.index > last;
        });
    }

    // --- Writing.

    void startSegment(LogIndex first)
    {
        LogSegment segment { segmentName(first), first, 0, {} };
        m_disk.replace(segment.name, detail::createSegment(m_memberId, segment));
        m_segments.push_back(std::move(segment));
    }

    void appendEntry(const LogEntry &entry)
    {
        if (activeSegment().size >= MaxSegmentBytes)
            rollSegment();
        detail::appendEntryRecord(m_buffer, m_memberId, activeSegment(), entry, m_synced);
        if (m_buffer.size() >= MaxBufferedBytes)
            flush();
    }

    // Syncs first: only the last segment may contain entries that are not durable.
    void rollSegment()
    {
        sync();
        startSegment(lastIndex() + 1);
    }

    void flush()
    {
        if (m_buffer.empty())
            return;
        m_disk.append(activeSegment().name, m_buffer);
        m_buffer.clear();
    }

    // The truncation is durable before replacement entries are written.
    void truncateFrom(LogIndex index)
    {
        flush();
        if (index < m_segments.front().first)
            throw Error(ResultCode::Internal, "cannot truncate the log within the snapshot");
        while (m_segments.size() > 1 && activeSegment().first >= index)
            removeSegment(std::prev(m_segments.end()));
        if (activeSegment().contains(index))
            truncateActive(index);
        m_synced = std::min(m_synced, index - 1);
    }

    void truncateActive(LogIndex index)
    {
        LogSegment &segment = activeSegment();
        segment.size = segment.at(index).offset;
        segment.positions.resize(index - segment.first);
        m_disk.truncate(segment.name, segment.size);
        m_disk.sync(segment.name);
    }

    void removeSegment(const std::deque<LogSegment>::iterator &it)
    {
        m_disk.remove(it->name);
        m_segments.erase(it);
    }

    // --- Compaction.

    void removeCoveredSegments(const Snapshot &snapshot)
    {
        if (!connectsTo(snapshot)) {
            restartLog(snapshot.index + 1);
            return;
        }
        if (activeSegment().first <= snapshot.index && !activeSegment().positions.empty())
            startSegment(lastIndex() + 1);
        while (m_segments.size() > 1 && m_segments[1].first <= snapshot.index + 1)
            removeSegment(m_segments.begin());
    }

    // True if the log contains the last entry of the snapshot or starts right after it.
    bool connectsTo(const Snapshot &snapshot) const
    {
        for (const LogSegment &segment : m_segments) {
            if (segment.contains(snapshot.index))
                return segment.at(snapshot.index).term == snapshot.term;
        }
        return m_segments.front().first == snapshot.index + 1;
    }

    // Replaces the log by an empty one that starts at `first`. Later segments are removed from the
    // end and earlier ones from the front, so that recovery accepts the files that a crash at any
    // point leaves.
    void restartLog(LogIndex first)
    {
        m_buffer.clear();
        while (!m_segments.empty() && activeSegment().first >= first) {
            if (activeSegment().first == first)
                m_segments.pop_back();
            else
                removeSegment(std::prev(m_segments.end()));
        }
        startSegment(first);
        while (m_segments.size() > 1)
            removeSegment(m_segments.begin());
        m_synced = lastIndex();
    }

    Disk &m_disk;
    std::string m_prefix;
    std::uint64_t m_memberId;
    RecoveredState m_recovered;
    std::deque<LogSegment> m_segments;
    std::vector<std::string> m_tornSegments; // Segments that end with an incomplete write.
    Bytes m_buffer; // Records of the active segment that are not written to the disk yet.
    LogIndex m_synced = 0;
    bool m_failed = false;
};

Result<std::unique_ptr<LogStore>> LogStore::open(Disk &disk, std::string prefix,
                                                 std::uint64_t memberId)
{
    try {
        auto implementation = std::make_unique<Implementation>(disk, std::move(prefix), memberId);
        implementation->open();
        return std::unique_ptr<LogStore>(new LogStore(std::move(implementation)));
    } catch (const Error &error) {
        if (error.code() == ResultCode::StorageIo)
            throw;
        return error;
    }
}

LogStore::LogStore(std::unique_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{ }

LogStore::~LogStore() = default;

RecoveredState LogStore::takeRecoveredState() { return m_implementation->takeRecoveredState(); }

void LogStore::saveHardState(const HardState &hardState)
{
    m_implementation->guarded([&] { m_implementation->saveHardState(hardState); });
}

void LogStore::append(const std::vector<LogEntry> &entries)
{
    m_implementation->guarded([&] { m_implementation->append(entries); });
}

void LogStore::sync()
{
    m_implementation->guarded([&] { m_implementation->sync(); });
}

void LogStore::saveSnapshot(const Snapshot &snapshot)
{
    m_implementation->guarded([&] { m_implementation->saveSnapshot(snapshot); });
}

} // namespace ggv
