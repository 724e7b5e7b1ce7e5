#include <ggv/state/budget/limits_from_register.hpp>

#include <ggv/state/budget/budget_keys.hpp>

#include <algorithm>
#include <limits>
#include <string>
#include <utility>

#include <xxhash.h>

namespace ggv {

namespace {

constexpr std::uint64_t HundredPercent = 100;
constexpr std::uint64_t KilobitsPerMegabit = 1000;

using RankedHost = std::pair<std::uint64_t, const EntryHost *>;

std::uint64_t rendezvousHash(const TargetName &target, const HostName &host)
{
    const std::string text = target.text() + '\0' + host.text();
    return XXH64(text.data(), text.size(), 0);
}

// Returns the hosts in descending order of their rendezvous hash for the target.
std::vector<RankedHost> rankedHosts(const TargetName &target,
                                    const std::vector<const EntryHost *> &hosts)
{
    std::vector<RankedHost> ranked;
    ranked.reserve(hosts.size());
    for (const EntryHost *host : hosts)
        ranked.emplace_back(rendezvousHash(target, host->name), host);
    std::sort(ranked.begin(), ranked.end(), [](const RankedHost &one, const RankedHost &two) {
        return one.first != two.first ? one.first > two.first : one.second->name < two.second->name;
    });
    return ranked;
}

BudgetUnits fixedUnits(const Target &target, std::uint32_t fixedPercent)
{
    const std::uint64_t percent = std::min<std::uint64_t>(fixedPercent, HundredPercent);
    const auto units = static_cast<BudgetUnits>(target.slots * percent / HundredPercent);
    return std::max(units, std::min<BudgetUnits>(target.slots, 1));
}

BudgetLimit slotLimit(const Target &target, const std::vector<const EntryHost *> &hosts,
                      std::uint32_t fixedPercent)
{
    BudgetLimit limit { targetSlotsKey(target.name), target.slots, {} };
    if (hosts.empty())
        return limit;
    const BudgetUnits units = fixedUnits(target, fixedPercent);
    const auto count = static_cast<BudgetUnits>(hosts.size());
    BudgetUnits extra = units % count;
    for (const auto &[hash, host] : rankedHosts(target.name, hosts)) {
        const BudgetUnits share = units / count + (extra > 0 ? 1 : 0);
        extra -= extra > 0 ? 1 : 0;
        if (share > 0)
            limit.fixed.push_back({ host->name, share });
    }
    std::sort(limit.fixed.begin(), limit.fixed.end());
    return limit;
}

BudgetUnits kilobitsPerSecond(const Link &link)
{
    const std::uint64_t rate = link.megabitsPerSecond * KilobitsPerMegabit;
    return static_cast<BudgetUnits>(
        std::min<std::uint64_t>(rate, std::numeric_limits<BudgetUnits>::max()));
}

} // namespace

BudgetLimits limitsFromRegister(const Register &content, std::uint32_t fixedPercent)
{
    BudgetLimits result { content.version(), {} };
    for (const Target &target : content.content().targets)
        result.limits.push_back(slotLimit(target, content.hostsOf(target.domain), fixedPercent));
    for (const Link &link : content.content().links) {
        const BudgetUnits rate = kilobitsPerSecond(link);
        result.limits.push_back({ linkRateKey(link.first, link.second), rate, {} });
        result.limits.push_back({ linkRateKey(link.second, link.first), rate, {} });
    }
    for (const ShiftCap &cap : content.content().shiftCaps)
        result.limits.push_back(
            { shiftRateKey(cap.service, cap.from, cap.to), cap.requestsPerSecond, {} });
    std::sort(result.limits.begin(), result.limits.end());
    return result;
}

} // namespace ggv
