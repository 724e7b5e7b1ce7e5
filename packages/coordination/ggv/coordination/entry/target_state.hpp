#pragma once

#include <ggv/state/budget/slot_gate.hpp>
#include <ggv/state/core/time.hpp>
#include <ggv/state/health/health_state.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <utility>

namespace ggv {

/**
 * @brief State of one target that all threads of an entry host share; lock-free.
 *
 * Worker threads acquire slots; the control loop sets limit, health and weight.
 */
class TargetState
{
public:
    //! @param number Identifies the target in TargetObservation.
    explicit TargetState(std::uint32_t number) noexcept
        : m_number(number)
    { }

    //! @return Number that identifies the target in TargetObservation.
    [[nodiscard]] std::uint32_t number() const noexcept { return m_number; }

    //! Acquires a slot. @return An empty permit if the limit is reached.
    [[nodiscard]] SlotPermit tryAcquire(Instant now) noexcept { return m_gate.tryAcquire(now); }
    //! @return Number of requests in flight from this host.
    [[nodiscard]] std::uint32_t inFlight() const noexcept { return m_gate.inFlight(); }
    //! @return Maximum number of requests in flight from this host.
    [[nodiscard]] std::uint32_t limit(Instant now) const noexcept { return m_gate.limitAt(now); }
    //! Sets the limit until an instant and the limit after it; see SlotGate::setLimit().
    void setLimit(BudgetUnits units, Instant until, BudgetUnits unitsAfter) noexcept
    {
        m_gate.setLimit(units, until, unitsAfter);
    }

    //! @return Health as last assessed by the control loop.
    [[nodiscard]] HealthState health() const noexcept { return m_health.load(); }
    //! @return Share of requests that the target receives, from 0 to 1.
    [[nodiscard]] double weight() const noexcept { return m_weight.load(); }
    //! @return Expected time to execute a request.
    [[nodiscard]] Duration serviceTime() const noexcept { return Duration(m_serviceTime.load()); }
    //! Publishes the assessment made by the control loop.
    void setAssessment(HealthState health, double weight, Duration serviceTime) noexcept
    {
        m_health.store(health);
        m_weight.store(weight);
        m_serviceTime.store(serviceTime.count());
    }

private:
    const std::uint32_t m_number;
    SlotGate m_gate;
    std::atomic<HealthState> m_health = HealthState::Working;
    std::atomic<double> m_weight = 1.0;
    std::atomic<Duration::rep> m_serviceTime = 0;
};

//! Permit for one request in flight at a target; released on destruction.
struct TargetPermit
{
    std::shared_ptr<TargetState> state; //!< Keeps the target state alive while the slot is held.
    SlotPermit slot;
};

} // namespace ggv
