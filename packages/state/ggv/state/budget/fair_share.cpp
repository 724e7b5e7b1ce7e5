#include <ggv/state/budget/fair_share.hpp>

#include <algorithm>

namespace ggv {

namespace {

// Returns the largest level at which the sum of min(demand, level) fits into the capacity.
std::int64_t fairLevel(std::int64_t capacity, std::vector<BudgetUnits> demands)
{
    std::sort(demands.begin(), demands.end());
    std::int64_t left = capacity;
    auto count = static_cast<std::int64_t>(demands.size());
    for (const BudgetUnits demand : demands) {
        if (demand * count > left)
            return left / count;
        left -= demand;
        --count;
    }
    return demands.empty() ? 0 : demands.back();
}

} // namespace

std::vector<BudgetUnits> fairShares(std::int64_t capacity, const std::vector<BudgetUnits> &demands,
                                    std::size_t firstExtra)
{
    std::vector<BudgetUnits> shares(demands.size(), 0);
    if (capacity <= 0)
        return shares;
    const std::int64_t level = fairLevel(capacity, demands);
    std::int64_t left = capacity;
    for (std::size_t n = 0; n < demands.size(); ++n) {
        shares[n] = static_cast<BudgetUnits>(std::min<std::int64_t>(demands[n], level));
        left -= shares[n];
    }
    for (std::size_t n = 0; n < demands.size() && left > 0; ++n) {
        const std::size_t it = (firstExtra + n) % demands.size();
        if (shares[it] >= demands[it])
            continue;
        ++shares[it];
        --left;
    }
    return shares;
}

} // namespace ggv
