#include <ggv/coordination/entry/target_board.hpp>

#include <ggv/state/admission/adaptive_limit.hpp>
#include <ggv/state/steering/drain_schedule.hpp>
#include <ggv/state/steering/slot_demand.hpp>

#include <algorithm>
#include <map>

#include <boost/lockfree/queue.hpp>

namespace ggv {

namespace {

constexpr std::size_t MaxWaiting = 32'768; //!< Observations between two refreshes.
constexpr double MaximumDownShare = 0.5;
constexpr double ArrivalRateStep = 0.5; //!< Weight of the newest arrival rate.
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
    std::vector<DrainWindow> drains;
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

class TargetBoard::Implementation
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

    std::shared_ptr<const EntryView> buildView(const std::shared_ptr<const Register> &content)
    {
        m_content = content;
        for (const auto &target : content->content().targets) {
            auto &record = recordOf(target);
            record.drains = drainsOf(target, *content);
            record.health.observeLeaving(EvidenceSource::Register, content->version(),
                                         target.leaving);
        }
        const EntryView::StateSource states {
            [this](const Target &target) { return recordOf(target).state; },
            [this](const Service &service) { return m_services[service.name].state; },
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
            record.state->setLimit(record.adaptive.limit(record.usable));
            record.state->setJudgement(m_states[n], weight, record.adaptive.expectedLatency());
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
        spreadDemand(offeredLoad(record.arrivalsPerSecond, serviceTime), farLimit(service),
                     possible, wanted);
        for (std::size_t n = 0; n < targets.size(); ++n) {
            const auto inFlight = recordOf(*targets[n]).state->inFlight();
            demands.push_back({ { BudgetKind::TargetSlots, targets[n]->name.text() },
                                inFlight,
                                std::max(inFlight, wanted[n]) });
        }
    }

    // Slots in other regions are only asked for as far as links and shift caps allow.
    static double farLimit(const Service &) { return 0.0; }

    FailureDomainName m_domain;
    std::shared_ptr<const Register> m_content = std::make_shared<const Register>();
    std::vector<TargetRecord> m_targets;
    std::map<TargetName, std::uint32_t> m_numbers;
    std::map<ServiceName, ServiceRecord> m_services;
    std::vector<HealthState> m_states;
    Instant m_demandedAt = Instant::min();
    boost::lockfree::queue<TargetObservation, boost::lockfree::capacity<MaxWaiting>> m_observations;
    boost::lockfree::queue<LeavingStatement, boost::lockfree::capacity<MaxWaiting>> m_statements;
};

TargetBoard::TargetBoard(FailureDomainName domain)
    : m_implementation(std::make_unique<Implementation>(std::move(domain)))
{ }

TargetBoard::~TargetBoard() = default;

void TargetBoard::observe(const TargetObservation &observation) noexcept
{
    (void)m_implementation->m_observations.push(observation);
}

void TargetBoard::observeLeaving(std::uint32_t target, EvidenceSource source, std::uint64_t stamp,
                                 bool isLeaving) noexcept
{
    (void)m_implementation->m_statements.push({ target, source, stamp, isLeaving });
}

std::shared_ptr<const EntryView>
TargetBoard::buildView(const std::shared_ptr<const Register> &content)
{
    return m_implementation->buildView(content);
}

void TargetBoard::refresh(Instant now, UnixMillis wallNow)
{
    m_implementation->drainQueues();
    for (const auto &service : m_implementation->m_content->content().services)
        m_implementation->publish(service, now, wallNow);
}

std::vector<BudgetDemand> TargetBoard::takeDemands(Instant now)
{
    auto &board = *m_implementation;
    const bool first = board.m_demandedAt == Instant::min();
    const Duration elapsed = first ? Duration(0) : Duration(now - board.m_demandedAt);
    board.m_demandedAt = now;
    std::vector<BudgetDemand> demands;
    for (const auto &service : board.m_content->content().services)
        board.demandOf(service, elapsed, demands);
    return demands;
}

bool TargetBoard::applyBudgets(const BudgetHolder &holder, Instant now)
{
    bool within = true;
    for (const auto &target : m_implementation->m_content->content().targets) {
        auto &record = m_implementation->recordOf(target);
        record.usable = holder.usable({ BudgetKind::TargetSlots, target.name.text() }, now);
        const auto limit = record.adaptive.limit(record.usable);
        record.state->setLimit(limit);
        within = within && record.state->inFlight() <= std::max(limit, record.usable);
    }
    return within;
}

} // namespace ggv
