#include <ggv/coordination/observability/metrics.hpp>

#include <ggv/state/budget/budget_keys.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <map>
#include <mutex>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace ggv {

namespace {

constexpr std::size_t CodeCount = static_cast<std::size_t>(ResultCode::Internal) + 1;
constexpr std::size_t VerdictCount = 3;

// Upper bounds of the histogram buckets, in seconds.
const prometheus::Histogram::BucketBoundaries RequestBounds {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60,
};
const prometheus::Histogram::BucketBoundaries AddedBounds {
    0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 5,
};

double secondsOf(Duration duration) { return std::chrono::duration<double>(duration).count(); }

using Labels = prometheus::Labels;

//! Collects the values that are read at a scrape.
class ScrapeValues
{
public:
    void gauge(const std::string &name, const std::string &help, const Labels &labels, double value)
    {
        prometheus::BuildGauge().Name(name).Help(help).Register(m_registry).Add(labels).Set(value);
    }

    void counter(const std::string &name, const std::string &help, const Labels &labels,
                 std::uint64_t value)
    {
        auto &family = prometheus::BuildCounter().Name(name).Help(help).Register(m_registry);
        family.Add(labels).Increment(static_cast<double>(value));
    }

    std::vector<prometheus::MetricFamily> collect() const { return m_registry.Collect(); }

private:
    prometheus::Registry m_registry { prometheus::Registry::InsertBehavior::Merge };
};

void addTarget(ScrapeValues &out, const TargetRoute &route, Instant now)
{
    const Labels labels { { "service", route.target->service.text() },
                          { "target", route.target->name.text() } };
    const double inFlight = route.state->inFlight();
    const double leased = route.state->limit(now);
    out.gauge("ggv_target_in_flight", "Requests in flight from this host.", labels, inFlight);
    out.gauge("ggv_target_leased_slots", "Slots that this host may use now.", labels, leased);
    out.gauge("ggv_target_headroom", "Leased slots less requests in flight; below 0 after a cut.",
              labels, leased - inFlight);
}

//! Total demand by budget key. Targets share rate limiters, each of which is reported only once.
using Demands = std::map<BudgetKey, std::uint64_t>;

void addDemand(Demands &demands, const Register &content, const FailureDomainName &domain,
               const TargetRoute &route)
{
    const auto *from = content.regionOf(domain);
    const auto *to = content.regionOf(route.target->domain);
    if (!route.path || from == nullptr || to == nullptr)
        return;
    demands[linkRateKey(*from, *to)] = route.path->outboundLink->demandTotal();
    demands[linkRateKey(*to, *from)] = route.path->inboundLink->demandTotal();
    if (route.path->shift)
        demands[shiftRateKey(route.target->service, *from, *to)] = route.path->shift->demandTotal();
}

void addDemands(ScrapeValues &out, const Demands &demands)
{
    for (const auto &[key, total] : demands) {
        if (key.kind == BudgetKind::LinkRate)
            out.counter("ggv_link_demand_kilobits_total", "Kilobits wanted on a link.",
                        { { "link", key.subject } }, total);
        else
            out.counter("ggv_shift_demand_requests_total",
                        "Requests that wanted to go to another region.",
                        { { "shift", key.subject } }, total);
    }
}

void addView(ScrapeValues &out, const EntryView &view, const FailureDomainName &domain, Instant now)
{
    Demands demands;
    for (const auto &service : view.content().content().services) {
        const auto *route = view.service(service.name.text());
        if (route == nullptr)
            continue;
        out.gauge("ggv_queue_length", "Requests that wait for a slot.",
                  { { "service", service.name.text() } }, route->state->queued.load());
        for (const auto &target : route->targets) {
            addTarget(out, target, now);
            addDemand(demands, view.content(), domain, target);
        }
    }
    addDemands(out, demands);
}

void addReport(ScrapeValues &out, const ControlReport &report)
{
    out.gauge("ggv_register_version", "Version of the register in force; 0: none.", {},
              static_cast<double>(report.inForce));
    out.gauge("ggv_leader", "1 if this host leads the control quorum.", {},
              report.leading ? 1.0 : 0.0);
    out.counter("ggv_peer_sent_bytes_total", "Bytes sent to other hosts.", {}, report.bytesSent);
}

} // namespace

class ServiceMetrics::Implementation
{
public:
    using Counters = prometheus::Family<prometheus::Counter>;
    using Histograms = prometheus::Family<prometheus::Histogram>;

    //! Metric families, shared by all services.
    struct Families
    {
        Counters &requests;
        Histograms &time;
        Histograms &added;
        Counters &retries;
        Counters &sheds;
    };

    Implementation(const Families &families, std::string service)
        : m_requests(families.requests)
        , m_service(std::move(service))
        , m_time(families.time.Add({ { "service", m_service } }, RequestBounds))
        , m_added(families.added.Add({ { "service", m_service } }, AddedBounds))
        , m_retries(families.retries.Add({ { "service", m_service } }))
        , m_sheds(families.sheds.Add({ { "service", m_service } }))
    { }

    void onRequest(const RequestResult &result, Duration total, Duration atTargets)
    {
        counterOf(result).Increment();
        m_time.Observe(secondsOf(total));
        m_added.Observe(secondsOf(std::max(total - atTargets, Duration(0))));
    }

