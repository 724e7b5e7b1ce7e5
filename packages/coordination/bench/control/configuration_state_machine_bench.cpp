#include <ggv/coordination/control/configuration_state_machine.hpp>
#include <ggv/protocol/codec/change_codec.hpp>

#include <benchmark/benchmark.h>

#include <string>

namespace {

using namespace ggv;

// Applies a number of distinct changes, so that the snapshot contains their outcomes.
void applyChanges(ConfigurationStateMachine &machine, std::int64_t count)
{
    for (std::int64_t i = 0; i < count; ++i) {
        const ChangeCommand command { ChangeId("change-" + std::to_string(i)), "ada", 7, 1, {} };
        machine.apply(static_cast<LogIndex>(i + 1), encodeChangeCommand(command));
    }
}

void encodeSnapshot(benchmark::State &state)
{
    ConfigurationStateMachine machine([](const auto &, ByteView) {});
    applyChanges(machine, state.range(0));
    std::size_t size = 0;
    for ([[maybe_unused]] auto _ : state)
        size = machine.encode().size();
    state.counters["bytes"] = static_cast<double>(size);
}

void restoreSnapshot(benchmark::State &state)
{
    ConfigurationStateMachine machine([](const auto &, ByteView) {});
    applyChanges(machine, state.range(0));
    const Bytes snapshot = machine.encode();
    for ([[maybe_unused]] auto _ : state)
        machine.restore(snapshot);
}

BENCHMARK(encodeSnapshot)->Arg(1'000)->Arg(10'000)->Arg(100'000)->Unit(benchmark::kMillisecond);
BENCHMARK(restoreSnapshot)->Arg(1'000)->Arg(10'000)->Arg(100'000)->Unit(benchmark::kMillisecond);

} // namespace
