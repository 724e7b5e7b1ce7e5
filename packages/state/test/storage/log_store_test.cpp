#include "fake_disk.hpp"

#include <ggv/state/storage/log_store.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <numeric>

namespace {

using namespace ggv;
using ggv::test::FakeDisk;

constexpr std::uint64_t Self = 7;

std::unique_ptr<LogStore> openStore(Disk &disk, std::uint64_t memberId = Self)
{
    return LogStore::open(disk, "q-", memberId).value();
}

LogEntry makeEntry(LogIndex index, Term term, std::size_t size = 5)
{
    return { index, term, 0, Bytes(size, static_cast<std::uint8_t>(index)) };
}

std::vector<LogEntry> makeEntries(LogIndex first, std::size_t count, Term term)
{
    std::vector<LogEntry> entries;
    for (std::size_t i = 0; i < count; ++i)
        entries.push_back(makeEntry(first + i, term));
    return entries;
}

ResultCode openCode(Disk &disk, std::uint64_t memberId = Self)
{
    const auto result = LogStore::open(disk, "q-", memberId);
    return result ? ResultCode::Ok : result.error().code();
}

// Expected content of a store: all synced data, possibly followed by entries that are appended but
// not synced.
struct Model
{
    HardState hardState;
    Snapshot snapshot;
    std::vector<LogEntry> appended; // Entries after the snapshot.
    std::size_t durable = 0; // Number of leading entries that must survive a crash.

    LogIndex last() const { return snapshot.index + appended.size(); }

    void append(const LogEntry &entry)
    {
        appended.resize(entry.index - snapshot.index - 1);
        durable = std::min(durable, appended.size());
        appended.push_back(entry);
    }

    void compact(const Snapshot &next)
    {
        const auto covered = std::min<std::size_t>(next.index - snapshot.index, appended.size());
        const bool connects = covered > 0 && appended[covered - 1].term == next.term
            && appended[covered - 1].index == next.index;
        const auto dropped = connects ? covered : appended.size();
        appended.erase(appended.begin(), appended.begin() + static_cast<std::ptrdiff_t>(dropped));
        durable = appended.size();
        snapshot = next;
    }
};

// Runs random operations on a store and its model; the model changes only if the store succeeds.
class Driver
{
public:
    Driver(FakeDisk &disk, std::mt19937_64 &random)
        : m_random(random)
        , m_store(openStore(disk))
    {
        static_cast<void>(m_store->takeRecoveredState());
    }

    // After a crash within the operation the store must match `model` (before) or `attempted`
    // (after).
    void run(Model &model, Model &attempted)
    {
        switch (m_random() % 8) {
        case 0:
            attempted.hardState = { model.hardState.term + 1, m_random() % 4 };
            m_store->saveHardState(attempted.hardState);
            break;
        case 1:
        case 2:
            m_store->sync();
            attempted.durable = attempted.appended.size();
            break;
        case 3:
            saveSnapshot(attempted);
            break;
        default:
            append(attempted);
        }
        model = attempted;
    }

private:
    void append(Model &model)
    {
        const bool overwrites = !model.appended.empty() && m_random() % 6 == 0;
        const auto back = overwrites ? m_random() % model.appended.size() + 1 : 0;
        const LogIndex index = model.last() + 1 - back;
        const LogEntry entry = makeEntry(index, ++m_term, m_random() % 300);
        model.append(entry);
        m_store->append({ entry });
    }

    void saveSnapshot(Model &model)
    {
        const bool isUnrelated = m_random() % 4 == 0 || model.appended.empty();
        Snapshot next { model.last() + 1 + m_random() % 3, ++m_term, { 1 }, { 2, 3 } };
        if (!isUnrelated) {
            const LogEntry &entry = model.appended[m_random() % model.appended.size()];
            next.index = entry.index;
            next.term = entry.term;
        }
        model.compact(next);
        m_store->saveSnapshot(next);
    }

