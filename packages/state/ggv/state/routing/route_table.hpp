#pragma once

#include <ggv/state/core/ids.hpp>
#include <ggv/state/core/result.hpp>
#include <ggv/state/core/time.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ggv {

//! Upper bound for the time-out of a route.
inline constexpr Duration MaxRouteTimeout = std::chrono::minutes(10);

//! A service and its share of a route's requests.
struct WeightedService
{
    ServiceName service;
    double weight = 1.0; //!< Relative to the weights of the route's other services.

    [[nodiscard]] auto operator<=>(const WeightedService &) const = default;
};

//! Whether the requests of a route may be executed more than once, and how large they are.
enum class RouteKind : std::uint8_t {
    Idempotent,
    NonIdempotent,
    Upload, //!< Non-idempotent, with a large body.
};

//! Maps a host name and path prefix to services, with the policy for these requests.
struct Route
{
    std::string name;
    std::string hostName; //!< Value of the Host header, without the port.
    std::string pathPrefix; //!< Begins and ends with a slash.
    RouteKind kind = RouteKind::NonIdempotent;
    Duration timeout { 0 }; //!< Maximum time until the complete answer.
    Duration latencyObjective { 0 }; //!< Latency above which an answer counts as late.
    std::uint32_t priority = 0; //!< 0 is the highest priority.
    std::uint32_t maxAttempts = 1; //!< Number of targets that one request may be sent to.
    bool sticky = false; //!< Uses target affinity: targets respond faster for objects that they
                         //!< have served recently.
    std::vector<RegionName> allowedRegions; //!< Regions that may serve the route; empty: all.
    std::vector<WeightedService> services; //!< One service, or several with weights.

    [[nodiscard]] auto operator<=>(const Route &) const = default;
};

//! Configuration of a service, as set by the operators.
struct ServicePolicy
{
    std::string healthPath;
    std::uint32_t maxConnections = 0; //!< Connections to one target, summed over all hosts.
    Duration coldStart { 0 }; //!< Time after its start during which a target is cold.
    double coldRequestsPerSecond = 0.0; //!< Maximum request rate of a cold target, summed over
                                        //!< all hosts.

    [[nodiscard]] auto operator<=>(const ServicePolicy &) const = default;
};

//! Size and time limits for the requests of callers.
struct CallerLimits
{
    std::uint32_t maxHeaderBytes = 32 * 1024;
    std::uint64_t maxBodyBytes = 64ULL * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(5);
    Duration idleTimeout = std::chrono::seconds(60);

    [[nodiscard]] auto operator<=>(const CallerLimits &) const = default;
};

//! One accepted version of the routing configuration.
struct RouteRules
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<ServiceName, ServicePolicy> services;
    CallerLimits limits;

    [[nodiscard]] auto operator<=>(const RouteRules &) const = default;
};

/**
 * @brief Immutable table that matches requests to routes.
 */
class RouteTable
{
public:
    /**
     * @brief Validates the rules and builds the table.
     * @return The table, or RegisterInvalid with a message that names the first invalid route.
     */
    [[nodiscard]] static Result<RouteTable> create(RouteRules rules);

    /**
     * @brief Finds the route with the longest path prefix that matches the path.
     * @param hostName Value of the Host header, with or without port.
     * @param path Path and query of the request.
     * @return The route, or null if no route matches.
     */
    [[nodiscard]] const Route *find(std::string_view hostName,
                                    std::string_view path) const noexcept;

    [[nodiscard]] const RouteRules &rules() const noexcept { return m_rules; }
    //! @return The version of the rules.
    [[nodiscard]] std::uint64_t version() const noexcept { return m_rules.version; }

private:
    explicit RouteTable(RouteRules rules);

    RouteRules m_rules;
    std::map<std::string, std::vector<std::size_t>, std::less<>>
        m_byHost; //!< Indices of routes by lower-case host name, longest prefix first.
};

/**
 * @brief Chooses one of a route's services in proportion to their weights.
 * @param route A route with at least one service whose weight is above 0.
 * @param fraction Random number, uniform in [0, 1).
 */
[[nodiscard]] const ServiceName &chooseService(const Route &route, double fraction) noexcept;

} // namespace ggv
