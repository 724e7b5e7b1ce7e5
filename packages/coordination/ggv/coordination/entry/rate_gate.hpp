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
class RateGate
{
public:
    //! Takes units at the leased rate; counts them as demand in any case.
    [[nodiscard]] bool tryTake(std::uint64_t units, Instant now) noexcept
    {
        noteDemand(units);
        return m_bucket.tryTake(units, now);
    }

    //! Counts demand that was not tried because the rate is used up.
    void noteDemand(std::uint64_t units) noexcept
    {
        m_demand.fetch_add(units, std::memory_order_relaxed);
    }

    //! Takes units that were used beyond those taken before.
    void charge(std::uint64_t units, Instant now) noexcept { m_bucket.charge(units, now); }
    //! @return True if tryTake() of one unit would succeed.
    [[nodiscard]] bool isOpen(Instant now) const noexcept
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
    std::shared_ptr<RateGate> shift; //!< Null if the shift has no cap.
    std::shared_ptr<RateGate> linkOut;
    std::shared_ptr<RateGate> linkBack;
    std::uint64_t typicalKilobits = 1; //!< Of a whole exchange.

    //! @return Ok if a request could go this way now, else the limit that is reached.
    [[nodiscard]] ResultCode check(Instant now) const noexcept
    {
        if (shift && !shift->isOpen(now))
            return ResultCode::ShiftCapReached;
        const bool linkOpen = linkOut->isOpen(now) && linkBack->isOpen(now);
        return linkOpen ? ResultCode::Ok : ResultCode::LinkBudgetReached;
    }

    //! Takes what one request needs. @return False if a limit is reached; what was taken is lost.
    [[nodiscard]] bool tryTake(Instant now) const noexcept
    {
        if (shift && !shift->tryTake(1, now))
            return false;
        return linkOut->tryTake(1, now) && linkBack->tryTake(typicalKilobits, now);
    }

    //! Counts a request that could not go this way as demand.
    void noteDemand() const noexcept
    {
        if (shift)
            shift->noteDemand(1);
        linkOut->noteDemand(1);
        linkBack->noteDemand(typicalKilobits);
    }
};

} // namespace ggv
