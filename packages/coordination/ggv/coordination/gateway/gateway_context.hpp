#pragma once

#include <ggv/coordination/gateway/forwarding_headers.hpp>
#include <ggv/coordination/gateway/gateway_metrics.hpp>
#include <ggv/coordination/gateway/log_rate_limiter.hpp>
#include <ggv/coordination/gateway/target_end_detector.hpp>
#include <ggv/state/admission/memory_budget.hpp>
#include <ggv/state/admission/retry_budget.hpp>
#include <ggv/state/core/random_source.hpp>
#include <ggv/state/health/target_path_monitor.hpp>
#include <ggv/state/quarantine/request_quarantine.hpp>
#include <ggv/state/routing/forwarding_peers.hpp>
#include <ggv/state/routing/route_table.hpp>
#include <ggv/state/routing/target_pool.hpp>
#include <ggv/transport/http/http_client.hpp>
#include <ggv/transport/net/shared_secret.hpp>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace ggv {

//! Limit on retries to the targets of a service, shared by all entry hosts.
struct RetryPolicy
{
    double ratio = 0.2; //!< Retries as a fraction of the service's requests.
    Duration window = std::chrono::seconds(10);
    double slack = 10.0; //!< Retries allowed per window in addition to the ratio.

    [[nodiscard]] auto operator<=>(const RetryPolicy &) const noexcept = default;
};

//! Change of the belief whether this host reaches targets, with the evidence for the earlier state.
struct TargetPathChange
{
    TargetPathState before = TargetPathState::Open;
    TargetPathState state = TargetPathState::Open;
    std::size_t failedTargets = 0; //!< Distinct targets that failed.
    std::size_t failedDomains = 0; //!< Failure domains of these targets.
    Duration lasted { 0 }; //!< Time spent in the earlier state.

    [[nodiscard]] auto operator<=>(const TargetPathChange &) const noexcept = default;
};

/**
 * @brief State shared by all requests of an entry host. Not thread-safe; runs on one event loop.
 */
class GatewayContext
{
public:
    //! Age of the last confirmation by a control host up to which no newer version is assumed.
    static constexpr Duration MaxConfirmationAge = std::chrono::seconds(1);

    /**
     * @param loop Event loop of all requests.
     * @param topology Location of this host.
     * @param headers Names of the HTTP headers.
     * @param retryPolicy Limit on retries of all entry hosts.
     * @param bodyMemory Memory for the bodies of concurrent requests, in bytes.
     */
    GatewayContext(boost::asio::io_context &loop, Topology topology, ForwardingHeaders headers,
                   const RetryPolicy &retryPolicy, std::uint64_t bodyMemory);
    ~GatewayContext();
    GatewayContext(const GatewayContext &) = delete;
    GatewayContext &operator=(const GatewayContext &) = delete;

    //! @return The route table in force; null before the first one is received.
    [[nodiscard]] const std::shared_ptr<const RouteTable> &routes() const noexcept
    {
        return m_routes;
    }
    //! Waits until a route table and a target list are present, or until the given time.
    [[nodiscard]] boost::asio::awaitable<void> waitForRoutes(Instant until);
    //! Waits until the routes in force are the newest or other than the known ones, or until the
    //! given time.
    [[nodiscard]] boost::asio::awaitable<void>
    waitForNewerRoutes(std::shared_ptr<const RouteTable> known, Instant until);
    //! @return False if a newer configuration was accepted, or may have been because no control
    //! host has confirmed the state for MaxConfirmationAge. A route that is missing then is no
    //! reason to refuse a request for good.
    [[nodiscard]] bool areRoutesNewest() const;
    //! Sets the newest accepted version; its routes may still be on their way to this host.
    void setNewestVersion(std::uint64_t version);
    //! @return The newest accepted version.
    [[nodiscard]] std::uint64_t newestVersion() const noexcept { return m_newestVersion; }
    //! Applies a newer target list of the platform, read @p age ago.
    void setTargets(const TargetList &list, Duration age);
    //! Puts a route table in force.
    void setRoutes(std::shared_ptr<const RouteTable> routes);
    //! Sets the number of entry hosts among which targets and budgets are divided.
    void setEntryHosts(std::size_t count);
    //! Sets the time at which this process exits; requests with a later deadline are rejected.
    void setShutdownDeadline(Instant instant) noexcept { m_shutdownDeadline = instant; }
    //! @return Time at which this process exits.
    [[nodiscard]] Instant shutdownDeadline() const noexcept { return m_shutdownDeadline; }
    //! Records a request for a service in its retry budget.
    void onRequest(const ServiceName &service, Instant now);
    //! Acquires a retry from the service's budget. @return False if the budget is exhausted.
    [[nodiscard]] bool tryRetry(const ServiceName &service, Instant now);