    void onRetry() noexcept { m_retries.Increment(); }
    void onShed() noexcept { m_sheds.Increment(); }

private:
    // Thread-safe without a lock: the family returns the same counter to concurrent callers.
    prometheus::Counter &counterOf(const RequestResult &result)
    {
        const auto code = std::min(static_cast<std::size_t>(result.code), CodeCount - 1);
        const auto verdict = static_cast<std::size_t>(result.verdict);
        auto &entry = m_results[code * VerdictCount + verdict];
        auto *counter = entry.load(std::memory_order_acquire);
        if (counter == nullptr) {
            counter = &m_requests.Add({ { "service", m_service },
                                        { "result", std::string(resultCodeName(result.code)) },
                                        { "verdict", std::string(verdictName(result.verdict)) } });
            entry.store(counter, std::memory_order_release);
        }
        return *counter;
    }

    Counters &m_requests;
    const std::string m_service;
    prometheus::Histogram &m_time;
    prometheus::Histogram &m_added;
    prometheus::Counter &m_retries;
    prometheus::Counter &m_sheds;
    std::array<std::atomic<prometheus::Counter *>, CodeCount * VerdictCount> m_results {};
};

ServiceMetrics::ServiceMetrics(std::unique_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{ }

ServiceMetrics::~ServiceMetrics() = default;

void ServiceMetrics::onRequest(const RequestResult &result, Duration total, Duration atTargets)
{
    m_implementation->onRequest(result, total, atTargets);
}

void ServiceMetrics::onRetry() noexcept { m_implementation->onRetry(); }

void ServiceMetrics::onShed() noexcept { m_implementation->onShed(); }

class Metrics::Implementation
{
public:
    explicit Implementation(FailureDomainName domain)
        : m_domain(std::move(domain))
    { }

    ServiceMetrics &service(const ServiceName &name)
    {
        const std::lock_guard lock(m_mutex);
        auto &entry = m_services[name];
        if (!entry)
            entry.reset(new ServiceMetrics(
                std::make_unique<ServiceMetrics::Implementation>(m_families, name.text())));
        return *entry;
    }

    void setSpanSink(std::shared_ptr<const FileSpanSink> sink) { m_spans = std::move(sink); }
    void onDrainBegin(Instant now) noexcept { m_drainBegin = now.time_since_epoch().count(); }
    void onDrainEnd(Instant now) noexcept { m_drainEnd = now.time_since_epoch().count(); }

    std::string text(const EntryView *view, const ControlReport &report, Instant now) const
    {
        ScrapeValues values;
        addReport(values, report);
        if (view != nullptr)
            addView(values, *view, m_domain, now);
        values.gauge("ggv_drain_seconds", "Time that this host's leaving takes or took; 0: serves.",
                     {}, drainSeconds(now));
        values.counter("ggv_spans_dropped_total", "Finished spans that were not written.", {},
                       m_spans ? m_spans->dropped() : 0);
        auto families = m_registry.Collect();
        const auto read = values.collect();
        families.insert(families.end(), read.begin(), read.end());
        return prometheus::TextSerializer().Serialize(families);
    }

private:
    double drainSeconds(Instant now) const noexcept
    {
        const auto begin = m_drainBegin.load();
        if (begin == NoInstant)
            return 0.0;
        const auto end = m_drainEnd.load();
        const Instant last = end == NoInstant ? now : Instant(Duration(end));
        return secondsOf(last - Instant(Duration(begin)));
    }

    static constexpr Duration::rep NoInstant = -1;

    const FailureDomainName m_domain;
    prometheus::Registry m_registry;
    ServiceMetrics::Implementation::Families m_families {
        prometheus::BuildCounter()
            .Name("ggv_requests_total")
            .Help("Requests with a final verdict.")
            .Register(m_registry),
        prometheus::BuildHistogram()
            .Name("ggv_request_seconds")
            .Help("Time from the arrival of the head to the final verdict.")
            .Register(m_registry),
        prometheus::BuildHistogram()
            .Name("ggv_added_seconds")
            .Help("Time of a request less the time that its attempts at targets took.")
            .Register(m_registry),
        prometheus::BuildCounter()
            .Name("ggv_retries_total")
            .Help("Attempts after the first one of a request.")
            .Register(m_registry),
        prometheus::BuildCounter()
            .Name("ggv_sheds_total")
            .Help("Requests that admission refused.")
            .Register(m_registry),
    };
    std::shared_ptr<const FileSpanSink> m_spans;
    std::mutex m_mutex;
    std::map<ServiceName, std::unique_ptr<ServiceMetrics>> m_services;
    std::atomic<Duration::rep> m_drainBegin = NoInstant;
    std::atomic<Duration::rep> m_drainEnd = NoInstant;
};

Metrics::Metrics(FailureDomainName domain)
    : m_implementation(std::make_unique<Implementation>(std::move(domain)))
{ }

Metrics::~Metrics() = default;

ServiceMetrics &Metrics::service(const ServiceName &service)
{
    return m_implementation->service(service);
}

void Metrics::attach(const EntryView &view)
{
    for (const auto &service : view.content().content().services) {
        if (const auto *route = view.service(service.name.text()))
            route->state->metrics.store(&this->service(service.name));
    }
}

void Metrics::setSpanSink(std::shared_ptr<const FileSpanSink> sink)
{
    m_implementation->setSpanSink(std::move(sink));
}

void Metrics::onDrainBegin(Instant now) noexcept { m_implementation->onDrainBegin(now); }

void Metrics::onDrainEnd(Instant now) noexcept { m_implementation->onDrainEnd(now); }

std::string Metrics::text(const EntryView *view, const ControlReport &report, Instant now) const
{
    return m_implementation->text(view, report, now);
}

} // namespace ggv
