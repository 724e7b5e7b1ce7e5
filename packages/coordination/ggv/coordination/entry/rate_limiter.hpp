#pragma once

#include <ggv/state/budget/token_bucket.hpp>
#include <ggv/state/core/result_code.hpp>

#include <atomic>
#include <cstdint>
#include <memory>

namespace ggv {

/**
 * @brief A leased rate that all threads of an entry host share, and the demand for it. Lock-free.
 */
class RateLimiter
{
public:
    //! Takes units at the leased rate; counts them as demand in any case.
    [[nodiscard]] bool tryAcquire(std::uint64_t units, Instant now) noexcept
    {
        recordDemand(units);
        return m_bucket.tryAcquire(units, now);
    }

    //! Counts demand that was not tried because the rate is used up.
    void recordDemand(std::uint64_t units) noexcept
    {
        m_demand.fetch_add(units, std::memory_order_relaxed);
    }

    //! Takes units that were used beyond those taken before.
    void charge(std::uint64_t units, Instant now) noexcept { m_bucket.charge(units, now); }
    //! @return True if tryAcquire() of one unit would succeed.
    [[nodiscard]] bool hasCapacity(Instant now) const noexcept
    {
        return m_bucket.waitTime(now) == Duration(0);
    }
    //! @return Demand since the last call.
    [[nodiscard]] std::uint64_t takeDemand() noexcept
    {
        const std::uint64_t total = demandTotal();
        return total - m_taken.exchange(total);
    }
    //! @return Demand since the start.
    [[nodiscard]] std::uint64_t demandTotal() const noexcept
    {
        return m_demand.load(std::memory_order_relaxed);
    }
    //! Sets the leased rate until an instant.
    void setRate(BudgetUnits unitsPerSecond, Instant until, Instant now) noexcept
    {
        m_bucket.setRate(unitsPerSecond, until, now);
    }

private:
    TokenBucket m_bucket;
    std::atomic<std::uint64_t> m_demand = 0; //!< Since the start.
    std::atomic<std::uint64_t> m_taken = 0; //!< Part of the demand that takeDemand() returned.
};

/**
 * @brief The rates that a request to another region uses: its shift cap and the link both ways.
 */
struct RegionPath
{
    std::shared_ptr<RateLimiter> shift; //!< Null if the shift has no cap.
    std::shared_ptr<RateLimiter> outboundLink;
    std::shared_ptr<RateLimiter> inboundLink;
    std::uint64_t typicalKilobits = 1; //!< Of a whole exchange.

    //! @return Ok if a request could go this way now, else the limit that is reached.
    [[nodiscard]] ResultCode check(Instant now) const noexcept
    {
        if (shift && !shift->hasCapacity(now))
            return ResultCode::ShiftCapReached;
        const bool linkOpen = outboundLink->hasCapacity(now) && inboundLink->hasCapacity(now);
        return linkOpen ? ResultCode::Ok : ResultCode::LinkBudgetReached;
    }

    //! Takes what one request needs. @return False if a limit is reached; what was taken is lost.
    [[nodiscard]] bool tryAcquire(Instant now) const noexcept
    {
        if (shift && !shift->tryAcquire(1, now))
            return false;
        return outboundLink->tryAcquire(1, now) && inboundLink->tryAcquire(typicalKilobits, now);
    }

    //! Counts a request that could not go this way as demand.
    void recordDemand() const noexcept
    {
        if (shift)
            shift->recordDemand(1);
        outboundLink->recordDemand(1);
        inboundLink->recordDemand(typicalKilobits);
    }
};

} // namespace ggv
