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
 * @brief What all threads of an entry host share about one target. Lock-free.
 *
 * Worker threads count requests; the control loop sets limit, state and weight.
 */
class TargetState
{
public:
    //! @param number Number of the target in observations.
    explicit TargetState(std::uint32_t number) noexcept
        : m_number(number)
    { }

    //! @return Number of the target in observations.
    [[nodiscard]] std::uint32_t number() const noexcept { return m_number; }

    //! Takes a slot unless the limit is reached. @return Empty permit if it is.
    [[nodiscard]] SlotPermit tryAcquire(Instant now) noexcept { return m_gate.tryAcquire(now); }
    //! @return Requests in flight from this host.
    [[nodiscard]] std::uint32_t inFlight() const noexcept { return m_gate.inFlight(); }
    //! @return Most requests in flight that this host may have.
    [[nodiscard]] std::uint32_t limit(Instant now) const noexcept { return m_gate.limitAt(now); }
    //! Sets the limit until an instant and from then on; see SlotGate::setLimit().
    void setLimit(BudgetUnits units, Instant until, BudgetUnits unitsAfter) noexcept
    {
        m_gate.setLimit(units, until, unitsAfter);
    }

    //! @return Health as the control loop judged it last.
    [[nodiscard]] HealthState health() const noexcept { return m_health.load(); }
    //! @return Share of work that the target gets, from 0 to 1.
    [[nodiscard]] double weight() const noexcept { return m_weight.load(); }
    //! @return Expected time to execute a request.
    [[nodiscard]] Duration serviceTime() const noexcept { return Duration(m_serviceTime.load()); }
    //! Publishes the control loop's judgement.
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

//! Right to have one request in flight at a target; given back when destroyed.
struct TargetPermit
{
    std::shared_ptr<TargetState> state; //!< Outlives the slot.
    SlotPermit slot;
};

} // namespace ggv
