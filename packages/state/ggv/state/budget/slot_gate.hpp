#pragma once

#include <ggv/state/budget/budget.hpp>

#include <atomic>
#include <cstdint>
#include <optional>
#include <utility>

namespace ggv {

class SlotGate;

//! Permit for one request in flight; releases its slot on destruction. Move-only.
class SlotPermit
{
public:
    SlotPermit() = default;
    ~SlotPermit() { release(); }

    SlotPermit(SlotPermit &&other) noexcept
        : m_gate(std::exchange(other.m_gate, nullptr))
    { }

    SlotPermit &operator=(SlotPermit &&other) noexcept
    {
        if (this != &other) {
            release();
            m_gate = std::exchange(other.m_gate, nullptr);
        }
        return *this;
    }

    SlotPermit(const SlotPermit &) = delete;
    SlotPermit &operator=(const SlotPermit &) = delete;

    //! @return True if this permit holds a slot.
    [[nodiscard]] explicit operator bool() const noexcept { return m_gate != nullptr; }

    //! Releases the slot before destruction; no effect if the permit is empty.
    void release() noexcept;

private:
    friend class SlotGate;
    explicit SlotPermit(SlotGate &gate) noexcept
        : m_gate(&gate)
    { }

    SlotGate *m_gate = nullptr;
};

/**
 * @brief Limits the number of requests in flight; the control thread sets the limit.
 *
 * Lock-free. A limit expires without further calls, so that a process that was suspended admits
 * no request under a lease that expired during the suspension. The gate must outlive its permits.
 */
class SlotGate
{
public:
    SlotGate() = default;
    SlotGate(const SlotGate &) = delete;
    SlotGate &operator=(const SlotGate &) = delete;

    /**
     * @brief Sets the limit. Requests in flight above it continue. Called by one thread at a time.
     * @param units Limit before @p until.
     * @param until Expiry of the limit.
     * @param unitsAfter Limit after the expiry; capped at @p units.
     */
    void setLimit(BudgetUnits units, Instant until, BudgetUnits unitsAfter) noexcept;

    /**
     * @brief Acquires a slot.
     * @param now Current time, read immediately before the call.
     * @return A permit; empty if the limit is reached.
     */
    [[nodiscard]] SlotPermit tryAcquire(Instant now) noexcept;

    //! @return Number of requests in flight.
    [[nodiscard]] BudgetUnits inFlight() const noexcept
    {
        return m_inFlight.load(std::memory_order_seq_cst);
    }

    //! @return Limit at the given time.
    [[nodiscard]] BudgetUnits limitAt(Instant now) const noexcept;

private:
    friend class SlotPermit;

    // Lower 32 bits: limit before m_until. Upper 32 bits: limit from m_until on.
    std::atomic<std::uint64_t> m_limits { 0 };
    std::atomic<Instant::rep> m_until { Instant::min().time_since_epoch().count() };
    std::atomic<BudgetUnits> m_inFlight { 0 };
};

inline void SlotPermit::release() noexcept
{
    if (SlotGate *gate = std::exchange(m_gate, nullptr); gate != nullptr)
        gate->m_inFlight.fetch_sub(1, std::memory_order_seq_cst);
}

} // namespace ggv
