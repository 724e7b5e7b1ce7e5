#include <ggv/state/steering/target_choice.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace ggv {

namespace {

constexpr std::uint32_t TrialLimit = 1;

//! Preference group of a candidate; a group is used only if all better groups are exhausted.
enum class Tier : std::uint8_t { Near, Far, NearReserve, FarReserve, Excluded };

struct Ranked
{
    Tier tier = Tier::Excluded;
    double cost = std::numeric_limits<double>::infinity();
    std::uint32_t index = 0;

    [[nodiscard]] bool isBetterThan(const Ranked &other) const noexcept
    {
        return tier != other.tier ? tier < other.tier : cost < other.cost;
    }
};

using BestRanked = std::array<Ranked, TargetOrder::Capacity>;

double effectiveWeight(const TargetCandidate &candidate, const ChoicePolicy &policy) noexcept
{
    switch (candidate.health) {
    case HealthState::Working:
        return candidate.weight;
    case HealthState::Suspect:
        return candidate.weight * policy.suspectWeight;
    case HealthState::Down:
    case HealthState::Leaving:
        return 0.0;
    }
    return 0.0;
}

std::uint32_t effectiveLimit(const TargetCandidate &candidate) noexcept
{
    if (candidate.health == HealthState::Suspect)
        return std::min(candidate.limit, TrialLimit);
    return candidate.limit;
}

//! Determines the preference group of a candidate. All candidates are compared with the same random
//! draw, so that all targets of a draining region move to a worse group together.
Tier tierOf(const TargetCandidate &candidate, double weight, double draw,
            Duration roundTripLimit) noexcept
{
    const bool isFar = candidate.proximity == Proximity::OtherRegion;
    if (isFar && candidate.roundTrip > roundTripLimit)
        return Tier::Excluded;
    if (weight <= 0.0 || candidate.inFlight >= effectiveLimit(candidate))
        return Tier::Excluded;
    if (draw < weight)
        return isFar ? Tier::Far : Tier::Near;
    return isFar ? Tier::FarReserve : Tier::NearReserve;
}

double costOf(const TargetCandidate &candidate, double weight, const ChoicePolicy &policy) noexcept
{
    const double load = static_cast<double>(candidate.inFlight) / (candidate.limit * weight);
    const auto service = static_cast<double>(candidate.serviceTime.count());
    const auto network = static_cast<double>(candidate.roundTrip.count());
    return network + service * (1.0 + policy.loadFactor * load);
}

//! Returns the shortest round-trip time to a working target of the entry host's region, even if it
//! currently has no free slot.
Duration nearestRoundTrip(std::span<const TargetCandidate> candidates,
                          const ChoicePolicy &policy) noexcept
{
    auto nearest = Duration::max();
    for (const auto &it : candidates) {
        const bool isNear = it.proximity != Proximity::OtherRegion;
        if (isNear && it.health == HealthState::Working && it.limit > 0
            && effectiveWeight(it, policy) > 0.0)
            nearest = std::min(nearest, it.roundTrip);
    }
    return nearest;
}

//! Returns the maximum round-trip time at which another region is faster than waiting for a slot in
//! the entry host's region.
Duration maximumRoundTrip(std::span<const TargetCandidate> candidates,
                          const ChoicePolicy &policy) noexcept
{
    const auto nearest = nearestRoundTrip(candidates, policy);
    if (nearest == Duration::max() || policy.ownRegionWait == Duration::max())
        return Duration::max();
    return nearest + policy.ownRegionWait;
}

void insertRanked(BestRanked &best, Ranked entry) noexcept
{
    for (auto &it : best) {
        if (entry.isBetterThan(it))
            std::swap(entry, it);
    }
}

} // namespace

TargetOrder chooseTarget(std::span<const TargetCandidate> candidates, RandomSource &random,
                         const ChoicePolicy &policy) noexcept
{
    TargetOrder order;
    if (candidates.empty())
        return order;
    const double draw = uniformFraction(random);
    const std::size_t start = random() % candidates.size();
    const auto roundTripLimit = maximumRoundTrip(candidates, policy);
    BestRanked best;
    for (std::size_t n = 0; n < candidates.size(); ++n) {
        const auto &candidate = candidates[(start + n) % candidates.size()];
        const double weight = effectiveWeight(candidate, policy);
        const auto tier = tierOf(candidate, weight, draw, roundTripLimit);
        if (tier != Tier::Excluded)
            insertRanked(best, { tier, costOf(candidate, weight, policy), candidate.index });
    }
    for (const auto &it : best) {
        if (it.tier != Tier::Excluded)
            order.append(it.index);
    }
    return order;
}

} // namespace ggv
