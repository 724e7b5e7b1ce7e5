#include "../sized_register.hpp"

#include <ggv/state/steering/client_block_index.hpp>
#include <ggv/state/steering/lookup_table.hpp>

#include <algorithm>
#include <map>
#include <random>

namespace {

using namespace ggv;
using namespace ggv::bench;

constexpr std::size_t QueryCount = 1 << 14;

std::vector<LookupQuery> randomQueries(const Register &current)
{
    const auto &content = current.content();
    std::mt19937_64 random(1);
    std::vector<LookupQuery> queries;
    for (std::size_t i = 0; i < QueryCount; ++i) {
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
    while (state.KeepRunning())
        benchmark::DoNotOptimize(index.find(*queries[n++ % QueryCount].client));
    state.SetItemsProcessed(state.iterations());
}

void lookUp(benchmark::State &state)
{
    const auto current = sizedRegister(state);
    const auto queries = randomQueries(current);
    const auto table = LookupTable::create(current, {});
    std::size_t n = 0;
    while (state.KeepRunning()) {
        auto answer = table.lookUp(queries[n++ % QueryCount]);
        benchmark::DoNotOptimize(answer);
    }
    state.SetItemsProcessed(state.iterations());
}

void buildBlockIndex(benchmark::State &state)
{
    const auto current = sizedRegister(state);
    while (state.KeepRunning()) {
        auto index = ClientBlockIndex::build(current.content().clientBlocks);
        state.counters["bytes"] = static_cast<double>(index.memoryBytes());
        state.counters["ranges"] = static_cast<double>(index.rangeCount());
        benchmark::DoNotOptimize(index);
    }
}

void buildTable(benchmark::State &state)
{
    const auto current = sizedRegister(state);
    while (state.KeepRunning()) {
        auto table = LookupTable::create(current, {});
        benchmark::DoNotOptimize(table);
    }
}

// Rebuilds the table after a host becomes unavailable; the client blocks are unchanged.
void rebuildTable(benchmark::State &state)
{
    const auto current = sizedRegister(state);
    const auto previous = LookupTable::create(current, {});
    const LookupContext view { { current.content().hosts[0].name }, {}, 0 };
    while (state.KeepRunning()) {
        auto table = LookupTable::create(current, view, &previous);
        benchmark::DoNotOptimize(table);
    }
}

void tableMemory(benchmark::State &state)
{
    const auto current = sizedRegister(state);
    while (state.KeepRunning()) {
        const auto before = heapBytes();
        const auto table = LookupTable::create(current, {});
        state.counters["bytes"] = heapBytes() - before;
        state.counters["block_index_bytes"] = static_cast<double>(table.blockIndexBytes());
    }
}

// Three regions of two domains with two hosts each, as in both current deployments.
RegisterContent smallContent(Duration linkDelay)
{
    auto content = sizedContent({ 3, 6, 12, 1, 6, 0 });
    for (auto &it : content.links)
        it.oneWayDelay = linkDelay;
    for (unsigned i = 0; i < content.domains.size(); ++i)
        content.clientBlocks.push_back({ "10." + std::to_string(i) + ".0.0/16", domainName(i) });
    return content;
}

// Measures the peak domain load after one domain is lost, relative to the load before, and the
// added delay. If the nearest domain took over all requests, the peak would be 2 and the added
// delay 0.
void lostDomain(benchmark::State &state)
{
    const std::chrono::milliseconds linkDelay(state.range(0));
    const auto current = Register::create(1, smallContent(linkDelay)).value();
    const auto &lost = current.content().domains[0];
    LookupContext view;
    for (const auto *it : current.hostsOf(lost.name))
        view.unavailable.push_back(it->name);
    const auto table = LookupTable::create(current, view);
    std::mt19937_64 random(1);
    std::map<FailureDomainName, double> load;
    double farRequests = 0;
    double requests = 0;
    while (state.KeepRunning()) {
        const IpAddress client { IpFamily::V4, 0, 10U << 24U | 1U };
        const auto answer = table.lookUp({ ServiceName("service-0"), client, random() }).value();
        const auto &domain = answer.hosts().front().host->domain;
        load[domain] += 1;
        farRequests += *current.regionOf(domain) == lost.region ? 0 : 1;
        requests += 1;
    }
    double peak = 0;
    for (const auto &[domain, extra] : load)
        peak = std::max(peak, 1 + extra / requests);
    state.counters["peak_load"] = peak;
    state.counters["added_one_way_ms"]
        = farRequests / requests * static_cast<double>(linkDelay.count());
}

BENCHMARK(findBlock)->DenseRange(0, 2);
BENCHMARK(lookUp)->DenseRange(0, 2);
BENCHMARK(buildBlockIndex)->DenseRange(0, 2)->Unit(benchmark::kMillisecond);
BENCHMARK(buildTable)->DenseRange(0, 2)->Unit(benchmark::kMillisecond);
BENCHMARK(rebuildTable)->DenseRange(0, 2)->Unit(benchmark::kMillisecond);
BENCHMARK(tableMemory)->DenseRange(0, 2)->Iterations(1);
BENCHMARK(lostDomain)->Arg(12)->Arg(35)->Iterations(100'000);

} // namespace
