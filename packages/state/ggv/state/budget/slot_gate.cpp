#include <ggv/state/budget/slot_gate.hpp>

#include <algorithm>

namespace ggv {

namespace {

constexpr unsigned UnitsBits = 32;

std::uint64_t packed(BudgetUnits units, BudgetUnits unitsAfter) noexcept
{
    return (static_cast<std::uint64_t>(unitsAfter) << UnitsBits) | units;
}

} // namespace

// While m_until changes, both limits are at most the lower one. A reader that reads equal limits
// before and after m_until has therefore read a combination that was in force.
void SlotGate::setLimit(BudgetUnits units, Instant until, BudgetUnits unitsAfter) noexcept
{
    const BudgetUnits after = std::min(units, unitsAfter);
    const std::uint64_t before = m_limits.load(std::memory_order_seq_cst);
    const auto beforeAfter = static_cast<BudgetUnits>(before >> UnitsBits);
    const BudgetUnits lowest = std::min(after, beforeAfter);
    m_limits.store(packed(lowest, lowest), std::memory_order_seq_cst);
    m_until.store(until.time_since_epoch().count(), std::memory_order_seq_cst);
    m_limits.store(packed(units, after), std::memory_order_seq_cst);
}

BudgetUnits SlotGate::limitAt(Instant now) const noexcept
{
    std::uint64_t limits = m_limits.load(std::memory_order_seq_cst);
    Instant::rep until = 0;
    for (std::uint64_t before = ~limits; before != limits;) {
        before = limits;
        until = m_until.load(std::memory_order_seq_cst);
        limits = m_limits.load(std::memory_order_seq_cst);
    }
    const bool live = now.time_since_epoch().count() < until;
    return static_cast<BudgetUnits>(live ? limits : limits >> UnitsBits);
}

// The counter is incremented before the limit is read. Once setLimit() has returned, either the
// control thread sees the slot in inFlight(), or this thread sees the new limit.
SlotPermit SlotGate::tryAcquire(Instant now) noexcept
{
    const BudgetUnits used = m_inFlight.fetch_add(1, std::memory_order_seq_cst);
    if (used < limitAt(now))
        return SlotPermit(*this);
    m_inFlight.fetch_sub(1, std::memory_order_seq_cst);
    return {};
}

} // namespace ggv
