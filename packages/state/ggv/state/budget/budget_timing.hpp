#pragma once

#include <ggv/state/budget/budget.hpp>
#include <ggv/state/core/result.hpp>

#include <compare>
#include <cstdint>

namespace ggv {

//! Timing parameters of budget leases; must be the same on every host.
struct BudgetTiming
{
    Duration lifetime = std::chrono::seconds(2); //!< Lifetime of a lease.
    Duration slotDrain = std::chrono::seconds(2); //!< Longest time that a request is in flight.
    Duration promise = std::chrono::seconds(8); //!< Validity of a promise about a fixed share; also
                                                //!< the wait after a start before its use.
    std::uint32_t maxClockDriftPercent = 5; //!< Largest deviation of a clock's rate.

    /**
     * @brief Checks that leases of borrowed units end before the promise that backs them expires.
     * @return The timing, or an error with code SettingsInvalid.
     */
    [[nodiscard]] Result<BudgetTiming> validated() const
    {
        const bool positive = lifetime.count() > 0 && slotDrain.count() >= 0;
        if (!positive || maxClockDriftPercent >= MaxDriftPercent)
            return Error(ResultCode::SettingsInvalid,
                         "budget timing: lifetime, slot drain or clock drift out of range");
        if (minWithDrift(promise) < maxWithDrift(lifetime + slotDrain))
            return Error(
                ResultCode::SettingsInvalid,
                "budget timing: promise is shorter than lifetime plus slot drain with clock drift");
        return *this;
    }

    /**
     * @brief Returns the local time span in which any other host's clock has advanced by at least
     * the duration, whatever the drift.
     * @param duration Duration on the other clock.
     * @return The duration lengthened by the maximum drift of both clocks.
     */
    [[nodiscard]] Duration maxWithDrift(Duration duration) const noexcept
    {
        const Duration::rep drift = maxClockDriftPercent;
        const Duration::rep slowest = 100 - drift;
        const Duration::rep fastest = 100 + drift;
        return Duration((duration.count() * fastest + slowest - 1) / slowest);
    }

    /**
     * @brief Returns the local time span in which no other host's clock has advanced by more than
     * the duration, whatever the drift.
     * @param duration Duration on the other clock.
     * @return The duration shortened by the maximum drift of both clocks.
     */
    [[nodiscard]] Duration minWithDrift(Duration duration) const noexcept
    {
        const Duration::rep drift = maxClockDriftPercent;
        const Duration::rep slowest = 100 - drift;
        const Duration::rep fastest = 100 + drift;
        return Duration(duration.count() * slowest / fastest);
    }

    /**
     * @brief Returns how long units may stay in use after the share that admitted them expired.
     * @param kind Kind of the budget.
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
