#pragma once

#include <ggv/state/budget/budget.hpp>
#include <ggv/state/core/result.hpp>

#include <compare>
#include <cstdint>

namespace ggv {

//! Times that holders and grantor agree on; the same on every host.
struct BudgetTiming
{
    Duration lifetime = std::chrono::seconds(2); //!< Of a lease.
    Duration slotDrain = std::chrono::seconds(2); //!< Longest time that a request stays in flight.
    Duration promise = std::chrono::seconds(8); //!< Of lent fixed shares, and wait after a start.
    std::uint32_t maxClockDriftPercent = 5; //!< Largest error of any clock's rate.

    /**
     * @brief Checks that leases on lent units can end before the promise that backs them.
     * @return The timing, or SettingsInvalid.
     */
    [[nodiscard]] Result<BudgetTiming> validated() const
    {
        const bool positive = lifetime.count() > 0 && slotDrain.count() >= 0;
        if (!positive || maxClockDriftPercent >= MaxDriftPercent)
            return Error(ResultCode::SettingsInvalid, "budget timing: times or drift out of range");
        if (minWithDrift(promise) < maxWithDrift(lifetime + slotDrain))
            return Error(ResultCode::SettingsInvalid, "budget timing: promise is too short");
        return *this;
    }

    /**
     * @brief Time after which another host's clock has certainly counted a duration.
     * @param duration What the other clock counts.
     * @return The longer time to count here.
     */
    [[nodiscard]] Duration maxWithDrift(Duration duration) const noexcept
    {
        const Duration::rep drift = maxClockDriftPercent;
        const Duration::rep slowest = 100 - drift;
        const Duration::rep fastest = 100 + drift;
        return Duration((duration.count() * fastest + slowest - 1) / slowest);
    }

    /**
     * @brief Time within which another host's clock certainly has not counted a duration yet.
     * @param duration What the other clock counts.
     * @return The shorter time to count here.
     */
    [[nodiscard]] Duration minWithDrift(Duration duration) const noexcept
    {
        const Duration::rep drift = maxClockDriftPercent;
        const Duration::rep slowest = 100 - drift;
        const Duration::rep fastest = 100 + drift;
        return Duration(duration.count() * slowest / fastest);
    }

    /**
     * @brief Time that use outlives the right to begin it.
     * @param kind Of the budget.
     * @return slotDrain for requests in flight, zero for rates.
     */
    [[nodiscard]] Duration drain(BudgetKind kind) const noexcept
    {
        return kind == BudgetKind::TargetSlots ? slotDrain : Duration(0);
    }

    [[nodiscard]] auto operator<=>(const BudgetTiming &) const = default;

    static constexpr std::uint32_t MaxDriftPercent = 50;
};

} // namespace ggv
