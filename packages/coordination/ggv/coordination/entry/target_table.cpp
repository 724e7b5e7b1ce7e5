#include <ggv/coordination/entry/target_table.hpp>

#include <ggv/state/admission/adaptive_limit.hpp>
#include <ggv/state/budget/budget_keys.hpp>
#include <ggv/state/steering/drain_schedule.hpp>
#include <ggv/state/steering/slot_demand.hpp>

#include <algorithm>
#include <cmath>
#include <map>

#include <boost/lockfree/queue.hpp>

namespace ggv {

namespace {

constexpr std::size_t MaxWaiting = 32'768; //!< Observations between two refreshes.
constexpr double MaximumDownShare = 0.5;
constexpr double ArrivalRateStep = 0.5; //!< Weight of the newest arrival rate.
constexpr double RateMargin = 1.3; //!< Rate asked for, relative to the demand.
constexpr double ServiceTimeStep = 0.02; //!< Weight of the newest service time.
constexpr Duration InitialServiceTime = std::chrono::milliseconds(50);

//! A statement on leaving, on its way to the control loop.
struct LeavingStatement
{
    std::uint32_t target = 0;
    EvidenceSource source = EvidenceSource::Target;
    std::uint64_t stamp = 0;
    bool isLeaving = false;
};

//! What the control loop knows about one target.
struct TargetRecord
{
    std::shared_ptr<TargetState> state;
    TargetHealth health = TargetHealth::warm();
    AdaptiveLimit adaptive = AdaptiveLimit::warm();
    BudgetUnits usable = 0; //!< Fixed and leased slots.
    Instant usableUntil = Instant::min();
    BudgetUnits usableAfter = 0; //!< From usableUntil on.
    std::uint32_t reported = 0; //!< Requests in flight in the last demand.

    // Publishes the smaller of the leased slots and the adaptive limit.
    void publishLimit() const
    {
        state->setLimit(adaptive.limit(usable), usableUntil, adaptive.limit(usableAfter));
    }
    std::vector<DrainWindow> drains;
};

//! What the control loop knows about one leased rate.
struct GateRecord
{
    std::shared_ptr<RateLimiter> state;
    BudgetUnits usable = 0;
};

//! What the control loop knows about one service.
struct ServiceRecord
{
    std::shared_ptr<ServiceState> state = std::make_shared<ServiceState>();
    double arrivalsPerSecond = 0.0;
    double serviceTime = static_cast<double>(InitialServiceTime.count());
};

bool concerns(const Drain &drain, const Target &target, const Register &content)
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
        if (concerns(drain, target, content))
            windows.push_back({ drain.startsAt, drain.emptyAt });
    }
    return windows;
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

    std::shared_ptr<RateLimiter> gateOf(const BudgetKey &key)
    {
        auto &rateLimiter = m_rateLimiters[key];
        if (!rateLimiter.state)
            rateLimiter.state = std::make_shared<RateLimiter>();
        return rateLimiter.state;
    }

    std::shared_ptr<const EntryView> buildView(const std::shared_ptr<const Register> &content)
    {
        m_content = content;
        for (const auto &target : content->content().targets) {
            auto &record = recordOf(target);
            record.drains = drainsOf(target, *content);
            record.health.observeLeaving(EvidenceSource::Register, content->version(),
                                         target.leaving);
        }
        const EntryView::SharedStateProvider states {
            [this](const Target &target) { return recordOf(target).state; },
            [this](const Service &service) { return m_services[service.name].state; },
            [this](const BudgetKey &key) { return gateOf(key); },
        };
        return std::make_shared<const EntryView>(content, m_domain, states);
    }

    void take(const TargetObservation &it)
    {
        auto &record = m_targets[it.target];
        record.health.observeRequest(it.outcome, it.sentAt, it.endedAt);
        if (it.outcome == TargetOutcome::TimedOut || it.outcome == TargetOutcome::Overloaded)
            record.adaptive.onOverload(it.endedAt);
        if (it.outcome == TargetOutcome::Success)
            record.adaptive.onSuccess(it.endedAt - it.sentAt, it.endedAt);
    }

