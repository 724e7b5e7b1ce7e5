#include <ggv/coordination/gateway/gateway_metrics.hpp>

#include <ggv/state/log/event_log.hpp>

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace ggv {

namespace {

//! Upper bucket bounds in seconds.
const prometheus::Histogram::BucketBoundaries LatencyBuckets { 0.005, 0.01, 0.025, 0.05, 0.1,
                                                               0.2,   0.3,  0.5,   0.75, 1.0,
                                                               1.5,   2.5,  5.0,   10.0 };

double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

void addGauge(prometheus::Registry &registry, const char *name, const char *help, double value)
{
    prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({}).Set(value);
}

} // namespace

class GatewayMetrics::Implementation
{
public:
    prometheus::Registry m_registry;
    prometheus::Family<prometheus::Counter> &m_requests
        = prometheus::BuildCounter()
              .Name("ggv_gateway_requests_total")
              .Help("Requests that ended, by outcome and reason")
              .Register(m_registry);
    prometheus::Family<prometheus::Histogram> &m_latency
        = prometheus::BuildHistogram()
              .Name("ggv_gateway_request_seconds")
              .Help("Time from the head of a request to its end")
              .Register(m_registry);
    prometheus::Family<prometheus::Histogram> &m_attempts
        = prometheus::BuildHistogram()
              .Name("ggv_gateway_attempt_seconds")
              .Help("Time of attempts at targets, by how they ended")
              .Register(m_registry);
    prometheus::Family<prometheus::Counter> &m_forwarded
        = prometheus::BuildCounter()
              .Name("ggv_gateway_forwarded_total")
              .Help("Requests sent to forwarding peers, by how they ended")
              .Register(m_registry);
    prometheus::Family<prometheus::Counter> &m_retries
        = prometheus::BuildCounter()
              .Name("ggv_gateway_retries_total")
              .Help("Further attempts, and those that the budget did not allow")
              .Register(m_registry);
};

GatewayMetrics::GatewayMetrics()
    : m_implementation(std::make_unique<Implementation>())
{ }

GatewayMetrics::~GatewayMetrics() = default;

void GatewayMetrics::recordRequest(std::string_view outcome, std::string_view reason,
                                   Duration total)
{
    const std::string name(outcome);
    m_implementation->m_requests.Add({ { "outcome", name }, { "reason", std::string(reason) } })
        .Increment();
    m_implementation->m_latency.Add({ { "outcome", name } }, LatencyBuckets)
        .Observe(toSeconds(total));
}

void GatewayMetrics::recordAttempt(std::string_view end, Duration duration)
{
    m_implementation->m_attempts.Add({ { "end", std::string(end) } }, LatencyBuckets)
        .Observe(toSeconds(duration));
}

void GatewayMetrics::recordForwarding(std::string_view end)
{
    m_implementation->m_forwarded.Add({ { "end", std::string(end) } }).Increment();
}

void GatewayMetrics::recordRetry(bool allowed)
{
    m_implementation->m_retries.Add({ { "allowed", allowed ? "yes" : "no" } }).Increment();
}

std::string GatewayMetrics::text(const GatewayGauges &gauges) const
{
    prometheus::Registry gaugeRegistry;
    addGauge(gaugeRegistry, "ggv_gateway_version", "Version of the configuration in force",
             static_cast<double>(gauges.version));
    addGauge(gaugeRegistry, "ggv_gateway_state_age_seconds",
             "Since a control host confirmed the state", toSeconds(gauges.stateAge));
    addGauge(gaugeRegistry, "ggv_gateway_list_age_seconds", "Since the list of targets was read",
             toSeconds(gauges.listAge));
    addGauge(gaugeRegistry, "ggv_gateway_ignored_lists",
             "Reports of the list of targets that were not applied",
             static_cast<double>(gauges.ignoredLists));
    addGauge(gaugeRegistry, "ggv_gateway_entry_hosts", "Hosts that share targets and budgets",
             gauges.entryHosts);
    addGauge(gaugeRegistry, "ggv_gateway_targets", "Targets in the list",
             static_cast<double>(gauges.targets));
    addGauge(gaugeRegistry, "ggv_gateway_rate_limited_targets", "Targets that state a rate limit",
             static_cast<double>(gauges.rateLimitedTargets));
    addGauge(gaugeRegistry, "ggv_gateway_quarantined_requests",
             "Requests that are refused as they crash targets",
             static_cast<double>(gauges.quarantinedRequests));
    addGauge(gaugeRegistry, "ggv_gateway_in_flight", "Requests at targets",
             static_cast<double>(gauges.inFlight));
    addGauge(gaugeRegistry, "ggv_gateway_ready", "1 while this host takes new work",
             gauges.ready ? 1 : 0);
    addGauge(gaugeRegistry, "ggv_gateway_reaches_targets",
             "0 while no target accepts connections of this host", gauges.reachesTargets ? 1 : 0);
    addGauge(gaugeRegistry, "ggv_log_lines_dropped", "Log lines that nobody read in time",
             static_cast<double>(droppedLogLines()));
    auto families = m_implementation->m_registry.Collect();
    for (auto &it : gaugeRegistry.Collect())
        families.push_back(std::move(it));
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace ggv