    //! Records that a target did not accept a connection or did not answer an attempt.
    //! @param attemptedAt Begin of the attempt.
    void observeUnreachable(const PooledTarget &target, PathFailure kind, Instant attemptedAt);
    //! Records that a target's answer arrived.
    void observeTargetAnswer();
    //! Records that a new connection to a target was established.
    void observeTargetConnection();
    //! Records the result of a round of probes of targets.
    void observeTargetProbes(bool anyEstablished);
    //! @return True if the failure of an attempt is evidence against its target: not while this
    //! host may be cut off from all targets, nor for an attempt from the time when it was. If no
    //! other host is known to reach targets, they are at fault.
    [[nodiscard]] bool isTargetAtFault(Instant attemptedAt) const noexcept;
    //! Replaces the peers that serve requests while this host reaches no target.
    void setForwardingPeers(std::vector<ForwardingPeer> peers);
    //! @return True if this host reaches no target although others do.
    [[nodiscard]] bool isCutOff() const noexcept;
    //! @return Whether this host reaches targets at all.
    [[nodiscard]] TargetPathMonitor &targetPath() noexcept { return m_targetPath; }

    //! Records that the connection of a request broke before the target answered.
    void observeLostRequest(const PooledTarget &target, RequestFingerprint request);

    [[nodiscard]] TargetPool &targets() noexcept { return m_targets; }
    //! @return Peers that serve requests while this host reaches no target.
    [[nodiscard]] ForwardingPeers &forwardingPeers() noexcept { return m_forwardingPeers; }
    //! @return Requests that are refused as they crash targets.
    [[nodiscard]] RequestQuarantine &quarantine() noexcept { return m_quarantine; }
    [[nodiscard]] HttpClientPool &connections() noexcept { return m_connections; }
    [[nodiscard]] const MemoryBudget &bodyMemory() const noexcept { return m_bodyMemory; }
    [[nodiscard]] RandomSource &random() noexcept { return m_random; }
    [[nodiscard]] const ForwardingHeaders &headers() const noexcept { return m_headers; }
    [[nodiscard]] GatewayMetrics &metrics() noexcept { return m_metrics; }
    //! Returns the time since the target list was read, for logs.
    std::function<Duration()> listAge = [] { return Duration(0); };
    //! Returns the time since a control host confirmed the configuration in force, for logs.
    std::function<Duration()> stateAge = [] { return Duration(0); };
    //! Called after each change of the belief whether this host reaches targets.
    std::function<void(const TargetPathChange &)> onTargetPathChange
        = [](const TargetPathChange &) {};
    //! @return Rate limiter of the log lines about successful requests.
    [[nodiscard]] LogRateLimiter &logRateLimiter() noexcept { return m_logRateLimiter; }

private:
    using Condition = std::function<bool()>;

    //! A request that waits for a condition.
    struct WaitingRequest
    {
        Condition condition;
        boost::asio::steady_timer timer;
    };

    [[nodiscard]] bool hasRoutesAndTargets() const;
    [[nodiscard]] boost::asio::awaitable<void> waitFor(Condition condition, Instant until);
    void resumeWaitingRequests();
    template <typename Observation>
    void updateTargetPath(Observation observe);
    void onTargetPathRestored(Instant now);
    void onTargetEnded(const TargetEnd &end);
    [[nodiscard]] RetryBudget &budget(const ServiceName &service);
    [[nodiscard]] RetryBudgetPolicy budgetPolicy() const;

    ForwardingHeaders m_headers;
    RetryPolicy m_retryPolicy;
    TargetPool m_targets;
    TargetPathMonitor m_targetPath;
    Instant m_targetPathChangedAt = monotonicNow();
    Instant m_targetPathRestoredAt = Instant::min(); //!< End of the last loss.
    ForwardingPeers m_forwardingPeers;
    HttpClientPool m_connections;
    std::shared_ptr<TargetEndDetector> m_targetEnds;
    RequestQuarantine m_quarantine { randomNumber() };
    MemoryBudget m_bodyMemory;
    RandomSource m_random;
    std::shared_ptr<const RouteTable> m_routes;
    std::map<ServiceName, RetryBudget> m_budgets;
    std::size_t m_entryHosts = 1;
    GatewayMetrics m_metrics;
    LogRateLimiter m_logRateLimiter;
    boost::asio::io_context &m_loop;
    std::list<std::shared_ptr<WaitingRequest>> m_waitingRequests;
    std::uint64_t m_newestVersion = 0;
    Instant m_shutdownDeadline = Instant::max();
};

} // namespace ggv