    void drainQueues()
    {
        m_observations.consume_all([this](const TargetObservation &it) { take(it); });
        m_statements.consume_all([this](const LeavingStatement &it) {
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
            learnServiceTime(m_services[service.name], record);
        }
    }

    static void learnServiceTime(ServiceRecord &service, const TargetRecord &target)
    {
        const auto latency = static_cast<double>(target.adaptive.expectedLatency().count());
        if (latency > 0.0)
            service.serviceTime += ServiceTimeStep * (latency - service.serviceTime);
        service.state->serviceTime = static_cast<Duration::rep>(service.serviceTime);
    }

    void demandOf(const Service &service, Duration elapsed, std::vector<BudgetDemand> &demands)
    {
        auto &record = m_services[service.name];
        const double seconds = std::chrono::duration<double>(elapsed).count();
        const double rate = record.state->arrivals.exchange(0) / std::max(seconds, 0.001);
        record.arrivalsPerSecond += ArrivalRateStep * (rate - record.arrivalsPerSecond);
        const auto &targets = m_content->targetsOf(service.name);
        std::vector<DemandTarget> possible;
        for (const auto *target : targets) {
            const auto proximity = proximityOf(*m_content, m_domain, target->domain);
            const bool works = recordOf(*target).state->weight() > 0.0
                && recordOf(*target).state->health() <= HealthState::Suspect;
            possible.push_back({ proximity, works ? target->slots : 0, recordOf(*target).usable });
        }
        std::vector<std::uint32_t> wanted(targets.size());
        const Duration serviceTime(static_cast<Duration::rep>(record.serviceTime));
        distributeDemand(offeredLoad(record.arrivalsPerSecond, serviceTime),
                         otherRegionLimit(service), possible, wanted);
        for (std::size_t n = 0; n < targets.size(); ++n) {
            auto &target = recordOf(*targets[n]);
            target.reported = target.state->inFlight();
            const auto least = possible[n].slots > 0 ? leastWanted(*targets[n]) : 0;
            demands.push_back({ targetSlotsKey(targets[n]->name), target.reported,
                                std::max({ target.reported, wanted[n], least }) });
        }
    }

    // An idle host keeps some slots of its own failure domain, so that a burst finds them.
    BudgetUnits leastWanted(const Target &target) const
    {
        const auto hosts = static_cast<BudgetUnits>(m_content->hostsOf(m_domain).size());
        if (target.domain != m_domain || hosts == 0)
            return 0;
        return std::max<BudgetUnits>(1, target.slots / (2 * hosts));
    }

    void demandRates(Duration elapsed, std::vector<BudgetDemand> &demands)
    {
        const double seconds = std::max(std::chrono::duration<double>(elapsed).count(), 0.001);
        for (auto &[key, rateLimiter] : m_rateLimiters) {
            const double rate = static_cast<double>(rateLimiter.state->takeDemand()) / seconds;
            const auto wanted = static_cast<BudgetUnits>(std::ceil(rate * RateMargin));
            demands.push_back({ key, 0, wanted });
        }
    }

    // Slots in other regions are only asked for as far as shift caps allow.
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
        return record.state->inFlight() <= std::max(record.usable, record.reported);
    }

    FailureDomainName m_domain;
    std::shared_ptr<const Register> m_content = std::make_shared<const Register>();
    std::vector<TargetRecord> m_targets;
    std::map<TargetName, std::uint32_t> m_numbers;
    std::map<ServiceName, ServiceRecord> m_services;
    std::map<BudgetKey, GateRecord> m_rateLimiters;
    std::vector<HealthState> m_states;
    Instant m_demandedAt = Instant::min();
    boost::lockfree::queue<TargetObservation, boost::lockfree::capacity<MaxWaiting>> m_observations;
    boost::lockfree::queue<LeavingStatement, boost::lockfree::capacity<MaxWaiting>> m_statements;
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
    (void)m_implementation->m_statements.push({ target, source, stamp, isLeaving });
}

std::shared_ptr<const EntryView>
TargetTable::buildView(const std::shared_ptr<const Register> &content)
{
    return m_implementation->buildView(content);
}

void TargetTable::refresh(Instant now, UnixMillis wallNow)
{
    m_implementation->drainQueues();
    for (const auto &service : m_implementation->m_content->content().services)
        m_implementation->publish(service, now, wallNow);
}

std::vector<BudgetDemand> TargetTable::takeDemands(Instant now)
{
    auto &targetTable = *m_implementation;
    const bool first = targetTable.m_demandedAt == Instant::min();
    const Duration elapsed = first ? Duration(0) : Duration(now - targetTable.m_demandedAt);
    targetTable.m_demandedAt = now;
    std::vector<BudgetDemand> demands;
    for (const auto &service : targetTable.m_content->content().services)
        targetTable.demandOf(service, elapsed, demands);
    targetTable.demandRates(elapsed, demands);
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
    bool within = true;
    for (const auto &target : targetTable.m_content->content().targets)
        within = targetTable.apply(target, holder, now, until) && within;
    for (auto &[key, rateLimiter] : targetTable.m_rateLimiters) {
        rateLimiter.usable = holder.usable(key, now);
        rateLimiter.state->setRate(rateLimiter.usable, until, now);
    }
    return within;
}

} // namespace ggv
