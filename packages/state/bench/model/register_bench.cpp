#include "../sized_register.hpp"

#include <ggv/state/model/register_delta.hpp>
#include <ggv/state/model/register_toml.hpp>

#include <cstdlib>

namespace {

using namespace ggv;
using namespace ggv::bench;

using Edit = void (*)(RegisterContent &);

void changeTarget(RegisterContent &content) { content.targets[0].slots = 9; }

void changeBlock(RegisterContent &content)
{
    content.clientBlocks[content.clientBlocks.size() / 2].nearest = domainName(0);
}

void addHost(RegisterContent &content)
{
    auto host = content.hosts[0];
    host.name = HostName("entry-host-new");
    host.callers.port = 1;
    host.operators.port = 2;
    host.internal.port = 3;
    content.hosts.push_back(host);
}

void removeDomain(RegisterContent &content)
{
    const FailureDomainName spare("failure-domain-spare");
    std::erase_if(content.domains.edit(), [&](const auto &it) { return it.name == spare; });
}

void addDomain(RegisterContent &content)
{
    content.domains.push_back(
        { FailureDomainName("failure-domain-spare"), content.regions[0].name });
}

Register edited(const Register &base, Edit edit)
{
    auto content = base.content();
    edit(content);
    return Register::create(base.version() + 1, std::move(content)).value();
}

void registerCreate(benchmark::State &state)
{
    const auto content = sizedRegister(state).content();
    while (state.KeepRunning()) {
        auto current = Register::create(1, content);
        benchmark::DoNotOptimize(current);
    }
}

void registerMemory(benchmark::State &state)
{
    while (state.KeepRunning()) {
        const auto before = heapBytes();
        const auto current = sizedRegister(state);
        state.counters["bytes"] = heapBytes() - before;
        state.counters["bytes_per_block"]
            = (heapBytes() - before) / static_cast<double>(current.content().clientBlocks.size());
    }
}

// Measures the additional memory of a register derived from another version.
void registerMemoryOfNextVersion(benchmark::State &state)
{
    const auto base = sizedRegister(state);
    const auto delta = diffRegisters(base, edited(base, changeTarget));
    while (state.KeepRunning()) {
        const auto before = heapBytes();
        const auto next = applyDelta(base, delta).value();
        state.counters["bytes"] = heapBytes() - before;
    }
}

void applyEdit(benchmark::State &state, Edit edit)
{
    const auto base = sizedRegister(state);
    const auto delta = diffRegisters(base, edited(base, edit));
    while (state.KeepRunning()) {
        auto next = applyDelta(base, delta);
        benchmark::DoNotOptimize(next);
    }
}

void applyTargetChange(benchmark::State &state) { applyEdit(state, changeTarget); }
void applyBlockChange(benchmark::State &state) { applyEdit(state, changeBlock); }
void applyNewHost(benchmark::State &state) { applyEdit(state, addHost); }

void applyRemovedDomain(benchmark::State &state)
{
    const auto base = edited(sizedRegister(state), addDomain);
    const auto delta = diffRegisters(base, edited(base, removeDomain));
    while (state.KeepRunning()) {
        auto next = applyDelta(base, delta);
        benchmark::DoNotOptimize(next);
    }
}

void checkTargetChange(benchmark::State &state)
{
    const auto base = sizedRegister(state);
    const auto next = edited(base, changeTarget);
    while (state.KeepRunning())
        checkTransition(base, next.content());
}

void diffTargetChange(benchmark::State &state)
{
    const auto base = sizedRegister(state);
    const auto next = applyDelta(base, diffRegisters(base, edited(base, changeTarget))).value();
    while (state.KeepRunning()) {
        auto delta = diffRegisters(base, next);
        benchmark::DoNotOptimize(delta);
    }
}

void findTarget(benchmark::State &state)
{
    const auto current = sizedRegister(state);
    const auto &targets = current.content().targets;
    std::size_t n = 0;
    while (state.KeepRunning()) {
        n = (n + 7919) % targets.size();
        benchmark::DoNotOptimize(current.target(targets[n].name));
    }
}

void formatToml(benchmark::State &state)
{
    const auto current = sizedRegister(state);
    while (state.KeepRunning()) {
        auto text = formatRegisterToml(current.content());
        state.counters["bytes"] = static_cast<double>(text.size());
        benchmark::DoNotOptimize(text);
    }
}

void parseToml(benchmark::State &state)
{
    const auto text = formatRegisterToml(sizedRegister(state).content());
    while (state.KeepRunning()) {
        auto document = parseRegisterToml(text);
        benchmark::DoNotOptimize(document);
    }
}

BENCHMARK(registerCreate)->DenseRange(0, 2)->Unit(benchmark::kMillisecond);
BENCHMARK(registerMemory)->DenseRange(0, 2)->Iterations(1);
BENCHMARK(registerMemoryOfNextVersion)->DenseRange(0, 2)->Iterations(1);
BENCHMARK(applyTargetChange)->DenseRange(0, 2)->Unit(benchmark::kMillisecond);
BENCHMARK(applyBlockChange)->DenseRange(0, 2)->Unit(benchmark::kMillisecond);
BENCHMARK(applyNewHost)->DenseRange(0, 2)->Unit(benchmark::kMillisecond);
BENCHMARK(applyRemovedDomain)->DenseRange(0, 2)->Unit(benchmark::kMillisecond);
BENCHMARK(checkTargetChange)->DenseRange(0, 2)->Unit(benchmark::kMillisecond);
BENCHMARK(diffTargetChange)->DenseRange(0, 2)->Unit(benchmark::kMillisecond);
BENCHMARK(findTarget)->DenseRange(0, 2);
BENCHMARK(formatToml)->DenseRange(0, 2)->Unit(benchmark::kMillisecond);
BENCHMARK(parseToml)->DenseRange(0, 2)->Unit(benchmark::kMillisecond);

} // namespace
