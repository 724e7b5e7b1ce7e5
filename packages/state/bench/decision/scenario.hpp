#pragma once

#include "deployment.hpp"

#include <ggv/state/steering/drain_schedule.hpp>

#include <optional>
#include <string>
#include <vector>

namespace ggv::bench {

constexpr Instant WarmUpEnd { std::chrono::seconds(5) };
constexpr Instant FaultStart { std::chrono::seconds(10) };
constexpr Instant RunEnd { std::chrono::seconds(40) };

//! What happens during a run; everything starts at FaultStart.
struct Scenario
{
    std::string name;
    double load = 0.7; //!< Arrivals relative to the capacity of all slots.
    std::vector<std::size_t> lostTargetDomains {}; //!< Their targets go silent.
    std::vector<std::size_t> lostHostDomains {}; //!< Their entry hosts go silent.
    std::optional<std::size_t> drainedRegion {};
    std::optional<DrainWindow> drain {};
    bool reportsStop = false; //!< Load reports and leases are no longer renewed.
    std::uint32_t slowEvery = 0; //!< Every n-th target is slow; 0 for none.
    double slowFactor = 1.0; //!< On the service time of slow targets.
    Instant slowEnd = RunEnd;
    bool callersRetry = false; //!< Callers send failed and shed requests again.

    //! @return True if the target's failure domain is lost at that time.
    [[nodiscard]] bool isTargetLost(std::size_t domain, Instant now) const noexcept;
    //! @return True if the entry hosts of that failure domain are lost at that time.
    [[nodiscard]] bool isHostLost(std::size_t domain, Instant now) const noexcept;
    //! @return Factor on the service time of a target.
    [[nodiscard]] double serviceFactor(std::size_t target, Instant now) const noexcept;
    //! @return Planned share of work of a failure domain at that time.
    [[nodiscard]] double plannedWeight(std::size_t domain, Instant now) const noexcept;
};

//! @return All scenarios.
[[nodiscard]] std::vector<Scenario> scenarios();

//! @return The simulation's wall clock in milliseconds.
[[nodiscard]] constexpr UnixMillis toUnixMillis(Instant now) noexcept
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
}

/**
 * @brief Share of the requests that no policy could serve, from capacity and shift caps alone.
 *
 * A fluid bound: cold caches, detection times and random variation are left out.
 *
 * @param deployment Sizes.
 * @param scenario What happens.
 * @return Share from 0 to 1 of all requests between WarmUpEnd and RunEnd.
 */
[[nodiscard]] double unavoidableShed(const Deployment &deployment, const Scenario &scenario);

} // namespace ggv::bench
