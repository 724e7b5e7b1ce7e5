#include <ggv/state/steering/entry_weights.hpp>

#include <algorithm>

namespace ggv {

namespace {

//! Demand that a domain cannot serve itself.
double overflowOf(const DomainLoad &domain, double maximumUtilization) noexcept
{
    if (!domain.hasEntryHost)
        return domain.demand;
    return std::max(0.0, domain.demand - domain.capacity * maximumUtilization);
}

//! Capacity that a domain can lend.
double spareOf(const DomainLoad &domain, double maximumUtilization) noexcept
{
    if (!domain.hasEntryHost)
        return 0.0;
    return std::max(0.0, domain.capacity * maximumUtilization - domain.demand);
}

//! Overflow and spare capacity of a group of domains, and how much of each is matched.
struct Match
{
    double overflow = 0.0;
    double spare = 0.0;

    [[nodiscard]] double movedShare() const noexcept
    {
        return overflow > 0.0 ? std::min(1.0, spare / overflow) : 0.0;
    }
    [[nodiscard]] double usedShare() const noexcept
    {
        return spare > 0.0 ? std::min(1.0, overflow / spare) : 0.0;
    }
};

Match matchRegion(std::span<const DomainLoad> domains, std::size_t region,
                  double maximumUtilization) noexcept
{
    Match match;
    for (const auto &it : domains) {
        if (it.region != region)
            continue;
        match.overflow += overflowOf(it, maximumUtilization);
        match.spare += spareOf(it, maximumUtilization);
    }
    return match;
}

//! What is left of all regions after each has matched its own domains.
Match matchAll(std::span<const DomainLoad> domains, double maximumUtilization) noexcept
{
    Match match;
    for (const auto &it : domains) {
        const auto own = matchRegion(domains, it.region, maximumUtilization);
        match.overflow += overflowOf(it, maximumUtilization) * (1.0 - own.movedShare());
        match.spare += spareOf(it, maximumUtilization) * (1.0 - own.usedShare());
    }
    return match;
}

//! Callers without an entry host of their own that fit nowhere are shed where capacity is.
void placeRemainder(std::span<const DomainLoad> domains, std::size_t from, double remainder,
                    std::span<double> weights) noexcept
{
    if (domains[from].hasEntryHost) {
        weights[from] += remainder;
        return;
    }
    double capacity = 0.0;
    for (const auto &it : domains)
        capacity += it.hasEntryHost ? it.capacity : 0.0;
    for (std::size_t n = 0; n < domains.size() && capacity > 0.0; ++n)
        weights[n] += domains[n].hasEntryHost ? remainder * domains[n].capacity / capacity : 0.0;
}

} // namespace

void entryWeights(std::span<const DomainLoad> domains, std::size_t from,
                  const EntryWeightPolicy &policy, std::span<double> weights) noexcept
{
    std::ranges::fill(weights, 0.0);
    const auto &own = domains[from];
    const double overflow = overflowOf(own, policy.maximumUtilization);
    const double overflowShare = own.demand > 0.0 ? overflow / own.demand : 0.0;
    const double moving = own.hasEntryHost ? overflowShare : 1.0;
    const auto region = matchRegion(domains, own.region, policy.maximumUtilization);
    const auto all = matchAll(domains, policy.maximumUtilization);
    const double inRegion = moving * region.movedShare();
    const double elsewhere = (moving - inRegion) * all.movedShare();
    for (std::size_t n = 0; n < domains.size(); ++n) {
        const double spare = spareOf(domains[n], policy.maximumUtilization);
        const auto match = matchRegion(domains, domains[n].region, policy.maximumUtilization);
        if (domains[n].region == own.region && region.spare > 0.0)
            weights[n] += inRegion * spare / region.spare;
        if (all.spare > 0.0)
            weights[n] += elsewhere * spare * (1.0 - match.usedShare()) / all.spare;
    }
    placeRemainder(domains, from, 1.0 - inRegion - elsewhere, weights);
}

} // namespace ggv
