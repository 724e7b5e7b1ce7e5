#pragma once

#include <ggv/state/budget/budget.hpp>

#include <cstdint>
#include <vector>

namespace ggv {

/**
 * @brief Splits a capacity by max-min fairness.
 * @param capacity Units to split; all shares are zero if it is not positive.
 * @param demands Units that each holder demands.
 * @param firstExtra Index of the holder that receives the first unit of the remainder.
 * @return One share per demand, at most the demand; shares below their demand differ by at most
 * one.
 */
[[nodiscard]] std::vector<BudgetUnits>
fairShares(std::int64_t capacity, const std::vector<BudgetUnits> &demands, std::size_t firstExtra);

} // namespace ggv
