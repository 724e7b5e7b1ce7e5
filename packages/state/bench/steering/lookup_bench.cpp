#include "../sized_register.hpp"

#include <ggv/state/steering/client_block_index.hpp>
#include <ggv/state/steering/lookup_table.hpp>

#include <random>

namespace {

using namespace ggv;
using namespace ggv::bench;

constexpr std::size_t Clients = 1 << 14;

std::vector<LookupQuery> randomQueries(const Register &current)
{
    const auto &content = current.content();
    std::mt19937_64 random(1);
    std::vector<LookupQuery> queries;
    for (std::size_t i = 0; i < Clients; ++i) {
        const auto &service = content.services[random() % content.services.size()];
        const auto &block = content.clientBlocks[random() % content.clientBlocks.size()];
        const auto prefix = IpPrefix::parse(block.prefix).value();
        queries.push_back({ service.name, prefix.address, random() });
    }
    return queries;
}

void findBlock(benchmark::State &state)
{
    const auto current = sizedRegister(state);
    const auto queries = randomQueries(current);
    const auto index = ClientBlockIndex::build(current.content().clientBlocks);
    std::size_t n = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(index.find(*queries[n++ % Clients].client));
    state.SetItemsProcessed(state.iterations());
}

void lookUp(benchmark::State &state)
{
    const auto current = sizedRegister(state);
    const auto queries = randomQueries(current);
    const auto table = LookupTable::create(current, {});
    std::size_t n = 0;
    for (auto _ : state) {
        auto answer = table.lookUp(queries[n++ % Clients]);
        benchmark::DoNotOptimize(answer);
    }
    state.SetItemsProcessed(state.iterations());
}

void buildBlockIndex(benchmark::State &state)
{
    const auto current = sizedRegister(state);
    for (auto _ : state) {
        auto index = ClientBlockIndex::build(current.content().clientBlocks);
        state.counters["bytes"] = static_cast<double>(index.memoryBytes());
        state.counters["ranges"] = static_cast<double>(index.rangeCount());
        benchmark::DoNotOptimize(index);
    }
}

void buildTable(benchmark::State &state)
{
    const auto current = sizedRegister(state);
    for (auto _ : state) {
        auto table = LookupTable::create(current, {});
        benchmark::DoNotOptimize(table);
    }
}

// A host left; the client blocks are the same.
void rebuildTable(benchmark::State &state)
{
    const auto current = sizedRegister(state);
    const auto previous = LookupTable::create(current, {});
    const LookupView view { { current.content().hosts[0].name }, {}, 0 };
    for (auto _ : state) {
        auto table = LookupTable::create(current, view, &previous);
        benchmark::DoNotOptimize(table);
    }
}

void tableMemory(benchmark::State &state)
{
    const auto current = sizedRegister(state);
    for (auto _ : state) {
        const auto before = heapBytes();
        const auto table = LookupTable::create(current, {});
        state.counters["bytes"] = heapBytes() - before;
        state.counters["block_index_bytes"] = static_cast<double>(table.blockIndexBytes());
    }
}

BENCHMARK(findBlock)->DenseRange(0, 2);
BENCHMARK(lookUp)->DenseRange(0, 2);
BENCHMARK(buildBlockIndex)->DenseRange(0, 2)->Unit(benchmark::kMillisecond);
BENCHMARK(buildTable)->DenseRange(0, 2)->Unit(benchmark::kMillisecond);
BENCHMARK(rebuildTable)->DenseRange(0, 2)->Unit(benchmark::kMillisecond);
BENCHMARK(tableMemory)->DenseRange(0, 2)->Iterations(1);

} // namespace
