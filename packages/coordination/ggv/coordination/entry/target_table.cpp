#include <ggv/coordination/entry/target_table.hpp>

#include <ggv/state/admission/adaptive_limit.hpp>
#include <ggv/state/budget/budget_keys.hpp>
#include <ggv/state/steering/drain_schedule.hpp>
#include <ggv/state/steering/slot_demand.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include <boost/lockfree/queue.hpp>

namespace ggv {

namespace {

constexpr std::size_t MaxQueuedReports = 32'768; //!< Capacity of each queue between two refreshes.
constexpr double MaximumDownShare = 0.5;
constexpr double ArrivalRateSmoothing = 0.5; //!< Smoothing factor of the arrival rate.
constexpr double RateMargin = 1.3; //!< Requested rate, relative to the measured demand.
constexpr double ServiceTimeSmoothing = 0.02; //!< Smoothing factor of the service time.
constexpr Duration InitialServiceTime = std::chrono::milliseconds(50);

//! Queued report on whether a target is leaving.
struct LeavingReport
{
    std::uint32_t target = 0;
    EvidenceSource source = EvidenceSource::Target;
    std::uint64_t stamp = 0;
    bool isLeaving = false;
};

//! State of one target on the control loop.
struct TargetRecord
{
    std::shared_ptr<TargetState> state;
    TargetHealth health = TargetHealth::warm();
    AdaptiveLimit adaptive = AdaptiveLimit::warm();
    BudgetUnits usable = 0; //!< Fixed and leased slots until usableUntil.
    Instant usableUntil = Instant::min();
    BudgetUnits usableAfter = 0; //!< Fixed and leased slots from usableUntil on.
    std::uint32_t reportedInFlight = 0; //!< Requests in flight as reported in the last demand.

    // Publishes the usable slots, capped by the adaptive limit.
    void publishLimit() const
    {
        state->setLimit(adaptive.limit(usable), usableUntil, adaptive.limit(usableAfter));
    }
    std::vector<DrainWindow> drains;
};

//! State of one leased rate on the control loop.
struct RateLimiterRecord
{
    std::shared_ptr<RateLimiter> state;
    BudgetUnits usable = 0;
};

//! State of one service on the control loop.
struct ServiceRecord
{
    std::shared_ptr<ServiceState> state = std::make_shared<ServiceState>();
    double arrivalsPerSecond = 0.0;
    double serviceTime = static_cast<double>(InitialServiceTime.count());
};

bool appliesTo(const Drain &drain, const Target &target, const Register &content)
{
    switch (drain.scope) {
    case DrainScope::Target:
        return drain.name == target.name.text();
    case DrainScope::FailureDomain:
        return drain.name == target.domain.text();
    case DrainScope::Region:
        return drain.name == content.regionOf(target.domain)->text();
    }
    return false;
}

std::vector<DrainWindow> drainsOf(const Target &target, const Register &content)
{
    std::vector<DrainWindow> windows;
    for (const auto &drain : content.content().drains) {
        if (appliesTo(drain, target, content))
            windows.push_back({ drain.startsAt, drain.emptyAt });
    }
    return windows;
}

// True if the register says that the name now belongs to another process: its entry was missing or
// marked as leaving, or has another endpoint.
bool isOtherProcess(const Register &earlier, const Target &target)
{
    const auto *known = earlier.target(target.name);
    if (known == nullptr || known->endpoint != target.endpoint)
        return true;
    return known->leaving && !target.leaving;
}

} // namespace

class TargetTable::Implementation
{
public:
    explicit Implementation(FailureDomainName domain)
        : m_domain(std::move(domain))
    { }

    TargetRecord &recordOf(const Target &target)
    {
        const auto it = m_numbers.find(target.name);
        if (it != m_numbers.end())
            return m_targets[it->second];
        const auto number = static_cast<std::uint32_t>(m_targets.size());
        m_numbers.emplace(target.name, number);
        auto &record = m_targets.emplace_back();
        record.state = std::make_shared<TargetState>(number);
        return record;
    }

    std::shared_ptr<RateLimiter> rateLimiterOf(const BudgetKey &key)
    {
        auto &rateLimiter = m_rateLimiters[key];
        if (!rateLimiter.state)
            rateLimiter.state = std::make_shared<RateLimiter>();
        return rateLimiter.state;
    }

