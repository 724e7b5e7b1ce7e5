#pragma once

#include <ggv/state/budget/budget.hpp>

namespace ggv {

/**
 * @brief Returns the key of the slot budget of a target.
 * @param target Name of the target.
 */
[[nodiscard]] inline BudgetKey targetSlotsKey(const TargetName &target)
{
    return { BudgetKind::TargetSlots, target.text() };
}

/**
 * @brief Returns the key of the rate budget of a link in one direction.
 * @param from Region that sends the bytes.
 * @param to Region that receives the bytes.
 */
[[nodiscard]] inline BudgetKey linkRateKey(const RegionName &from, const RegionName &to)
{
    return { BudgetKind::LinkRate, from.text() + ">" + to.text() };
}

/**
 * @brief Returns the key of the rate budget of a shift cap.
 * @param service Name of the service.
 * @param from Region of the entry host.
 * @param to Region of the target.
 */
[[nodiscard]] inline BudgetKey shiftRateKey(const ServiceName &service, const RegionName &from,
                                            const RegionName &to)
{
    return { BudgetKind::ShiftRate, service.text() + ":" + from.text() + ">" + to.text() };
}

} // namespace ggv
