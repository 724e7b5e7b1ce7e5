#pragma once

#include <ggv/state/budget/budget.hpp>

#include <atomic>
#include <cstdint>
#include <optional>
#include <utility>

namespace ggv {

class SlotGate;

//! The right to have one request in flight; gives it back when destroyed. Move-only.
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

    //! Gives the slot back early.
    void release() noexcept;

private:
    friend class SlotGate;
    explicit SlotPermit(SlotGate &gate) noexcept
        : m_gate(&gate)
    { }

    SlotGate *m_gate = nullptr;
};

/**
 * @brief Counts requests in flight against a limit that the control thread changes.
 *
 * Lock-free. A limit ends by itself, so that a process that was frozen admits nothing on a lease
 * that ended meanwhile. The gate outlives its permits.
 */
class SlotGate
{
public:
    SlotGate() = default;
    SlotGate(const SlotGate &) = delete;
    SlotGate &operator=(const SlotGate &) = delete;

    /**
     * @brief Changes the limit; requests in flight above it go on. One thread at a time.
     * @param units Limit until @p until.
     * @param until End of that limit.
     * @param unitsAfter Limit from then on; at most @p units.
     */
    void setLimit(BudgetUnits units, Instant until, BudgetUnits unitsAfter) noexcept;

    /**
     * @brief Takes a slot.
     * @param now Read immediately before the call.
     * @return A permit, or an empty one if the limit is reached.
     */
    [[nodiscard]] SlotPermit tryAcquire(Instant now) noexcept;

    //! @return Requests in flight.
    [[nodiscard]] BudgetUnits inFlight() const noexcept
    {
        return m_inFlight.load(std::memory_order_seq_cst);
    }

    //! @return The limit at an instant.
    [[nodiscard]] BudgetUnits limitAt(Instant now) const noexcept;

private:
    friend class SlotPermit;

    // Lower half: limit until m_until; upper half: limit from then on.
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