    std::shared_ptr<const EntryView> buildView(const std::shared_ptr<const Register> &content,
                                               Instant now)
    {
        const auto earlier = std::exchange(m_content, content);
        const auto stamp = static_cast<std::uint64_t>(now.time_since_epoch().count());
        for (const auto &target : content->content().targets) {
            auto &record = recordOf(target);
            record.drains = drainsOf(target, *content);
            if (isOtherProcess(*earlier, target))
                record.health.observeLeaving(EvidenceSource::Target, stamp, false);
            record.health.observeLeaving(EvidenceSource::Register, content->version(),
                                         target.leaving);
        }
        const EntryView::SharedStateProvider states {
            [this](const Target &target) { return recordOf(target).state; },
            [this](const Service &service) { return m_services[service.name].state; },
            [this](const BudgetKey &key) { return rateLimiterOf(key); },
        };
        return std::make_shared<const EntryView>(content, m_domain, states);
    }

    void applyObservation(const TargetObservation &it)
    {
        auto &record = m_targets[it.target];
        record.health.observeRequest(it.outcome, it.sentAt, it.endedAt);
        if (it.outcome == TargetOutcome::TimedOut || it.outcome == TargetOutcome::Overloaded)
            record.adaptive.onOverload(it.endedAt);
        if (it.outcome == TargetOutcome::Success)
            record.adaptive.onSuccess(it.endedAt - it.sentAt, it.endedAt);
    }

    void processQueues()
    {
        m_observations.consume_all([this](const TargetObservation &it) { applyObservation(it); });
        m_leavingReports.consume_all([this](const LeavingReport &it) {
            m_targets[it.target].health.observeLeaving(it.source, it.stamp, it.isLeaving);
        });
    }

    void publish(const Service &service, Instant now, UnixMillis wallNow)
    {
        const auto &targets = m_content->targetsOf(service.name);
        m_states.clear();
        for (const auto *target : targets)
            m_states.push_back(recordOf(*target).health.state(now));
        applyPanicRule(m_states, MaximumDownShare);
        for (std::size_t n = 0; n < targets.size(); ++n) {
            auto &record = recordOf(*targets[n]);
            const double weight
                = std::min(record.health.weight(), drainWeight(record.drains, wallNow));
            record.publishLimit();
            record.state->setAssessment(m_states[n], weight, record.adaptive.expectedLatency());
            updateServiceTime(m_services[service.name], record);
        }
    }

    static void updateServiceTime(ServiceRecord &service, const TargetRecord &target)
    {
        const auto latency = static_cast<double>(target.adaptive.expectedLatency().count());
        if (latency > 0.0)
            service.serviceTime += ServiceTimeSmoothing * (latency - service.serviceTime);
        service.state->serviceTime = static_cast<Duration::rep>(service.serviceTime);
    }

    void addSlotDemands(const Service &service, Duration elapsed,
                        std::vector<BudgetDemand> &demands)
    {
        auto &record = m_services[service.name];
        const double seconds = std::chrono::duration<double>(elapsed).count();
        const double rate = record.state->arrivals.exchange(0) / std::max(seconds, 0.001);
        record.arrivalsPerSecond += ArrivalRateSmoothing * (rate - record.arrivalsPerSecond);
        const auto &targets = m_content->targetsOf(service.name);
        std::vector<DemandTarget> candidates;
        for (const auto *target : targets) {
            const auto proximity = proximityOf(*m_content, m_domain, target->domain);
            const bool isAvailable = recordOf(*target).state->weight() > 0.0
                && recordOf(*target).state->health() <= HealthState::Suspect;
            candidates.push_back(
                { proximity, isAvailable ? target->slots : 0, recordOf(*target).usable });
        }
        std::vector<std::uint32_t> wanted(targets.size());
        const Duration serviceTime(static_cast<Duration::rep>(record.serviceTime));
        distributeDemand(offeredLoad(record.arrivalsPerSecond, serviceTime),
                         otherRegionLimit(service), candidates, wanted);
        for (std::size_t n = 0; n < targets.size(); ++n) {
            auto &target = recordOf(*targets[n]);
            target.reportedInFlight = target.state->inFlight();
            const auto minimum = candidates[n].slots > 0 ? minimumSlotDemand(*targets[n]) : 0;
            demands.push_back({ targetSlotsKey(targets[n]->name), target.reportedInFlight,
                                std::max({ target.reportedInFlight, wanted[n], minimum }) });
        }
    }

    // An idle host still requests some slots of its own failure domain, so that a burst finds free
    // ones.
    BudgetUnits minimumSlotDemand(const Target &target) const
    {
        const auto hosts = static_cast<BudgetUnits>(m_content->hostsOf(m_domain).size());
        if (target.domain != m_domain || hosts == 0)
            return 0;
        return std::max<BudgetUnits>(1, target.slots / (2 * hosts));
    }

    void addRateDemands(Duration elapsed, std::vector<BudgetDemand> &demands)
    {
        const double seconds = std::max(std::chrono::duration<double>(elapsed).count(), 0.001);
        for (auto &[key, rateLimiter] : m_rateLimiters) {
            const double rate = static_cast<double>(rateLimiter.state->takeDemand()) / seconds;
            const auto wanted = static_cast<BudgetUnits>(std::ceil(rate * RateMargin));
            demands.push_back({ key, 0, wanted });
        }
    }

