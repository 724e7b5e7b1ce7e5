#pragma once

#include <ggv/state/budget/budget.hpp>

namespace ggv {

/**
 * @brief Key of a target's slots.
 * @param target The target.
 * @return The key.
 */
[[nodiscard]] inline BudgetKey targetSlotsKey(const TargetName &target)
{
    return { BudgetKind::TargetSlots, target.text() };
}

/**
 * @brief Key of a link in one direction.
 * @param from Region that the bytes leave.
 * @param to Region that the bytes enter.
 * @return The key.
 */
[[nodiscard]] inline BudgetKey linkRateKey(const RegionName &from, const RegionName &to)
{
    return { BudgetKind::LinkRate, from.text() + ">" + to.text() };
}

/**
 * @brief Key of a shift cap.
 * @param service The service.
 * @param from Region of the entry host.
 * @param to Region of the target.
 * @return The key.
 */
[[nodiscard]] inline BudgetKey shiftRateKey(const ServiceName &service, const RegionName &from,
                                            const RegionName &to)
{
    return { BudgetKind::ShiftRate, service.text() + ":" + from.text() + ">" + to.text() };
}

} // namespace ggv