    std::mt19937_64 &m_random;
    std::unique_ptr<LogStore> m_store;
    Term m_term = 0;
};

bool matches(const RecoveredState &found, const Model &model)
{
    if (found.hardState != model.hardState || found.snapshot != model.snapshot)
        return false;
    const std::size_t n = found.entries.size();
    return n >= model.durable && n <= model.appended.size()
        && std::equal(found.entries.begin(), found.entries.end(), model.appended.begin());
}

// A crash within an operation leaves the content before or after it. If a truncation is already
// durable, the entry that replaces the truncated ones may be missing.
bool isValidAfterCrash(const RecoveredState &found, const Model &before, const Model &after)
{
    Model truncated = before;
    truncated.durable = std::min(before.durable, after.durable);
    return matches(found, truncated) || matches(found, after);
}

class LogStoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LogStoreTest);
    CPPUNIT_TEST(restoresStateOnReopen);
    CPPUNIT_TEST(rejectsStoreOfAnotherMember);
    CPPUNIT_TEST(rejectsMissingFiles);
    CPPUNIT_TEST(rejectsGapBetweenSegments);
    CPPUNIT_TEST(detectsFlippedBitInEveryDurableByte);
    CPPUNIT_TEST(crashAtEveryStepPreservesSyncedData);
    CPPUNIT_TEST(recoveredEntriesAreDurable);
    CPPUNIT_TEST(syncsOnceForManyEntries);
    CPPUNIT_TEST(removesSegmentsCoveredBySnapshots);
    CPPUNIT_TEST(rejectsUseAfterFailedSync);
    CPPUNIT_TEST_SUITE_END();

