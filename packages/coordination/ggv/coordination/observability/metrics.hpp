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
 * @brief Counters and histograms of a service. Thread-safe.
 *
 * Metric handles are looked up in the registry at construction; those of a result code and verdict
 * at their first use.
 */
class ServiceMetrics
{
public:
    ~ServiceMetrics();
    ServiceMetrics(const ServiceMetrics &) = delete;
    ServiceMetrics &operator=(const ServiceMetrics &) = delete;

    /**
     * @brief Records a request that has its final verdict.
     * @param result Code and verdict.
     * @param total Time from the arrival of the head to the verdict.
     * @param atTargets Part of the total time that was spent in attempts at targets.
     */
    void onRequest(const RequestResult &result, Duration total, Duration atTargets);
    //! Records a retry, which is any attempt of a request after the first.
    void onRetry() noexcept;
    //! Records a request that admission rejected.
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
 * Request counters and histograms accumulate. Gauges are read from the state of the request path at
 * each scrape, so that they have no cost between scrapes and disappear with their target.
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
     * @brief Returns the metrics of a service and creates them on first use. Thread-safe; callers
     * should retain the reference.
     * @param service Name of the service; empty for requests to unknown services.
     * @return The metrics, valid for the lifetime of this object.
     */
    [[nodiscard]] ServiceMetrics &service(const ServiceName &service);
    //! Sets ServiceState::metrics for all services of a view.
    void attach(const EntryView &view);
    //! Sets the sink whose dropped spans are reported; must be called before the first scrape.
    void setSpanSink(std::shared_ptr<const FileSpanSink> sink);
    //! Records the start of this host's drain.
    void onDrainBegin(Instant now) noexcept;
    //! Records the end of this host's drain, when all requests are finished.
    void onDrainEnd(Instant now) noexcept;

    /**
     * @brief Formats all metrics in the Prometheus text format.
     * @param view View of the register in force, or null if there is none.
     * @param report State of the control plane.
     * @param now The current time, for limits that expire and for the drain time.
     * @return The formatted metrics.
     */
    [[nodiscard]] std::string text(const EntryView *view, const ControlReport &report,
                                   Instant now) const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace ggv
