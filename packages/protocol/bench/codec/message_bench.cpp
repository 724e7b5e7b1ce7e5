#include <ggv/protocol/codec/peer_codec.hpp>
#include <ggv/protocol/codec/register_codec.hpp>

#include <string>

#include <benchmark/benchmark.h>

namespace {

// Builds a delta that changes the given number of targets, as a drain by an operator does.
ggv::RegisterDelta makeDelta(std::int64_t targets)
{
    ggv::RegisterDelta delta;
    delta.from = 31'999;
    delta.to = 32'000;
    for (std::int64_t n = 0; n < targets; ++n) {
        ggv::Target target;
        target.name = ggv::TargetName("catalogue-" + std::to_string(n));
        target.service = ggv::ServiceName("catalogue");
        target.domain = ggv::FailureDomainName("central-a");
        target.endpoint = { "127.0.0.1", 9001 };
        delta.targets.put.push_back(target);
    }
    return delta;
}

void encodeDelta(benchmark::State &state)
{
    const auto delta = makeDelta(state.range(0));
    std::size_t bytes = 0;
    for ([[maybe_unused]] auto it : state)
        bytes = ggv::encodeDelta(delta).size();
    state.counters["bytes"] = static_cast<double>(bytes);
}

void decodeDelta(benchmark::State &state)
{
    const auto bytes = ggv::encodeDelta(makeDelta(state.range(0)));
    for ([[maybe_unused]] auto it : state)
        benchmark::DoNotOptimize(ggv::decodeDelta(bytes));
}

// Encodes the reports of all hosts below a relay as a single message.
void encodeReports(benchmark::State &state)
{
    ggv::HostStatusReports reports;
    for (std::int64_t n = 0; n < state.range(0); ++n)
        reports.reports.push_back({ ggv::HostName("central-a-" + std::to_string(n)),
                                    1'780'000'000'000'000, 100'000, 32'000, false });
    std::size_t bytes = 0;
    for ([[maybe_unused]] auto it : state)
        bytes = ggv::encodePeerMessage(reports).size();
    state.counters["bytes"] = static_cast<double>(bytes);
}

BENCHMARK(encodeDelta)->Arg(1)->Arg(16)->Arg(256);
BENCHMARK(decodeDelta)->Arg(1)->Arg(16)->Arg(256);
BENCHMARK(encodeReports)->Arg(12)->Arg(113)->Arg(400);

} // namespace
