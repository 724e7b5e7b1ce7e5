#pragma once

#include <ggv/state/core/time.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace ggv {

//! Gauges of a gateway, sampled at each scrape.
struct GatewayGauges
{
    std::uint64_t version = 0; //!< Version of the configuration in force.
    Duration stateAge { 0 }; //!< Time since a control host confirmed the state.
    Duration listAge { 0 }; //!< Time since the target list was read.
    std::uint64_t ignoredLists = 0; //!< Reports of the target list that were not applied.
    std::uint32_t entryHosts = 0; //!< Entry hosts that share targets and budgets.
    std::size_t targets = 0;
    std::size_t rateLimitedTargets = 0; //!< Targets that state a rate limit.
    std::size_t quarantinedRequests = 0; //!< Requests that are refused as they crash targets.
    std::uint64_t inFlight = 0; //!< Requests in progress at targets.
    bool ready = false;
    bool reachesTargets = true; //!< False while no target accepts connections of this host.
};

/**
 * @brief Counters and histograms of an entry host of the fleet. Not thread-safe.
 *
 * Label values come from fixed sets, so that the number of time series does not grow with routes
 * or targets.
 */
class GatewayMetrics
{
public:
    GatewayMetrics();
    ~GatewayMetrics();
    GatewayMetrics(const GatewayMetrics &) = delete;
    GatewayMetrics &operator=(const GatewayMetrics &) = delete;

    //! Records a completed request. @param outcome Name of its log event. @param reason Reason in
    //! the log event. @param total Time since the request head was read.
    void recordRequest(std::string_view outcome, std::string_view reason, Duration total);
    //! Records an attempt at a target. @param end How it ended. @param duration Its duration.
    void recordAttempt(std::string_view end, Duration duration);
    //! Records a request sent to a forwarding peer. @param end How it ended.
    void recordForwarding(std::string_view end);
    //! Records a retry. @param allowed False if the retry budget was exhausted.
    void recordRetry(bool allowed);
    //! @return All metrics in the Prometheus text format.
    [[nodiscard]] std::string text(const GatewayGauges &gauges) const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace ggv