public:
    void restoresStateOnReopen()
    {
        FakeDisk disk;
        const HardState hardState { 4, 2 };
        {
            const auto store = openStore(disk);
            store->saveHardState(hardState);
            store->append(makeEntries(1, 10, 3));
            store->append(makeEntries(6, 2, 4));
            store->sync();
        }
        const RecoveredState found = openStore(disk)->takeRecoveredState();
        CPPUNIT_ASSERT(hardState == found.hardState);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 7 }, found.entries.size());
        CPPUNIT_ASSERT(makeEntry(5, 3) == found.entries[4]);
        CPPUNIT_ASSERT(makeEntry(7, 4) == found.entries[6]);
    }

    void rejectsStoreOfAnotherMember()
    {
        FakeDisk disk;
        static_cast<void>(openStore(disk));
        CPPUNIT_ASSERT(ResultCode::StorageIdentityMismatch == openCode(disk, Self + 1));
        CPPUNIT_ASSERT(ResultCode::Ok == openCode(disk));
    }

    void rejectsMissingFiles()
    {
        for (const char *name : { "q-identity", "q-hardstate", "q-snapshot" }) {
            FakeDisk disk = populatedDisk();
            disk.remove(name);
            CPPUNIT_ASSERT_MESSAGE(name, ResultCode::StorageCorrupt == openCode(disk));
        }
        FakeDisk disk = populatedDisk();
        for (const std::string &name : disk.list()) {
            if (name.starts_with("q-log."))
                disk.remove(name);
        }
        CPPUNIT_ASSERT(ResultCode::StorageCorrupt == openCode(disk));
    }

    void rejectsGapBetweenSegments()
    {
        FakeDisk disk;
        const auto store = openStore(disk);
        store->saveHardState({ 3, 1 });
        store->append(makeEntries(1, 6, 2));
        store->saveSnapshot({ 3, 2, {}, {} });
        store->append(makeEntries(7, 2, 2));
        store->sync();
        const std::string name = "q-log.00000000000000000001";
        disk.truncate(name, disk.size(name) - 60);
        disk.sync(name);
        CPPUNIT_ASSERT(ResultCode::StorageCorrupt == openCode(disk));
    }

    void detectsFlippedBitInEveryDurableByte()
    {
        const FakeDisk intact = populatedDisk();
        const std::size_t sizeOfMarker = 16 + 9;
        for (const std::string &name : FakeDisk(intact).list()) {
            // Excludes the sync marker at the end: it only states that the records before it are
            // durable.
            const std::size_t end
                = intact.size(name) - (name.starts_with("q-log.") ? sizeOfMarker : 0);
            for (std::size_t byte = 0; byte < end; ++byte) {
                FakeDisk disk = intact;
                disk.flipBit(name, byte, byte % 8);
                CPPUNIT_ASSERT_MESSAGE(name, ResultCode::StorageCorrupt == openCode(disk));
            }
        }
    }

    void crashAtEveryStepPreservesSyncedData()
    {
        CPPUNIT_ASSERT(rc::check([](std::uint64_t seed) {
            std::mt19937_64 random(seed);
            FakeDisk disk;
            Model model;
            for (int restart = 0; restart < 4; ++restart) {
                Model attempted = model;
                runUntilCrash(disk, random, model, attempted);
                disk.crash(random);
                const RecoveredState found = openStore(disk)->takeRecoveredState();
                RC_ASSERT(isValidAfterCrash(found, model, attempted));
                model = { found.hardState, found.snapshot, found.entries, found.entries.size() };
            }
        }));
    }

    // Guards against recovered entries that are not durable: unsynced writes of a terminated
    // process survive in the page cache, but a power failure after recovery would lose them.
    void recoveredEntriesAreDurable()
    {
        FakeDisk disk;
        std::mt19937_64 random;
        const auto first = openStore(disk);
        first->append({ makeEntry(1, 1, 2'000'000) });
        const std::size_t recovered = openStore(disk)->takeRecoveredState().entries.size();
        disk.crash(random, FakeDisk::Loss::Everything);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, recovered);
        CPPUNIT_ASSERT_EQUAL(recovered, openStore(disk)->takeRecoveredState().entries.size());
    }

    void syncsOnceForManyEntries()
    {
        FakeDisk disk;
        const auto store = openStore(disk);
        const auto before = disk.syncs();
        for (LogIndex index = 1; index <= 100; ++index)
            store->append({ makeEntry(index, 1) });
        store->sync();
        store->sync();
        CPPUNIT_ASSERT_EQUAL(before + 1, disk.syncs());
    }

    void removesSegmentsCoveredBySnapshots()
    {
        FakeDisk disk;
        const auto store = openStore(disk);
        for (LogIndex index = 1; index <= 1000; ++index) {
            store->append({ makeEntry(index, 1) });
            if (index % 100 == 0)
                store->saveSnapshot({ index - 10, 1, {}, {} });
        }
        CPPUNIT_ASSERT(disk.list().size() <= 6);
    }

    void rejectsUseAfterFailedSync()
    {
        FakeDisk disk;
        const auto store = openStore(disk);
        store->append({ makeEntry(1, 1) });
        disk.limit(1);
        CPPUNIT_ASSERT_THROW(store->sync(), Error);
        disk.limit(1000);
        CPPUNIT_ASSERT_THROW(store->sync(), Error);
        CPPUNIT_ASSERT_THROW(store->saveHardState({ 2, 0 }), Error);
    }

private:
    static FakeDisk populatedDisk()
    {
        FakeDisk disk;
        const auto store = openStore(disk);
        store->saveHardState({ 3, 1 });
        store->append(makeEntries(1, 6, 2));
        store->sync();
        store->saveSnapshot({ 6, 2, { 1 }, { 2 } });
        store->append(makeEntries(7, 3, 3));
        store->sync();
        return disk;
    }

    static void runUntilCrash(FakeDisk &disk, std::mt19937_64 &random, Model &model,
                              Model &attempted)
    {
        disk.limit(random() % 60);
        try {
            Driver driver(disk, random);
            for (;;) {
                attempted = model;
                driver.run(model, attempted);
            }
        } catch (const Error &error) {
            RC_ASSERT(error.code() == ResultCode::StorageIo);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogStoreTest);

} // namespace
