#pragma once

#include <ggv/state/budget/budget.hpp>

#include <atomic>
#include <cstdint>

namespace ggv {

/**
 * @brief Rate limiter whose rate the control thread sets. Lock-free.
 *
 * The burst is the number of units that the rate yields in MaxBurst, or the units of a single call
 * if these are more. Debt from charge() is paid off before further units are admitted. The rate
 * expires with the lease.
 */
class TokenBucket
{
public:
    //! Length of time whose units the bucket can accumulate.
    static constexpr Duration MaxBurst = std::chrono::milliseconds(100);

    TokenBucket() = default;
    TokenBucket(const TokenBucket &) = delete;
    TokenBucket &operator=(const TokenBucket &) = delete;

    /**
     * @brief Sets the rate. Called by one thread at a time.
     * @param unitsPerSecond Rate before @p until; it is zero afterwards.
     * @param until Expiry of the rate.
     * @param now Current time.
     */
    void setRate(BudgetUnits unitsPerSecond, Instant until, Instant now) noexcept;

    /**
     * @brief Acquires units if the bucket has enough of them, or is full.
     * @param units Number of units.
     * @param now Current time, read immediately before the call.
     * @return False if no units were acquired.
     */
    [[nodiscard]] bool tryAcquire(std::uint64_t units, Instant now) noexcept;

    /**
     * @brief Charges units that were already used, even if this leaves the bucket in debt.
     * @param units Units beyond those already acquired, for sizes that are known only afterwards.
     * @param now Current time.
     */
    void charge(std::uint64_t units, Instant now) noexcept;

    /**
     * @brief Returns the time until the next unit can be admitted.
     * @param now Current time.
     * @return Zero if tryAcquire() of one unit would succeed; Duration::max() without a rate.
     */
    [[nodiscard]] Duration waitTime(Instant now) const noexcept;

private:
    [[nodiscard]] bool hasRate(Instant now) const noexcept;

    // Generic cell rate algorithm: time in nanoseconds at which the rate has covered all units
    // acquired so far. The bucket is in debt if it is later than now + burst.
    std::atomic<std::int64_t> m_paidAt { 0 };
    std::atomic<BudgetUnits> m_unitsPerSecond { 0 };
    std::atomic<std::int64_t> m_until { 0 };
};

} // namespace ggv
