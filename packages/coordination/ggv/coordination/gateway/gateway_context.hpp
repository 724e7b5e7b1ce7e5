#pragma once

#include <ggv/coordination/gateway/forwarding_headers.hpp>
#include <ggv/coordination/gateway/gateway_metrics.hpp>
#include <ggv/coordination/gateway/log_rate_limiter.hpp>
#include <ggv/state/admission/retry_budget.hpp>
#include <ggv/state/core/random_source.hpp>
#include <ggv/state/routing/route_table.hpp>
#include <ggv/state/routing/target_pool.hpp>
#include <ggv/transport/http/http_client.hpp>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace ggv {

//! Limit on repeated sends to the targets of a service, from all hosts together.
struct RetryPolicy
{
    double ratio = 0.2; //!< Of a service's requests.
    Duration window = std::chrono::seconds(10);
    double slack = 10.0; //!< In each window, beyond the ratio.

    [[nodiscard]] auto operator<=>(const RetryPolicy &) const noexcept = default;
};

/**
 * @brief What all requests of an entry host share; belongs to one loop.
 */
class GatewayContext
{
public:
    GatewayContext(boost::asio::io_context &loop, Topology topology, ForwardingHeaders headers,
                   const RetryPolicy &retryPolicy);

    //! @return The rules in force, or null before the first ones.
    [[nodiscard]] const std::shared_ptr<const RouteTable> &routes() const noexcept
    {
        return m_routes;
    }
    //! Waits until rules and a list of targets are there, at most until an instant.
    [[nodiscard]] boost::asio::awaitable<void> waitForRoutes(Instant until);
    //! Takes in a newer reading of the platform's list.
    void setTargets(const TargetList &list, Duration age);
    //! Puts rules in force.
    void setRoutes(std::shared_ptr<const RouteTable> routes);
    //! Takes in how many entry hosts share targets and budgets.
    void setEntryHosts(std::size_t count);
    //! This process ends then, so that it takes nothing that may last longer.
    void setShutdownDeadline(Instant instant) noexcept { m_shutdownDeadline = instant; }
    //! @return When this process ends.
    [[nodiscard]] Instant shutdownDeadline() const noexcept { return m_shutdownDeadline; }
    //! Counts a request for a service.
    void onRequest(const ServiceName &service, Instant now);
    //! Asks for one more send of a request and counts it if allowed.
    [[nodiscard]] bool tryRetry(const ServiceName &service, Instant now);

    [[nodiscard]] TargetPool &targets() noexcept { return m_targets; }
    [[nodiscard]] HttpClientPool &connections() noexcept { return m_connections; }
    [[nodiscard]] RandomSource &random() noexcept { return m_random; }
    [[nodiscard]] const ForwardingHeaders &headers() const noexcept { return m_headers; }
    [[nodiscard]] GatewayMetrics &metrics() noexcept { return m_metrics; }
    //! @return Time since the list of targets was read, for logs.
    std::function<Duration()> listAge = [] { return Duration(0); };
    //! @return Time since a control host confirmed the configuration in force, for logs.
    std::function<Duration()> stateAge = [] { return Duration(0); };
    //! @return Bound on the lines about requests that went well.
    [[nodiscard]] LogRateLimiter &logRateLimiter() noexcept { return m_logRateLimiter; }

private:
    [[nodiscard]] bool hasRoutesAndTargets() const noexcept;
    void resumeWaitingRequests();
    [[nodiscard]] RetryBudget &budget(const ServiceName &service);
    [[nodiscard]] RetryBudgetPolicy budgetPolicy() const;

    ForwardingHeaders m_headers;
    RetryPolicy m_retryPolicy;
    TargetPool m_targets;
    HttpClientPool m_connections;
    RandomSource m_random;
    std::shared_ptr<const RouteTable> m_routes;
    std::map<ServiceName, RetryBudget> m_budgets;
    std::size_t m_entryHosts = 1;
    GatewayMetrics m_metrics;
    LogRateLimiter m_logRateLimiter;
    boost::asio::io_context &m_loop;
    std::list<std::shared_ptr<boost::asio::steady_timer>>
        m_waitingRequests; //!< Of requests that wait for rules.
    Instant m_shutdownDeadline = Instant::max();
};

} // namespace ggv
