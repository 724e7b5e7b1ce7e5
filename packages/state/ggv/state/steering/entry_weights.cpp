#include <ggv/state/steering/entry_weights.hpp>

#include <algorithm>

namespace ggv {

namespace {

//! Returns the demand that the domain cannot serve itself.
double overflowOf(const DomainLoad &domain, double maximumUtilization) noexcept
{
    if (!domain.hasEntryHost)
        return domain.demand;
    return std::max(0.0, domain.demand - domain.capacity * maximumUtilization);
}

//! Returns the capacity that the domain can offer to callers of other domains.
double spareOf(const DomainLoad &domain, double maximumUtilization) noexcept
{
    if (!domain.hasEntryHost)
        return 0.0;
    return std::max(0.0, domain.capacity * maximumUtilization - domain.demand);
}

//! Overflow and spare capacity of a group of domains, and the matched share of each.
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

//! Sums the overflow and spare capacity that remain after each region has matched its own domains.
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

//! Assigns callers that exceed all spare capacity: to their own domain, or in proportion to
//! capacity if it has no entry host. They are shed there.
void assignRemainder(std::span<const DomainLoad> domains, std::size_t from, double remainder,
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
    const double moved = own.hasEntryHost ? overflowShare : 1.0;
    const auto region = matchRegion(domains, own.region, policy.maximumUtilization);
    const auto all = matchAll(domains, policy.maximumUtilization);
    const double toOwnRegion = moved * region.movedShare();
    const double toOtherRegions = (moved - toOwnRegion) * all.movedShare();
    for (std::size_t n = 0; n < domains.size(); ++n) {
        const double spare = spareOf(domains[n], policy.maximumUtilization);
        const auto match = matchRegion(domains, domains[n].region, policy.maximumUtilization);
        if (domains[n].region == own.region && region.spare > 0.0)
            weights[n] += toOwnRegion * spare / region.spare;
        if (all.spare > 0.0)
            weights[n] += toOtherRegions * spare * (1.0 - match.usedShare()) / all.spare;
    }
    assignRemainder(domains, from, 1.0 - toOwnRegion - toOtherRegions, weights);
}

} // namespace ggv
