#pragma once

#include <ggv/state/budget/token_bucket.hpp>
#include <ggv/state/core/result_code.hpp>

#include <atomic>
#include <cstdint>
#include <memory>

namespace ggv {

/**
 * @brief Limits consumption to a leased rate and measures the demand; shared by all threads of an
 * entry host, lock-free.
 */
class RateLimiter
{
public:
    //! Acquires units if the leased rate allows; counts them as demand in either case.
    [[nodiscard]] bool tryAcquire(std::uint64_t units, Instant now) noexcept
    {
        recordDemand(units);
        return m_bucket.tryAcquire(units, now);
    }

    //! Counts demand for which no units were requested because the rate is exhausted.
    void recordDemand(std::uint64_t units) noexcept
    {
        m_demand.fetch_add(units, std::memory_order_relaxed);
    }

    //! Deducts units that were used in excess of those acquired before.
    void charge(std::uint64_t units, Instant now) noexcept { m_bucket.charge(units, now); }
    //! @return True if one unit can be acquired now.
    [[nodiscard]] bool hasCapacity(Instant now) const noexcept
    {
        return m_bucket.waitTime(now) == Duration(0);
    }
    //! @return Demand since the previous call.
    [[nodiscard]] std::uint64_t takeDemand() noexcept
    {
        const std::uint64_t total = demandTotal();
        return total - m_reportedDemand.exchange(total);
    }
    //! @return Demand since construction.
    [[nodiscard]] std::uint64_t demandTotal() const noexcept
    {
        return m_demand.load(std::memory_order_relaxed);
    }
    //! Sets the leased rate, which expires at the given instant.
    void setRate(BudgetUnits unitsPerSecond, Instant until, Instant now) noexcept
    {
        m_bucket.setRate(unitsPerSecond, until, now);
    }

private:
    TokenBucket m_bucket;
    std::atomic<std::uint64_t> m_demand = 0; //!< Units since construction.
    std::atomic<std::uint64_t> m_reportedDemand = 0; //!< Part of m_demand already returned.
};

/**
 * @brief Rate limits on requests to another region: the shift cap, and the link in each direction.
 */
struct RegionPath
{
    std::shared_ptr<RateLimiter> shift; //!< Null if the shift is not capped.
    std::shared_ptr<RateLimiter> outboundLink;
    std::shared_ptr<RateLimiter> inboundLink;
    std::uint64_t typicalKilobits = 1; //!< Typical size of a request and its response.

    //! @return Ok if a request could use this path now, otherwise the code of the limit reached.
    [[nodiscard]] ResultCode check(Instant now) const noexcept
    {
        if (shift && !shift->hasCapacity(now))
            return ResultCode::ShiftCapReached;
        const bool linkAvailable = outboundLink->hasCapacity(now) && inboundLink->hasCapacity(now);
        return linkAvailable ? ResultCode::Ok : ResultCode::LinkBudgetReached;
    }

    //! Acquires the units that one request needs. @return False if a limit is reached; units
    //! acquired before that limit are not returned.
    [[nodiscard]] bool tryAcquire(Instant now) const noexcept
    {
        if (shift && !shift->tryAcquire(1, now))
            return false;
        return outboundLink->tryAcquire(1, now) && inboundLink->tryAcquire(typicalKilobits, now);
    }

    //! Counts a request that could not use this path as demand.
    void recordDemand() const noexcept
    {
        if (shift)
            shift->recordDemand(1);
        outboundLink->recordDemand(1);
        inboundLink->recordDemand(typicalKilobits);
    }
};

} // namespace ggv
