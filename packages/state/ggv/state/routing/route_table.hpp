#pragma once

#include <ggv/state/core/ids.hpp>
#include <ggv/state/core/result.hpp>
#include <ggv/state/core/time.hpp>
#include <ggv/state/request/request_event.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ggv {

//! Longest time-out that a route may have.
inline constexpr Duration MaxRouteTimeout = std::chrono::minutes(10);

//! A service and its share of a route's requests.
struct WeightedService
{
    ServiceName service;
    double weight = 1.0; //!< Relative to the other services of the route.

    [[nodiscard]] auto operator<=>(const WeightedService &) const = default;
};

//! Where requests of one host name and path prefix go, and how they are treated.
struct Route
{
    std::string name;
    std::string hostName; //!< Of the Host header, without port.
    std::string pathPrefix; //!< Begins and ends with a slash.
    RequestKind kind = RequestKind::NonIdempotent;
    Duration timeout { 0 }; //!< Longest time until the final answer.
    Duration latencyObjective { 0 }; //!< Within this, an answer counts fully.
    std::uint32_t priority = 0; //!< 0 is the most important.
    std::uint32_t maxAttempts = 1; //!< Targets that one request may be sent to.
    bool sticky = false; //!< Targets are faster for objects that they have seen recently.
    std::vector<RegionName> preferredRegions; //!< Only regions that may serve it; empty: all.
    std::vector<WeightedService> services; //!< One, or several by weight.

    [[nodiscard]] auto operator<=>(const Route &) const = default;
};

//! What the operators say of a service.
struct ServicePolicy
{
    std::string healthPath;
    std::uint32_t maxConnections = 0; //!< Of one target, from all hosts together.
    Duration coldStart { 0 }; //!< A target is cold for this long after its start.
    double coldRequestsPerSecond = 0.0; //!< What a cold target bears, from all hosts together.

    [[nodiscard]] auto operator<=>(const ServicePolicy &) const = default;
};

//! What a caller may send, and how slowly.
struct CallerLimits
{
    std::uint32_t maxHeaderBytes = 32 * 1024;
    std::uint64_t maxBodyBytes = 64ULL * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(5);
    Duration idleTimeout = std::chrono::seconds(60);

    [[nodiscard]] auto operator<=>(const CallerLimits &) const = default;
};

//! Everything that the operators accepted under one version.
struct RouteRules
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<ServiceName, ServicePolicy> services;
    CallerLimits limits;

    [[nodiscard]] auto operator<=>(const RouteRules &) const = default;
};

/**
 * @brief Finds the route of a request; immutable.
 */
class RouteTable
{
public:
    /**
     * @brief Checks rules and builds the table.
     * @param rules The rules.
     * @return The table, or RegisterInvalid with the first fault and its place.
     */
    [[nodiscard]] static Result<RouteTable> create(RouteRules rules);

    /**
     * @brief Finds the route with the longest prefix that begins the path.
     * @param hostName Value of the Host header, with or without port.
     * @param path Path and query of the request.
     * @return The route, or null.
     */
    [[nodiscard]] const Route *find(std::string_view hostName,
                                    std::string_view path) const noexcept;

    //! @return The rules.
    [[nodiscard]] const RouteRules &rules() const noexcept { return m_rules; }
    //! @return The version of the rules.
    [[nodiscard]] std::uint64_t version() const noexcept { return m_rules.version; }

private:
    explicit RouteTable(RouteRules rules);

    RouteRules m_rules;
    std::map<std::string, std::vector<std::size_t>, std::less<>>
        m_byHost; //!< Numbers of routes, longest prefix first.
};

/**
 * @brief Chooses one of a route's services in proportion to their weights.
 * @param route The route; has at least one service with a weight above 0.
 * @param fraction Uniform in [0, 1).
 * @return The service.
 */
[[nodiscard]] const ServiceName &chooseService(const Route &route, double fraction) noexcept;

} // namespace ggv