    // Bounds the demand for slots in other regions by the leased shift or link rates.
    double otherRegionLimit(const Service &service)
    {
        const auto *own = m_content->regionOf(m_domain);
        const double seconds = m_services[service.name].serviceTime / Duration::period::den;
        double limit = 0.0;
        for (const auto &region : m_content->content().regions) {
            if (own == nullptr || region.name == *own)
                continue;
            const bool capped = m_content->shiftCap(service.name, *own, region.name) != nullptr;
            const auto &key = capped ? shiftRateKey(service.name, *own, region.name)
                                     : linkRateKey(*own, region.name);
            const auto rateLimiter = m_rateLimiters.find(key);
            limit
                += rateLimiter == m_rateLimiters.end() ? 0.0 : rateLimiter->second.usable * seconds;
        }
        return limit;
    }

    bool apply(const Target &target, const BudgetHolder &holder, Instant now, Instant until)
    {
        auto &record = recordOf(target);
        const BudgetKey key = targetSlotsKey(target.name);
        record.usable = holder.usable(key, now);
        record.usableUntil = until;
        record.usableAfter = std::min(record.usable, holder.usable(key, until));
        record.publishLimit();
        return record.state->inFlight() <= std::max(record.usable, record.reportedInFlight);
    }

    FailureDomainName m_domain;
    std::shared_ptr<const Register> m_content = std::make_shared<const Register>();
    std::vector<TargetRecord> m_targets;
    std::map<TargetName, std::uint32_t> m_numbers;
    std::map<ServiceName, ServiceRecord> m_services;
    std::map<BudgetKey, RateLimiterRecord> m_rateLimiters;
    std::vector<HealthState> m_states;
    Instant m_lastDemandsAt = Instant::min();
    boost::lockfree::queue<TargetObservation, boost::lockfree::capacity<MaxQueuedReports>>
        m_observations;
    boost::lockfree::queue<LeavingReport, boost::lockfree::capacity<MaxQueuedReports>>
        m_leavingReports;
};

TargetTable::TargetTable(FailureDomainName domain)
    : m_implementation(std::make_unique<Implementation>(std::move(domain)))
{ }

TargetTable::~TargetTable() = default;

void TargetTable::observe(const TargetObservation &observation) noexcept
{
    (void)m_implementation->m_observations.push(observation);
}

void TargetTable::observeLeaving(std::uint32_t target, EvidenceSource source, std::uint64_t stamp,
                                 bool isLeaving) noexcept
{
    (void)m_implementation->m_leavingReports.push({ target, source, stamp, isLeaving });
}

std::shared_ptr<const EntryView>
TargetTable::buildView(const std::shared_ptr<const Register> &content, Instant now)
{
    return m_implementation->buildView(content, now);
}

void TargetTable::refresh(Instant now, UnixMillis wallNow)
{
    m_implementation->processQueues();
    for (const auto &service : m_implementation->m_content->content().services)
        m_implementation->publish(service, now, wallNow);
}

std::vector<BudgetDemand> TargetTable::takeDemands(Instant now)
{
    auto &targetTable = *m_implementation;
    const bool first = targetTable.m_lastDemandsAt == Instant::min();
    const Duration elapsed = first ? Duration(0) : Duration(now - targetTable.m_lastDemandsAt);
    targetTable.m_lastDemandsAt = now;
    std::vector<BudgetDemand> demands;
    for (const auto &service : targetTable.m_content->content().services)
        targetTable.addSlotDemands(service, elapsed, demands);
    targetTable.addRateDemands(elapsed, demands);
    return demands;
}

bool TargetTable::takeUnmetDemand()
{
    bool hasUnmetDemand = false;
    for (auto &[name, service] : m_implementation->m_services)
        hasUnmetDemand = service.state->hasUnmetDemand.exchange(false) || hasUnmetDemand;
    return hasUnmetDemand;
}

bool TargetTable::applyBudgets(const BudgetHolder &holder, Instant now)
{
    auto &targetTable = *m_implementation;
    const Instant until = holder.nextChange(now);
    bool withinLimits = true;
    for (const auto &target : targetTable.m_content->content().targets)
        withinLimits = targetTable.apply(target, holder, now, until) && withinLimits;
    for (auto &[key, rateLimiter] : targetTable.m_rateLimiters) {
        rateLimiter.usable = holder.usable(key, now);
        rateLimiter.state->setRate(rateLimiter.usable, until, now);
    }
    return withinLimits;
}

} // namespace ggv
