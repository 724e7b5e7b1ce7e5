#pragma once

#include <ggv/state/budget/budget.hpp>

#include <compare>
#include <utility>
#include <vector>

namespace ggv {

//! Part of a limit that a host may use without a lease.
struct FixedShare
{
    HostName host;
    BudgetUnits units = 0;

    [[nodiscard]] auto operator<=>(const FixedShare &) const = default;
};

//! One shared limit and the fixed shares of the hosts.
struct BudgetLimit
{
    BudgetKey key;
    BudgetUnits units = 0;
    std::vector<FixedShare> fixed; //!< Their sum is at most `units`; empty for links and shifts.

    [[nodiscard]] auto operator<=>(const BudgetLimit &) const = default;
};

//! All limits of one register version, sorted by key.
struct BudgetLimits
{
    RegisterVersion version = 0;
    std::vector<BudgetLimit> limits;

    /**
     * @brief Returns the fixed shares of one host, sorted by key.
     * @param host Name of the host.
     */
    [[nodiscard]] std::vector<BudgetShare> fixedOf(const HostName &host) const
    {
        std::vector<BudgetShare> shares;
        for (const BudgetLimit &limit : limits) {
            for (const FixedShare &share : limit.fixed) {
                if (share.host == host)
                    shares.push_back({ limit.key, share.units });
            }
        }
        return shares;
    }

    [[nodiscard]] auto operator<=>(const BudgetLimits &) const = default;
};

} // namespace ggv
