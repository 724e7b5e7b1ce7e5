#pragma once

#include <ggv/coordination/control/control_plane.hpp>
#include <ggv/coordination/entry/entry_view.hpp>
#include <ggv/coordination/observability/trace.hpp>
#include <ggv/state/core/result_code.hpp>
#include <ggv/state/core/time.hpp>
#include <ggv/state/request/request_state_machine.hpp>

#include <memory>
#include <string>

namespace ggv {

/**
 * @brief Counters and histograms of one service; usable from any thread.
 *
 * Handles of the registry are looked up when the object is created, or at the first use of a
 * result.
 */
class ServiceMetrics
{
public:
    ~ServiceMetrics();
    ServiceMetrics(const ServiceMetrics &) = delete;
    ServiceMetrics &operator=(const ServiceMetrics &) = delete;

    /**
     * @brief Counts a request that has got its final verdict.
     * @param result Code and verdict.
     * @param total Time from the arrival of the head to the verdict.
     * @param atTargets Part of it that attempts at targets took.
     */
    void onRequest(const RequestResult &result, Duration total, Duration atTargets);
    //! Counts an attempt after the first one of a request.
    void onRetry() noexcept;
    //! Counts a request that admission refused.
    void onShed() noexcept;

private:
    friend class Metrics;
    class Implementation;
    explicit ServiceMetrics(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> m_implementation;
};

/**
 * @brief All metrics of a process.
 *
 * Counters of requests are kept; gauges are read from the request path's state at each scrape, so
 * that they cost nothing in between and vanish with their target.
 */
class Metrics
{
public:
    //! @param domain Failure domain of the host.
    explicit Metrics(FailureDomainName domain);
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /**
     * @brief Gives the metrics of a service from any thread; to be called once per service.
     * @param service Name; empty for requests to unknown services.
     * @return The metrics, valid as long as this object.
     */
    [[nodiscard]] ServiceMetrics &service(const ServiceName &service);
    //! Sets ServiceState::metrics of all services of a view.
    void attach(const EntryView &view);
    //! Counts the dropped spans of a sink; to be called before the first scrape.
    void setSpanSink(std::shared_ptr<const FileSpanSink> sink);
    //! Notes that this host leaves.
    void onDrainBegin(Instant now) noexcept;
    //! Notes that this host has finished all requests.
    void onDrainEnd(Instant now) noexcept;

    /**
     * @brief Writes all metrics in the text format of Prometheus.
     * @param view The register in force, or null.
     * @param report What the control plane knows.
     * @param now For limits that depend on time.
     * @return The text.
     */
    [[nodiscard]] std::string text(const EntryView *view, const ControlReport &report,
                                   Instant now) const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace ggv
