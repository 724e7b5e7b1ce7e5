#pragma once

#include <ggv/state/budget/budget_limits.hpp>
#include <ggv/state/model/register.hpp>

#include <cstdint>

namespace ggv {

//! Part of a target's slots that its failure domain may use without a lease.
inline constexpr std::uint32_t DefaultFixedPercent = 75;

/**
 * @brief Derives all limits and fixed shares of a register version; the same on every host.
 *
 * A target's fixed slots are spread evenly over the entry hosts of its failure domain; slots that
 * do not divide go to the hosts with the highest rendezvous hashes, so that a change of one host
 * moves few of them. A target has at least one fixed slot if its domain has an entry host. Links
 * have one limit for each direction.
 * @param content The register.
 * @param fixedPercent Part of the slots that is fixed, at most 100.
 * @return The limits, sorted by key.
 */
[[nodiscard]] BudgetLimits limitsFromRegister(const Register &content,
                                              std::uint32_t fixedPercent = DefaultFixedPercent);

} // namespace ggv
