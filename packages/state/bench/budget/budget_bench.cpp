#include <ggv/state/budget/budget_holder.hpp>
#include <ggv/state/budget/budget_ledger.hpp>
#include <ggv/state/budget/slot_gate.hpp>
#include <ggv/state/budget/token_bucket.hpp>

#include <benchmark/benchmark.h>

#include <algorithm>
#include <string>
#include <vector>

namespace {

using ggv::BudgetDemand;
using ggv::BudgetKey;
using ggv::BudgetKind;
using ggv::BudgetLedger;
using ggv::BudgetLimits;
using ggv::BudgetUnits;
using ggv::HostName;
using ggv::Instant;

constexpr Instant Start { std::chrono::seconds(1000) };
constexpr Instant Never { std::chrono::hours(10000) };
constexpr std::size_t HostsPerDomain = 112; // 5,400 hosts over 48 failure domains.
constexpr std::size_t TargetsPerDomain = 28; // 1,300 targets over 48 failure domains.
constexpr BudgetUnits Slots = 7;
constexpr BudgetUnits FixedSlots = 5;
constexpr std::size_t OtherDomainTargets = 8; // Leased by each host in other domains.

HostName hostName(std::size_t n) { return HostName("entry-host-" + std::to_string(n)); }
BudgetKey targetKey(std::size_t n)
{
    return { BudgetKind::TargetSlots, "target-" + std::to_string(n) };
}

std::size_t targetCount(std::size_t hosts)
{
    return (hosts + HostsPerDomain - 1) / HostsPerDomain * TargetsPerDomain;
}

// Assigns one fixed slot of each target to each of five hosts in the target's failure domain.
BudgetLimits limitsFor(std::size_t hosts)
{
    BudgetLimits result { 1, {} };
    for (std::size_t n = 0; n < targetCount(hosts); ++n) {
        result.limits.push_back({ targetKey(n), Slots, {} });
        const std::size_t first = n / TargetsPerDomain * HostsPerDomain;
        const std::size_t count = std::min(HostsPerDomain, hosts - first);
        for (std::size_t it = 0; it < FixedSlots; ++it)
            result.limits.back().fixed.push_back(
                { hostName(first + (n * FixedSlots + it) % count), 1 });
    }
    std::sort(result.limits.begin(), result.limits.end());
    return result;
}

std::vector<BudgetDemand> demandsOfHost(std::size_t host, std::size_t hosts)
{
    std::vector<BudgetDemand> demands;
    const std::size_t first = host / HostsPerDomain * TargetsPerDomain;
    for (std::size_t n = 0; n < TargetsPerDomain; ++n)
        demands.push_back({ targetKey(first + n), 0, 1 });
    for (std::size_t n = 0; n < OtherDomainTargets; ++n)
        demands.push_back(
            { targetKey((host * OtherDomainTargets + n) % targetCount(hosts)), 0, 1 });
    return demands;
}

std::vector<ggv::BudgetHolder> holdersFor(std::size_t hosts, const BudgetLimits &limits)
{
    std::vector<ggv::BudgetHolder> holders;
    for (std::size_t n = 0; n < hosts; ++n)
        holders.push_back(ggv::BudgetHolder::create(
                              { hostName(n), n + 1, {}, Start, 1, limits.fixedOf(hostName(n)) })
                              .value());
    return holders;
}

// Estimates the MessagePack size of a list. Each entry holds the key's kind, its subject and a
// small count.
template <typename Share>
std::size_t encodedBytes(const std::vector<Share> &shares)
{
    constexpr std::size_t EntryOverhead = 6;
    std::size_t bytes = 0;
    for (const Share &it : shares)
        bytes += EntryOverhead + it.key.subject.size();
    return bytes;
}

std::size_t encodedBytes(const ggv::LeaseRequest &request)
{
    constexpr std::size_t HeadBytes = 64;
    return HeadBytes + encodedBytes(request.held) + encodedBytes(request.renewable)
        + encodedBytes(request.retained) + encodedBytes(request.wanted);
}

void ledgerRequest(benchmark::State &state)
{
    const auto hosts = static_cast<std::size_t>(state.range(0));
    const BudgetLimits limits = limitsFor(hosts);
    auto ledger = BudgetLedger::create({}).value();
    ledger.setLimits(limits);
    auto holders = holdersFor(hosts, limits);
    std::size_t host = 0;
    std::size_t requestBytes = 0;
    std::size_t grantBytes = 0;
    Instant now = Start;
    const auto nextRequest = [&] { return holders[host].request(demandsOfHost(host, hosts), now); };
    const ggv::Duration step(500000 / static_cast<ggv::Duration::rep>(hosts));
    const auto answer = [&](const ggv::LeaseRequest &request) {
        return ledger.answer(request, now, { true, 1 });
    };
    const auto acceptGrant = [&](const ggv::LeaseGrant &grant) {
        holders[host].accept(grant, now);
        host = (host + 1) % hosts;
        now += step;
    };
    // Runs 7 s of requests, which is longer than the grace period.
    for (std::size_t n = 0; n < hosts * 14; ++n)
        acceptGrant(*answer(nextRequest()));
    while (state.KeepRunning()) {
        state.PauseTiming();
        const auto request = nextRequest();
        state.ResumeTiming();
        const auto grant = answer(request);
        state.PauseTiming();
        requestBytes += encodedBytes(request);
        grantBytes += encodedBytes(grant->shares) + encodedBytes(grant->fixed);
        acceptGrant(*grant);
        state.ResumeTiming();
    }
    state.counters["requestBytes"]
        = benchmark::Counter(static_cast<double>(requestBytes), benchmark::Counter::kAvgIterations);
    state.counters["grantBytes"]
        = benchmark::Counter(static_cast<double>(grantBytes), benchmark::Counter::kAvgIterations);
}

void gateAcquire(benchmark::State &state)
{
    static ggv::SlotGate gate;
    if (state.thread_index() == 0)
        gate.setLimit(1000, Never, 0);
    while (state.KeepRunning())
        benchmark::DoNotOptimize(gate.tryAcquire(Start));
}

void bucketTake(benchmark::State &state)
{
    static ggv::TokenBucket bucket;
    if (state.thread_index() == 0)
        bucket.setRate(~0U, Never, Start);
    Instant now = Start;
    while (state.KeepRunning()) {
        now += ggv::Duration(1);
        benchmark::DoNotOptimize(bucket.tryAcquire(1, now));
    }
}

BENCHMARK(ledgerRequest)
    ->Arg(9)
    ->Arg(450)
    ->Arg(1350)
    ->Arg(2700)
    ->Arg(5400)
    ->Iterations(20000)
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(gateAcquire)->ThreadRange(1, 8);
BENCHMARK(bucketTake)->ThreadRange(1, 8);

} // namespace
