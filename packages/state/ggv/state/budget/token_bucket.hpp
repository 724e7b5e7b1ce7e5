#pragma once

#include <ggv/state/budget/budget.hpp>

#include <atomic>
#include <cstdint>

namespace ggv {

/**
 * @brief Admits units at a rate that the control thread changes. Lock-free.
 *
 * The burst is MaxBurst of the rate or what a caller asks for at once if that is more; debt from
 * charge() is paid off before anything else is admitted. The rate ends by itself with the lease.
 */
class TokenBucket
{
public:
    //! The rate at which the bucket can be filled in advance.
    static constexpr Duration MaxBurst = std::chrono::milliseconds(100);

    TokenBucket() = default;
    TokenBucket(const TokenBucket &) = delete;
    TokenBucket &operator=(const TokenBucket &) = delete;

    /**
     * @brief Changes the rate. One thread at a time.
     * @param unitsPerSecond Rate until @p until, zero from then on.
     * @param until End of the rate.
     * @param now The current instant.
     */
    void setRate(BudgetUnits unitsPerSecond, Instant until, Instant now) noexcept;

    /**
     * @brief Takes units if the bucket is not in debt.
     * @param units Units to take.
     * @param now Read immediately before the call.
     * @return False if nothing was taken.
     */
    [[nodiscard]] bool tryAcquire(std::uint64_t units, Instant now) noexcept;

    /**
     * @brief Takes units that have been used already, even if that leaves the bucket in debt.
     * @param units Units beyond what was taken before, for sizes known only afterwards.
     * @param now The current instant.
     */
    void charge(std::uint64_t units, Instant now) noexcept;

    /**
     * @brief Time until something can be admitted again.
     * @param now The current instant.
     * @return Zero if tryAcquire() of one unit would succeed; the largest duration without a rate.
     */
    [[nodiscard]] Duration waitTime(Instant now) const noexcept;

private:
    [[nodiscard]] bool hasRate(Instant now) const noexcept;

    // Generic cell rate algorithm: the instant, in nanoseconds, at which all that was taken so far
    // has been paid for. In the future of now + burst: debt.
    std::atomic<std::int64_t> m_paidAt { 0 };
    std::atomic<BudgetUnits> m_unitsPerSecond { 0 };
    std::atomic<std::int64_t> m_until { 0 };
};

} // namespace ggv
