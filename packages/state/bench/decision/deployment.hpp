#pragma once

#include <ggv/state/core/time.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace ggv::bench {

constexpr std::size_t RegionCount = 3;
constexpr std::size_t DomainCount = 6;
constexpr std::size_t ServiceCount = 2;

//! Load and capacity parameters of one service.
struct ServiceModel
{
    std::string name;
    std::uint32_t targets = 0; //!< Distributed evenly over the failure domains.
    std::uint32_t slots = 0; //!< Per target.
    std::uint32_t connections = 0; //!< Per target; further requests are refused.
    Duration meanServiceTime { 0 };
    double sigma = 0.0; //!< Shape parameter of the log-normal service time.
    std::uint32_t answerBytes = 0; //!< Mean; sizes are uniform within 50% of it.
    Duration deadline { 0 };
    double shiftCap = 0.0; //!< Requests/s between each pair of regions.
};

//! Hosts, services and network of one simulated installation.
struct Deployment
{
    std::string name;
    std::array<ServiceModel, ServiceCount> services;
    std::array<std::uint32_t, DomainCount> hostsPerDomain {};
    double linkBitsPerSecond = 0.0; //!< Per pair of regions and direction.
    // One-way delays.
    Duration delayWithinDomain { 0 };
    Duration delayBetweenDomains { 0 };
    Duration delayBetweenRegions { 0 };
    Duration delayToCallers { 0 };

    //! @return One-way delay between two failure domains.
    [[nodiscard]] Duration delay(std::size_t from, std::size_t to) const noexcept;
};

//! @return Region of a failure domain.
[[nodiscard]] constexpr std::size_t regionOf(std::size_t domain) noexcept
{
    return domain / (DomainCount / RegionCount);
}

//! @return Failure domain of a target; consecutive targets are in different regions.
[[nodiscard]] constexpr std::size_t domainOfTarget(std::size_t target) noexcept
{
    constexpr std::array<std::size_t, DomainCount> Order { 0, 2, 4, 1, 3, 5 };
    return Order[target % DomainCount];
}

//! @return The two simulated installations at their current sizes.
[[nodiscard]] std::vector<Deployment> deployments();

} // namespace ggv::bench
