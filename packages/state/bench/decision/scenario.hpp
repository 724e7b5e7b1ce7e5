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

//! Load and faults of a run; faults and drains start at FaultStart.
struct Scenario
{
    std::string name;
    double load = 0.7; //!< Arrival rate relative to the capacity of all slots.
    std::vector<std::size_t> lostTargetDomains {}; //!< Domains whose targets stop responding.
    std::vector<std::size_t> lostHostDomains {}; //!< Domains whose entry hosts stop responding.
    std::optional<std::size_t> drainedRegion {};
    std::optional<DrainWindow> drain {};
    bool reportsStop = false; //!< Load reports and lease renewals stop.
    std::uint32_t slowEvery = 0; //!< Every n-th target is slow; 0 means none.
    double slowFactor = 1.0; //!< Multiplier for the service time of slow targets.
    Instant slowEnd = RunEnd;
    bool callersRetry = false; //!< Callers retry failed and shed requests.

    //! @return True if the targets of the failure domain are lost at the given time.
    [[nodiscard]] bool isTargetLost(std::size_t domain, Instant now) const noexcept;
    //! @return True if the entry hosts of the failure domain are lost at the given time.
    [[nodiscard]] bool isHostLost(std::size_t domain, Instant now) const noexcept;
    //! @return Multiplier for the service time of a target at the given time.
    [[nodiscard]] double serviceFactor(std::size_t target, Instant now) const noexcept;
    //! @return Scheduled drain weight of a failure domain at the given time; 1 without a drain.
    [[nodiscard]] double plannedWeight(std::size_t domain, Instant now) const noexcept;
};

//! @return All scenarios, starting with the one without faults.
[[nodiscard]] std::vector<Scenario> scenarios();

//! @return Simulated wall-clock time in milliseconds.
[[nodiscard]] constexpr UnixMillis toUnixMillis(Instant now) noexcept
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
}

/**
 * @brief Returns the share of requests that no policy can serve given capacity and shift caps.
 *
 * Fluid approximation: ignores cold caches, detection delays and random variation.
 *
 * @param deployment Sizes of the installation.
 * @param scenario Load and faults.
 * @return Fraction from 0 to 1 of the requests between WarmUpEnd and RunEnd.
 */
[[nodiscard]] double unavoidableShed(const Deployment &deployment, const Scenario &scenario);

} // namespace ggv::bench
