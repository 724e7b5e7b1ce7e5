#include <ggv/state/budget/fair_share.hpp>

#include <algorithm>

namespace ggv {

namespace {

// Largest level at which the sum of min(want, level) fits into the capacity.
std::int64_t fairLevel(std::int64_t capacity, std::vector<BudgetUnits> wants)
{
    std::sort(wants.begin(), wants.end());
    std::int64_t left = capacity;
    auto count = static_cast<std::int64_t>(wants.size());
    for (const BudgetUnits want : wants) {
        if (want * count > left)
            return left / count;
        left -= want;
        --count;
    }
    return wants.empty() ? 0 : wants.back();
}

} // namespace

std::vector<BudgetUnits> fairShares(std::int64_t capacity, const std::vector<BudgetUnits> &wants,
                                    std::size_t firstExtra)
{
    std::vector<BudgetUnits> shares(wants.size(), 0);
    if (capacity <= 0)
        return shares;
    const std::int64_t level = fairLevel(capacity, wants);
    std::int64_t left = capacity;
    for (std::size_t n = 0; n < wants.size(); ++n) {
        shares[n] = static_cast<BudgetUnits>(std::min<std::int64_t>(wants[n], level));
        left -= shares[n];
    }
    for (std::size_t n = 0; n < wants.size() && left > 0; ++n) {
        const std::size_t it = (firstExtra + n) % wants.size();
        if (shares[it] >= wants[it])
            continue;
        ++shares[it];
        --left;
    }
    return shares;
}

} // namespace ggv
