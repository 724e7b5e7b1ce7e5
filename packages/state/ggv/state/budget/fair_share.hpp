#pragma once

#include <ggv/state/budget/budget.hpp>

#include <cstdint>
#include <vector>

namespace ggv {

/**
 * @brief Splits a capacity by max-min fairness.
 * @param capacity Units to split; nothing is given out if it is not positive.
 * @param wants Units that each holder wants.
 * @param firstExtra Index of the holder that is first to get one of the units that do not divide.
 * @return One share per want: at most the want, and shares below their want differ by at most one.
 */
[[nodiscard]] std::vector<BudgetUnits>
fairShares(std::int64_t capacity, const std::vector<BudgetUnits> &wants, std::size_t firstExtra);

} // namespace ggv
