#pragma once

#include <ggv/state/core/time.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace ggv {

//! Values of a gateway that are read at a scrape.
struct GatewayGauges
{
    std::uint64_t version = 0; //!< Of the configuration in force.
    Duration stateAge { 0 }; //!< Since a control host confirmed it.
    Duration listAge { 0 }; //!< Since the list of targets was read.
    std::uint32_t entryHosts = 0; //!< That share targets and budgets.
    std::size_t targets = 0;
    std::uint64_t inFlight = 0; //!< Requests at targets.
    bool ready = false;
};

/**
 * @brief Counters and histograms of an entry host of the fleet; belongs to one loop.
 *
 * Labels are fixed words of this system, so that series do not grow with routes or targets.
 */
class GatewayMetrics
{
public:
    GatewayMetrics();
    ~GatewayMetrics();
    GatewayMetrics(const GatewayMetrics &) = delete;
    GatewayMetrics &operator=(const GatewayMetrics &) = delete;

    //! Counts a request that has ended. @param outcome Name of its event in the log.
    //! @param reason Its reason in the log. @param total Time since its head was read.
    void recordRequest(std::string_view outcome, std::string_view reason, Duration total);
    //! Counts an attempt at a target. @param end How it ended. @param taken Its time.
    void recordAttempt(std::string_view end, Duration taken);
    //! Counts a further attempt, or that the budget allowed none.
    void recordRetry(bool allowed);
    //! @return All metrics in the text format of Prometheus.
    [[nodiscard]] std::string text(const GatewayGauges &gauges) const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace ggv
