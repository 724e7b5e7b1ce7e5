#pragma once

#include <ggv/state/budget/budget_limits.hpp>
#include <ggv/state/model/register.hpp>

#include <cstdint>

namespace ggv {

//! Percentage of a target's slots that the hosts of its failure domain may use without a lease.
inline constexpr std::uint32_t DefaultFixedPercent = 75;

/**
 * @brief Derives all limits and fixed shares of a register version. The result is the same on
 * every host.
 *
 * The fixed slots of a target are distributed evenly over the entry hosts of its failure domain.
 * The remainder goes to the hosts with the highest rendezvous hashes, so that adding or removing a
 * host moves few slots. A target has at least one fixed slot if its failure domain has an entry
 * host. Links have one limit per direction.
 * @param content The register.
 * @param fixedPercent Percentage of the slots that is fixed; larger values count as 100.
 * @return The limits, sorted by key.
 */
[[nodiscard]] BudgetLimits limitsFromRegister(const Register &content,
                                              std::uint32_t fixedPercent = DefaultFixedPercent);

} // namespace ggv
