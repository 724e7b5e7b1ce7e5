#include <ggv/state/storage/log_store.hpp>

#include <benchmark/benchmark.h>

#include <cstdlib>
#include <filesystem>
#include <string>

namespace {

using namespace ggv;

constexpr std::size_t PayloadBytes = 200;

// Creates a temporary data folder with a log store and removes it on destruction.
class TemporaryFolder
{
public:
    TemporaryFolder()
        : m_name((std::filesystem::temp_directory_path() / "ggv-bench-XXXXXX").string())
    {
        if (::mkdtemp(m_name.data()) == nullptr)
            std::abort();
        disk = openPosixDisk(m_name);
        store = LogStore::open(*disk, "bench-", 1).value();
    }

    ~TemporaryFolder() { std::filesystem::remove_all(m_name); }

private:
    std::string m_name;

public:
    std::unique_ptr<Disk> disk;
    std::unique_ptr<LogStore> store;
};

void appendAndSync(benchmark::State &state)
{
    TemporaryFolder folder;
    const auto batch = static_cast<std::size_t>(state.range(0));
    LogIndex index = 0;
    for ([[maybe_unused]] auto _ : state) {
        std::vector<LogEntry> entries;
        for (std::size_t i = 0; i < batch; ++i)
            entries.push_back({ ++index, 1, 0, Bytes(PayloadBytes) });
        folder.store->append(entries);
        folder.store->sync();
    }
    state.SetItemsProcessed(state.iterations() * state.range(0));
}

void saveSnapshot(benchmark::State &state)
{
    TemporaryFolder folder;
    Snapshot snapshot { 0, 1, {}, Bytes(static_cast<std::size_t>(state.range(0))) };
    for ([[maybe_unused]] auto _ : state) {
        folder.store->append({ { ++snapshot.index, 1, 0, Bytes(PayloadBytes) } });
        folder.store->saveSnapshot(snapshot);
    }
    state.SetBytesProcessed(state.iterations() * state.range(0));
}

void openStore(benchmark::State &state)
{
    TemporaryFolder folder;
    for (LogIndex index = 1; index <= static_cast<LogIndex>(state.range(0)); ++index)
        folder.store->append({ { index, 1, 0, Bytes(PayloadBytes) } });
    folder.store->sync();
    for ([[maybe_unused]] auto _ : state)
        benchmark::DoNotOptimize(LogStore::open(*folder.disk, "bench-", 1).value());
    state.SetItemsProcessed(state.iterations() * state.range(0));
}

BENCHMARK(appendAndSync)->Arg(1)->Arg(8)->Arg(64)->Arg(512)->UseRealTime();
BENCHMARK(saveSnapshot)->Arg(10'000)->Arg(100'000)->Arg(1'000'000)->Arg(10'000'000)->UseRealTime();
BENCHMARK(openStore)->Arg(100)->Arg(1'000)->Arg(10'000)->UseRealTime();

} // namespace
