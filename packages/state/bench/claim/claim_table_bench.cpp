#include <ggv/state/claim/claim_table.hpp>

#include <benchmark/benchmark.h>

#include <cstdint>

#include <malloc.h>

namespace {

using namespace ggv;

constexpr UnixMillis Start = 1'800'000'000'000;
constexpr UnixMillis Day = 24LL * 3600 * 1000;
constexpr std::size_t AnswerBytes = 256;

// State of the keys in a table.
enum class KeyState { Tombstones, TimedTombstones, Held };

// Spreads numbers evenly over 64 bits like half of a key digest (SplitMix64 finalizer).
std::uint64_t mixBits(std::uint64_t number)
{
    number += 0x9e3779b97f4a7c15ULL;
    number = (number ^ (number >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    number = (number ^ (number >> 27U)) * 0x94d049bb133111ebULL;
    return number ^ (number >> 31U);
}

KeyDigest keyOf(std::uint64_t number) { return { mixBits(number), mixBits(~number) }; }

StoredAnswer answer()
{
    return { 201, { { "Location", "/orders/1" } }, Bytes(AnswerBytes, 'x'), true };
}

void addKey(ClaimTable &table, std::uint64_t number, KeyState fill, UnixMillis now)
{
    const ClaimId claim { 1, number };
    const auto keyTime = fill == KeyState::TimedTombstones ? now : 0;
    benchmark::DoNotOptimize(
        table.claim({ keyOf(number), claim, 1, keyTime, table.position() }, now));
    if (fill != KeyState::Held)
        benchmark::DoNotOptimize(table.complete({ keyOf(number), claim, answer() }, now));
}

ClaimTable filledTable(std::uint64_t count, KeyState fill)
{
    ClaimTableLimits limits;
    limits.maxKeys = 2 * count + 10'000'000;
    ClaimTable table(limits);
    for (std::uint64_t it = 0; it < count; ++it)
        addKey(table, it, fill, Start);
    table.advancePosition(Start + Day); // Stored answers expire and leave tombstones.
    return table;
}

// Claims and completes new keys in a table that holds the given number of tombstones.
void claimAndComplete(benchmark::State &state)
{
    const auto count = static_cast<std::uint64_t>(state.range(0));
    auto table = filledTable(count, KeyState::Tombstones);
    auto nextKey = count;
    while (state.KeepRunning())
        addKey(table, nextKey++, KeyState::Tombstones, Start + Day);
    state.SetItemsProcessed(state.iterations());
}

// Claims keys that are already completed, as a resent request does.
void resend(benchmark::State &state)
{
    const auto count = static_cast<std::uint64_t>(state.range(0));
    auto table = filledTable(count, KeyState::Tombstones);
    std::uint64_t nextKey = 0;
    while (state.KeepRunning()) {
        const auto key = keyOf(mixBits(nextKey++) % count);
        benchmark::DoNotOptimize(table.claim({ key, { 2, nextKey }, 1, 0, 0 }, Start + Day));
    }
    state.SetItemsProcessed(state.iterations());
}

void bytesPerKey(benchmark::State &state)
{
    const auto count = static_cast<std::uint64_t>(state.range(0));
    const auto fill = static_cast<KeyState>(state.range(1));
    while (state.KeepRunning()) {
        const auto before = mallinfo2();
        const auto table = filledTable(count, fill);
        const auto after = mallinfo2();
        const auto used = static_cast<double>(after.uordblks + after.hblkhd)
            - static_cast<double>(before.uordblks + before.hblkhd);
        state.counters["bytes_per_key"] = used / static_cast<double>(count);
        state.counters["encoded_bytes_per_key"]
            = static_cast<double>(table.encode().size()) / static_cast<double>(count);
    }
}

void encode(benchmark::State &state)
{
    const auto table
        = filledTable(static_cast<std::uint64_t>(state.range(0)), KeyState::Tombstones);
    while (state.KeepRunning())
        benchmark::DoNotOptimize(table.encode());
}

void decode(benchmark::State &state)
{
    const auto bytes
        = filledTable(static_cast<std::uint64_t>(state.range(0)), KeyState::Tombstones).encode();
    while (state.KeepRunning())
        benchmark::DoNotOptimize(ClaimTable::decode(bytes));
}

void sizes(benchmark::internal::Benchmark *bench)
{
    for (const auto count : { 10'000, 100'000, 1'000'000, 4'000'000 })
        bench->Arg(count);
}

void sizesAndFills(benchmark::internal::Benchmark *bench)
{
    bench->ArgNames({ "keys", "fill" });
    for (const auto fill : { KeyState::Tombstones, KeyState::TimedTombstones, KeyState::Held }) {
        for (const auto count : { 10'000, 100'000, 1'000'000, 4'000'000 })
            bench->Args({ count, static_cast<int>(fill) });
    }
}

constexpr std::int64_t Operations = 200'000;

BENCHMARK(claimAndComplete)->Apply(sizes)->Iterations(Operations);
BENCHMARK(resend)->Apply(sizes)->Iterations(Operations);
BENCHMARK(bytesPerKey)->Apply(sizesAndFills)->Iterations(1)->Unit(benchmark::kMillisecond);
BENCHMARK(encode)->Apply(sizes)->Unit(benchmark::kMillisecond);
BENCHMARK(decode)->Apply(sizes)->Unit(benchmark::kMillisecond);

} // namespace
