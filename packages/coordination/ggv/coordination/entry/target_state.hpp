#pragma once

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

    //! Counts one request in flight unless the limit is reached. @return True if counted.
    [[nodiscard]] bool tryAcquire() noexcept
    {
        std::uint32_t n = m_inFlight.load(std::memory_order_relaxed);
        while (n < m_limit.load(std::memory_order_relaxed)) {
            if (m_inFlight.compare_exchange_weak(n, n + 1, std::memory_order_acq_rel))
                return true;
        }
        return false;
    }

    //! Ends the count of one request.
    void release() noexcept { m_inFlight.fetch_sub(1, std::memory_order_acq_rel); }

    //! @return Requests in flight from this host.
    [[nodiscard]] std::uint32_t inFlight() const noexcept { return m_inFlight.load(); }
    //! @return Most requests in flight that this host may have.
    [[nodiscard]] std::uint32_t limit() const noexcept { return m_limit.load(); }
    //! Sets the limit; requests in flight above it go on.
    void setLimit(std::uint32_t limit) noexcept { m_limit.store(limit); }

    //! @return Health as the control loop judged it last.
    [[nodiscard]] HealthState health() const noexcept { return m_health.load(); }
    //! @return Share of work that the target gets, from 0 to 1.
    [[nodiscard]] double weight() const noexcept { return m_weight.load(); }
    //! @return Expected time to execute a request.
    [[nodiscard]] Duration serviceTime() const noexcept { return Duration(m_serviceTime.load()); }
    //! Publishes the control loop's judgement.
    void setJudgement(HealthState health, double weight, Duration serviceTime) noexcept
    {
        m_health.store(health);
        m_weight.store(weight);
        m_serviceTime.store(serviceTime.count());
    }

private:
    const std::uint32_t m_number;
    std::atomic<std::uint32_t> m_inFlight = 0;
    std::atomic<std::uint32_t> m_limit = 0;
    std::atomic<HealthState> m_health = HealthState::Working;
    std::atomic<double> m_weight = 1.0;
    std::atomic<Duration::rep> m_serviceTime = 0;
};

//! Right to have one request in flight at a target; given back when destroyed.
class TargetPermit
{
public:
    TargetPermit() = default;
    //! @param state A target on which tryAcquire() has just succeeded.
    explicit TargetPermit(std::shared_ptr<TargetState> state) noexcept
        : m_state(std::move(state))
    { }
    ~TargetPermit() { reset(); }
    TargetPermit(TargetPermit &&other) noexcept = default;
    TargetPermit &operator=(TargetPermit &&other) noexcept
    {
        std::swap(m_state, other.m_state);
        return *this;
    }
    TargetPermit(const TargetPermit &) = delete;
    TargetPermit &operator=(const TargetPermit &) = delete;

    //! Gives the right back.
    void reset() noexcept
    {
        if (const auto state = std::exchange(m_state, nullptr))
            state->release();
    }

private:
    std::shared_ptr<TargetState> m_state;
};

} // namespace ggv
