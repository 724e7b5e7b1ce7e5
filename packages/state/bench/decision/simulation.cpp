#include "simulation.hpp"

#include "lease_pool.hpp"

#include <ggv/state/steering/entry_weights.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <numbers>
#include <numeric>
#include <queue>
#include <tuple>
#include <utility>

namespace ggv::bench {

class Simulation;

namespace {

constexpr std::uint32_t NoAttempt = UINT32_MAX;
constexpr double RequestBytes = 1'000.0;
constexpr double LeasedLinkShare = 0.9;
constexpr std::uint32_t TargetAttempts = 3;
constexpr std::uint32_t CallerAttempts = 5;
constexpr Duration ConnectTimeout = std::chrono::milliseconds(200);
constexpr Duration SilenceTimeout = std::chrono::seconds(1);
constexpr Duration LookUpLifetime = std::chrono::seconds(2);
constexpr Duration CallerRetryDelay = std::chrono::milliseconds(100);
constexpr Duration LeasePeriod = std::chrono::milliseconds(500);
//! Time until the grantor reclaims the shares of a lost host; covers the lease and the requests
//! sent under it.
constexpr Duration LeaseLifetime = std::chrono::seconds(4);
constexpr Duration MessageDelay = std::chrono::milliseconds(500);
constexpr Duration LookUpPeriod = std::chrono::milliseconds(500);
//! Periods until callers use a computed weight: reports are delayed by 1 s and look-up answers are
//! cached for 1 s.
constexpr std::size_t LookUpDelayPeriods = 4;
constexpr Duration TickPeriod = std::chrono::milliseconds(5);
constexpr Duration DrainPeriod = std::chrono::milliseconds(100);
//! Service time of a request that misses the region's caches relative to one that hits them.
constexpr double ColdFactor = 2.0;
//! Number of requests from one region after which another region's caches are warm.
constexpr double WarmRequests = 3'000.0;

//! A caller's request with the state of its current attempt.
struct Request
{
    std::uint32_t service = 0;
    std::uint32_t callerDomain = 0;
    std::uint32_t host = 0;
    std::uint32_t attempt = NoAttempt; //!< Current attempt at a target.
    std::uint32_t targetAttempts = 0;
    std::uint32_t callerAttempts = 1;
    std::uint32_t generation = 0; //!< Incremented by each caller attempt.
    bool isOpen = false; //!< True while an entry host handles the request.
    Instant createdAt {};
    Instant deadlineAt {};
    Duration callerDelay { 0 };
    Duration serviceTime { 0 };
    double answerBytes = 0.0;
};

//! One transmission of a request to a target.
struct Attempt
{
    std::uint32_t request = 0;
    std::uint32_t generation = 0;
    std::uint32_t host = 0;
    std::uint32_t target = 0;
    Instant sentAt {};
    bool isEnded = false;
};

//! Simulated target.
struct Target
{
    std::uint32_t executing = 0;
    std::deque<std::uint32_t> waiting; //!< Indices of queued attempts.
};

struct Event
{
    using Handler = void (Simulation::*)(std::uint32_t first, std::uint32_t second);

    Instant at {};
    std::uint64_t sequence = 0;
    Handler handler = nullptr;
    std::uint32_t first = 0;
    std::uint32_t second = 0;

    [[nodiscard]] bool operator>(const Event &other) const noexcept
    {
        return std::tie(at, sequence) > std::tie(other.at, other.sequence);
    }
};

//! Simulated grantor of all limits.
struct Grantor
{
    std::array<std::vector<LeasePool>, ServiceCount> slots;
    std::array<std::array<std::vector<LeasePool>, RegionCount>, ServiceCount> shifts;
    std::array<std::vector<LeasePool>, RegionCount> links;
};

} // namespace

class Simulation
{
public:
    Simulation(const Deployment &deployment, const Scenario &scenario, const Policy &policy,
               std::uint64_t seed);

    [[nodiscard]] RunResults run();

private:
    using Handler = void (Simulation::*)(std::uint32_t first, std::uint32_t second);

    void createHosts(std::uint64_t seed);
    void createGrantor();
    void schedule(Instant at, Handler handler, std::uint32_t first = 0, std::uint32_t second = 0);

    // Callers.
    void onArrival(std::uint32_t domain, std::uint32_t service);
    void sendToHost(std::uint32_t request);
    [[nodiscard]] std::size_t selectEntryDomain(std::size_t domain, std::size_t service);
    [[nodiscard]] std::uint32_t selectHost(std::size_t domain);
    void finishRequest(std::uint32_t request, RequestOutcome outcome,
                       Duration retryAfter = Duration::zero());

    // Entry hosts.
    void onHostRequest(std::uint32_t request, std::uint32_t generation);
    void onDeadline(std::uint32_t request, std::uint32_t generation);
    void onQueueTimeout(std::uint32_t host, std::uint32_t service);
    void onAnswer(std::uint32_t attempt, std::uint32_t);
    void onRefused(std::uint32_t attempt, std::uint32_t);
    void onConnectTimeout(std::uint32_t attempt, std::uint32_t);
    void onSilenceTimeout(std::uint32_t attempt, std::uint32_t);
    void admit(std::uint32_t request);
    void enqueue(std::uint32_t request, Duration bound);
    void shed(std::uint32_t request, Duration minimumDelay);
    void dispatchQueue(std::size_t host, std::size_t service);
    void send(std::uint32_t request, std::uint32_t target);
    void retry(std::uint32_t request);
    void finishAttempt(std::uint32_t attempt, TargetOutcome outcome);
    [[nodiscard]] TargetOrder choose(const Request &request);
    [[nodiscard]] bool isCurrent(const Attempt &attempt) const;
    [[nodiscard]] Duration timeLeft(const Request &request) const;

    // Targets and links.
    void onTargetRequest(std::uint32_t attempt, std::uint32_t);
    void onServiceEnd(std::uint32_t attempt, std::uint32_t);
    void startService(std::uint32_t attempt);
    void sendAnswer(std::uint32_t attempt, Handler handler, double bytes);
    [[nodiscard]] Instant transfer(std::size_t from, std::size_t to, double bytes);
    [[nodiscard]] double coldFactor(const Request &request, std::size_t region);
    [[nodiscard]] Target &targetOf(const Attempt &attempt);

    // Faults and periodic tasks.
    void onFault(std::uint32_t, std::uint32_t);
    void onTick(std::uint32_t, std::uint32_t);
    void onDrainTick(std::uint32_t, std::uint32_t);
    void onLeaseRequest(std::uint32_t host, std::uint32_t);
    void onLeaseProcessed(std::uint32_t host, std::uint32_t lease);
    void onLeaseGranted(std::uint32_t host, std::uint32_t lease);
    void onLeasesExpired(std::uint32_t, std::uint32_t);
    void onReports(std::uint32_t, std::uint32_t);
    void onReportsArrive(std::uint32_t report, std::uint32_t);
    void onLookUpUpdate(std::uint32_t, std::uint32_t);
    [[nodiscard]] std::array<DomainLoad, DomainCount> domainLoads(std::size_t service);
    [[nodiscard]] HostShares renewAll(std::size_t host, const HostDecisions::LeaseDemand &demand);
    [[nodiscard]] bool areReportsStopped() const;

    const Deployment &m_deployment;
    const Scenario &m_scenario;
    const Policy &m_policy;
    Measurements m_measurements;
    RandomSource m_arrivals;
    RandomSource m_network;
    Instant m_now {};
    std::uint64_t m_sequence = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::vector<Request> m_requests;
    std::vector<Attempt> m_attempts;
    std::vector<HostDecisions> m_hosts;
    std::array<std::vector<Target>, ServiceCount> m_targets;
    std::array<std::array<Instant, RegionCount>, RegionCount> m_linkFreeAt {};
    std::array<std::array<std::array<double, RegionCount>, RegionCount>, ServiceCount> m_shifted {};
    using EntryWeights
        = std::array<std::array<std::array<double, DomainCount>, DomainCount>, ServiceCount>;
    std::array<std::array<std::uint32_t, DomainCount>, ServiceCount> m_arrivalCounts {};
    std::deque<EntryWeights> m_entryWeights; //!< Oldest first; callers use the first entry.
    Grantor m_grantor;
    std::vector<HostDecisions::LeaseDemand> m_leaseDemands;
    std::vector<HostShares> m_grants;
    std::vector<Instant> m_grantRequestedAt;
    std::vector<std::array<std::vector<std::uint32_t>, ServiceCount>> m_reports;
};

namespace {

double exponential(RandomSource &random, double mean)
{
    return -mean * std::log(1.0 - uniformFraction(random));
}

double standardNormal(RandomSource &random)
{
    const double radius = std::sqrt(-2.0 * std::log(1.0 - uniformFraction(random)));
    return radius * std::cos(2.0 * std::numbers::pi * uniformFraction(random));
}

double logNormal(RandomSource &random, double mean, double sigma)
{
    return mean * std::exp(sigma * standardNormal(random) - sigma * sigma / 2.0);
}

Duration microseconds(double value) { return Duration(std::llround(value)); }

} // namespace

Simulation::Simulation(const Deployment &deployment, const Scenario &scenario, const Policy &policy,
                       std::uint64_t seed)
    : m_deployment(deployment)
    , m_scenario(scenario)
    , m_policy(policy)
    , m_measurements(deployment, scenario)
    , m_arrivals(seed)
    , m_network(seed + 1)
{
    for (std::size_t n = 0; n < ServiceCount; ++n)
        m_targets[n].resize(deployment.services[n].targets);
    createHosts(seed);
    createGrantor();
}

RunResults Simulation::run()
{
    for (std::uint32_t domain = 0; domain < DomainCount; ++domain) {
        for (std::uint32_t service = 0; service < ServiceCount; ++service)
            schedule(Instant {}, &Simulation::onArrival, domain, service);
    }
    for (std::uint32_t n = 0; n < m_hosts.size(); ++n)
        schedule(Instant { Duration(50'000) * n }, &Simulation::onLeaseRequest, n);
    schedule(Instant {}, &Simulation::onTick);
    schedule(Instant {}, &Simulation::onReports);
    schedule(Instant { LookUpPeriod }, &Simulation::onLookUpUpdate);
    schedule(FaultStart, &Simulation::onFault);
    schedule(FaultStart + LeaseLifetime, &Simulation::onLeasesExpired);
    if (m_scenario.drain)
        schedule(FaultStart, &Simulation::onDrainTick);
    while (!m_events.empty()) {
        const auto event = m_events.top();
        m_events.pop();
        m_now = event.at;
        (this->*event.handler)(event.first, event.second);
    }
    return m_measurements.results();
}

void Simulation::createHosts(std::uint64_t seed)
{
    for (std::size_t domain = 0; domain < DomainCount; ++domain) {
        for (std::uint32_t n = 0; n < m_deployment.hostsPerDomain[domain]; ++n)
            m_hosts.emplace_back(m_deployment, m_policy.options, domain,
                                 seed + 100 + m_hosts.size());
    }
    if (m_policy.spread != Spread::NearestSpare)
        return;
    for (auto &it : m_hosts)
        it.setSpareRegion((regionOf(it.domain()) + 1) % RegionCount);
}

void Simulation::createGrantor()
{
    std::array<std::vector<std::size_t>, DomainCount> byDomain;
    std::array<std::vector<std::size_t>, RegionCount> byRegion;
    for (std::size_t n = 0; n < m_hosts.size(); ++n) {
        byDomain[m_hosts[n].domain()].push_back(n);
        byRegion[regionOf(m_hosts[n].domain())].push_back(n);
    }
    std::vector<std::size_t> everyHost(m_hosts.size());
    std::iota(everyHost.begin(), everyHost.end(), std::size_t { 0 });
    const auto kilobits = m_deployment.linkBitsPerSecond * LeasedLinkShare / 1e3;
    for (std::size_t from = 0; from < RegionCount; ++from) {
        for (std::size_t to = 0; to < RegionCount; ++to) {
            m_grantor.links[from].emplace_back(static_cast<std::uint32_t>(kilobits), byRegion[from],
                                               m_hosts.size());
            for (std::size_t n = 0; n < ServiceCount; ++n)
                m_grantor.shifts[n][from].emplace_back(
                    static_cast<std::uint32_t>(m_deployment.services[n].shiftCap), everyHost,
                    m_hosts.size());
        }
    }
    for (std::size_t n = 0; n < ServiceCount; ++n) {
        for (std::size_t target = 0; target < m_targets[n].size(); ++target) {
            auto homes = byDomain[domainOfTarget(target)];
            const auto offset = (target / DomainCount) % homes.size();
            std::rotate(homes.begin(), homes.begin() + static_cast<std::ptrdiff_t>(offset),
                        homes.end());
            m_grantor.slots[n].emplace_back(m_deployment.services[n].slots, homes, m_hosts.size());
        }
    }
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        HostShares shares;
        for (std::size_t n = 0; n < ServiceCount; ++n) {
            for (std::size_t target = 0; target < m_targets[n].size(); ++target) {
                const auto share = m_grantor.slots[n][target].initialShare(host);
                shares.slots[n].push_back(share);
                m_hosts[host].setFixedShare(n, target, share);
            }
            for (std::size_t from = 0; from < RegionCount; ++from) {
                for (std::size_t to = 0; to < RegionCount; ++to)
                    shares.shifts[n][from][to] = m_grantor.shifts[n][from][to].initialShare(host);
            }
        }
        for (std::size_t to = 0; to < RegionCount; ++to)
            shares.links[to]
                = m_grantor.links[regionOf(m_hosts[host].domain())][to].initialShare(host);
        m_hosts[host].applyShares(shares, m_now);
    }
}

void Simulation::schedule(Instant at, Handler handler, std::uint32_t first, std::uint32_t second)
{
    m_events.push({ at, m_sequence++, handler, first, second });
}

void Simulation::onArrival(std::uint32_t domain, std::uint32_t service)
{
    if (m_now >= RunEnd)
        return;
    const auto &model = m_deployment.services[service];
    const auto mean = static_cast<double>(model.meanServiceTime.count());
    const double gap = mean * DomainCount / (m_scenario.load * model.targets * model.slots);
    schedule(m_now + microseconds(exponential(m_arrivals, gap)), &Simulation::onArrival, domain,
             service);
    Request request;
    request.service = service;
    request.callerDomain = domain;
    request.createdAt = m_now;
    request.serviceTime = microseconds(logNormal(m_arrivals, mean, model.sigma));
    request.answerBytes = model.answerBytes * (0.5 + uniformFraction(m_arrivals));
    m_requests.push_back(request);
    m_measurements.onCreated(m_now);
    sendToHost(static_cast<std::uint32_t>(m_requests.size() - 1));
}

void Simulation::sendToHost(std::uint32_t request)
{
    auto &it = m_requests[request];
    const auto domain = it.callerDomain;
    const auto entry = selectEntryDomain(domain, it.service);
    it.host = selectHost(entry);
    it.deadlineAt = m_now + m_deployment.services[it.service].deadline;
    it.callerDelay = m_deployment.delayToCallers;
    const auto hostDomain = m_hosts[it.host].domain();
    if (hostDomain != domain)
        it.callerDelay += m_deployment.delay(domain, hostDomain);
    const bool isStale = m_scenario.isHostLost(entry, m_now) && m_now < FaultStart + LookUpLifetime;
    const auto connect = isStale ? ConnectTimeout : Duration::zero();
    schedule(m_now + connect + it.callerDelay, &Simulation::onHostRequest, request, it.generation);
}

std::size_t Simulation::selectEntryDomain(std::size_t domain, std::size_t service)
{
    ++m_arrivalCounts[service][domain];
    const double draw = uniformFraction(m_network);
    if (!m_policy.hasEntryWeights || m_entryWeights.empty())
        return domain;
    double sum = 0.0;
    for (std::size_t n = 0; n < DomainCount; ++n) {
        sum += m_entryWeights.front()[service][domain][n];
        if (draw < sum)
            return n;
    }
    return domain;
}

std::uint32_t Simulation::selectHost(std::size_t domain)
{
    const bool isLost = m_scenario.isHostLost(domain, m_now);
    const auto sibling = domain ^ 1;
    const bool isRegionLost = isLost && m_scenario.isHostLost(sibling, m_now);
    const auto spare = (regionOf(domain) + 1) % RegionCount;
    std::vector<std::uint32_t> usable;
    for (std::uint32_t n = 0; n < m_hosts.size(); ++n) {
        const auto other = m_hosts[n].domain();
        bool isUsable = other == domain;
        if (isLost && m_policy.spread == Spread::Declustered)
            isUsable = !m_scenario.isHostLost(other, m_now);
        else if (isRegionLost)
            isUsable = regionOf(other) == spare;
        else if (isLost)
            isUsable = other == sibling;
        if (isUsable)
            usable.push_back(n);
    }
    return usable[m_network() % usable.size()];
}

void Simulation::finishRequest(std::uint32_t request, RequestOutcome outcome, Duration retryAfter)
{
    auto &it = m_requests[request];
    it.isOpen = false;
    m_measurements.onAttemptFinished(outcome, m_now);
    const auto at = m_now + it.callerDelay;
    const bool mayRetry
        = m_scenario.callersRetry && it.callerAttempts < CallerAttempts && m_now < RunEnd;
    if (outcome == RequestOutcome::Served || !mayRetry) {
        m_measurements.onRequestFinished(it.service, outcome, it.createdAt, at);
        return;
    }
    ++it.callerAttempts;
    ++it.generation;
    it.targetAttempts = 0;
    it.attempt = NoAttempt;
    const auto delay = std::max(retryAfter, CallerRetryDelay);
    schedule(at + delay + it.callerDelay, &Simulation::onHostRequest, request, it.generation);
    it.deadlineAt = at + delay + m_deployment.services[it.service].deadline;
}

void Simulation::onHostRequest(std::uint32_t request, std::uint32_t generation)
{
    auto &it = m_requests[request];
    if (it.generation != generation)
        return;
    m_measurements.onAttempt(m_now);
    it.isOpen = true;
    if (m_scenario.isHostLost(m_hosts[it.host].domain(), m_now)) {
        finishRequest(request, RequestOutcome::Lost);
        return;
    }
    schedule(it.deadlineAt - it.callerDelay, &Simulation::onDeadline, request, generation);
    m_hosts[it.host].onRequest(it.service, m_now);
    const auto home = regionOf(it.callerDomain);
    const auto region = regionOf(m_hosts[it.host].domain());
    if (!m_hosts[it.host].admitShifted(it.service, home, m_now)) {
        shed(request, Duration::zero());
        return;
    }
    if (home != region)
        m_measurements.onShift(it.service, home, region, m_now);
    admit(request);
}

void Simulation::onDeadline(std::uint32_t request, std::uint32_t generation)
{
    auto &it = m_requests[request];
    if (!it.isOpen || it.generation != generation)
        return;
    auto &host = m_hosts[it.host];
    if (host.queue(it.service).remove(request)) {
        finishRequest(request, RequestOutcome::Shed);
        return;
    }
    if (it.attempt != NoAttempt) {
        const auto &attempt = m_attempts[it.attempt];
        host.onOutcome(it.service, attempt.target, TargetOutcome::TimedOut, attempt.sentAt, m_now);
    }
    finishRequest(request, RequestOutcome::Late);
}

void Simulation::onQueueTimeout(std::uint32_t host, std::uint32_t service)
{
    while (const auto entry = m_hosts[host].queue(service).popExpired(m_now))
        shed(static_cast<std::uint32_t>(entry->request), Duration::zero());
}

void Simulation::onAnswer(std::uint32_t attempt, std::uint32_t)
{
    if (m_attempts[attempt].isEnded)
        return;
    finishAttempt(attempt, TargetOutcome::Success);
    const auto &it = m_attempts[attempt];
    if (isCurrent(it))
        finishRequest(it.request, RequestOutcome::Served);
    dispatchQueue(it.host, m_requests[it.request].service);
}

void Simulation::onRefused(std::uint32_t attempt, std::uint32_t)
{
    finishAttempt(attempt, TargetOutcome::Overloaded);
    if (isCurrent(m_attempts[attempt]))
        retry(m_attempts[attempt].request);
}

void Simulation::onConnectTimeout(std::uint32_t attempt, std::uint32_t)
{
    finishAttempt(attempt, TargetOutcome::TimedOut);
    if (isCurrent(m_attempts[attempt]))
        retry(m_attempts[attempt].request);
}

void Simulation::onSilenceTimeout(std::uint32_t attempt, std::uint32_t)
{
    if (m_attempts[attempt].isEnded)
        return;
    finishAttempt(attempt, TargetOutcome::TimedOut);
    if (isCurrent(m_attempts[attempt]))
        finishRequest(m_attempts[attempt].request, RequestOutcome::Lost);
}

void Simulation::admit(std::uint32_t request)
{
    const auto &it = m_requests[request];
    auto &host = m_hosts[it.host];
    const auto order = choose(it);
    if (!m_policy.options.hasAdmission) {
        if (order.empty())
            finishRequest(request, RequestOutcome::Failed);
        else
            send(request, order.front());
        return;
    }
    const auto decision = host.admit(it.service, !order.empty(), timeLeft(it), m_now);
    switch (decision.action) {
    case AdmissionAction::Admit:
        send(request, order.front());
        return;
    case AdmissionAction::Wait:
        enqueue(request, decision.queueTimeout);
        return;
    case AdmissionAction::Shed:
        shed(request, decision.retryAfter);
        return;
    }
}

void Simulation::enqueue(std::uint32_t request, Duration bound)
{
    const auto &it = m_requests[request];
    if (!m_hosts[it.host].queue(it.service).push({ request, m_now, m_now + bound })) {
        shed(request, bound);
        return;
    }
    schedule(m_now + bound, &Simulation::onQueueTimeout, it.host, it.service);
    dispatchQueue(it.host, it.service);
}

void Simulation::shed(std::uint32_t request, Duration minimumDelay)
{
    const auto &it = m_requests[request];
    finishRequest(request, RequestOutcome::Shed,
                  m_hosts[it.host].retryAfter(it.service, minimumDelay, m_now));
}

void Simulation::dispatchQueue(std::size_t host, std::size_t service)
{
    auto &queue = m_hosts[host].queue(service);
    while (!queue.empty()) {
        const auto order = (m_hosts[host].*m_policy.choose)(service, m_now);
        if (order.empty())
            return;
        const auto entry = queue.pop(m_now);
        if (!entry)
            return;
        send(static_cast<std::uint32_t>(entry->request), order.front());
    }
}

void Simulation::send(std::uint32_t request, std::uint32_t target)
{
    auto &it = m_requests[request];
    auto &host = m_hosts[it.host];
    const auto number = static_cast<std::uint32_t>(m_attempts.size());
    m_attempts.push_back({ request, it.generation, it.host, target, m_now, false });
    it.attempt = number;
    ++it.targetAttempts;
    host.onRequestSent(it.service, target, m_now);
    const auto domain = domainOfTarget(target);
    const auto from = regionOf(host.domain());
    const auto to = regionOf(domain);
    m_measurements.onSentToTarget(domain, m_now);
    auto sentAt = m_now;
    if (from != to) {
        m_measurements.onShift(it.service, from, to, m_now);
        sentAt = transfer(from, to, RequestBytes);
    }
    schedule(sentAt + m_deployment.delay(host.domain(), domain), &Simulation::onTargetRequest,
             number);
}

void Simulation::retry(std::uint32_t request)
{
    const auto &it = m_requests[request];
    const bool mayRetry
        = it.targetAttempts < TargetAttempts && m_hosts[it.host].tryRetry(it.service, m_now);
    if (mayRetry)
        admit(request);
    else
        finishRequest(request, RequestOutcome::Failed);
}

void Simulation::finishAttempt(std::uint32_t attempt, TargetOutcome outcome)
{
    auto &it = m_attempts[attempt];
    it.isEnded = true;
    const auto service = m_requests[it.request].service;
    m_hosts[it.host].onSlotReleased(service, it.target);
    m_hosts[it.host].onOutcome(service, it.target, outcome, it.sentAt, m_now);
    m_measurements.onTargetFinished(domainOfTarget(it.target), m_now);
}

TargetOrder Simulation::choose(const Request &request)
{
    return (m_hosts[request.host].*m_policy.choose)(request.service, m_now);
}

bool Simulation::isCurrent(const Attempt &attempt) const
{
    const auto &request = m_requests[attempt.request];
    return request.isOpen && request.generation == attempt.generation;
}

Duration Simulation::timeLeft(const Request &request) const
{
    return request.deadlineAt - request.callerDelay - m_now;
}

void Simulation::onTargetRequest(std::uint32_t attempt, std::uint32_t)
{
    const auto &it = m_attempts[attempt];
    if (m_scenario.isTargetLost(domainOfTarget(it.target), m_now)) {
        schedule(std::max(m_now, it.sentAt + ConnectTimeout), &Simulation::onConnectTimeout,
                 attempt);
        return;
    }
    const auto &model = m_deployment.services[m_requests[it.request].service];
    auto &target = targetOf(it);
    if (target.executing < model.slots) {
        startService(attempt);
        return;
    }
    m_measurements.onSlotOverload(m_now);
    if (target.executing + target.waiting.size() >= model.connections)
        sendAnswer(attempt, &Simulation::onRefused, RequestBytes);
    else
        target.waiting.push_back(attempt);
}

void Simulation::onServiceEnd(std::uint32_t attempt, std::uint32_t)
{
    const auto &it = m_attempts[attempt];
    if (m_scenario.isTargetLost(domainOfTarget(it.target), m_now))
        return;
    auto &target = targetOf(it);
    --target.executing;
    sendAnswer(attempt, &Simulation::onAnswer, m_requests[it.request].answerBytes);
    while (!target.waiting.empty()) {
        const auto next = target.waiting.front();
        target.waiting.pop_front();
        if (isCurrent(m_attempts[next])) {
            startService(next);
            return;
        }
        // The request was cancelled; an empty answer releases the slot at the host.
        sendAnswer(next, &Simulation::onAnswer, 0.0);
    }
}

void Simulation::startService(std::uint32_t attempt)
{
    const auto &it = m_attempts[attempt];
    const auto &request = m_requests[it.request];
    ++targetOf(it).executing;
    const double factor = m_scenario.serviceFactor(it.target, m_now)
        * coldFactor(request, regionOf(domainOfTarget(it.target)));
    const auto duration = microseconds(static_cast<double>(request.serviceTime.count()) * factor);
    schedule(m_now + duration, &Simulation::onServiceEnd, attempt);
}

void Simulation::sendAnswer(std::uint32_t attempt, Handler handler, double bytes)
{
    const auto &it = m_attempts[attempt];
    auto &host = m_hosts[it.host];
    const auto domain = domainOfTarget(it.target);
    auto sentAt = m_now;
    if (regionOf(domain) != regionOf(host.domain())) {
        sentAt = transfer(regionOf(domain), regionOf(host.domain()), bytes);
        const auto typical = m_deployment.services[m_requests[it.request].service].answerBytes;
        host.onAnswerBytes(regionOf(domain), bytes - typical);
    }
    schedule(sentAt + m_deployment.delay(domain, host.domain()), handler, attempt);
}

Instant Simulation::transfer(std::size_t from, std::size_t to, double bytes)
{
    m_measurements.onLinkBytes(from, to, bytes, m_now);
    auto &freeAt = m_linkFreeAt[from][to];
    const double duration = bytes * 8.0 / m_deployment.linkBitsPerSecond * Duration::period::den;
    freeAt = std::max(freeAt, m_now) + microseconds(duration);
    return freeAt;
}

double Simulation::coldFactor(const Request &request, std::size_t region)
{
    const auto home = regionOf(request.callerDomain);
    if (home == region)
        return 1.0;
    auto &count = m_shifted[request.service][home][region];
    const double cold = std::max(0.0, 1.0 - count / WarmRequests);
    count += 1.0;
    return 1.0 + (ColdFactor - 1.0) * cold;
}

Target &Simulation::targetOf(const Attempt &attempt)
{
    return m_targets[m_requests[attempt.request].service][attempt.target];
}

void Simulation::onFault(std::uint32_t, std::uint32_t)
{
    for (std::uint32_t n = 0; n < m_attempts.size(); ++n) {
        const auto &it = m_attempts[n];
        if (!it.isEnded && m_scenario.isTargetLost(domainOfTarget(it.target), m_now))
            schedule(m_now + SilenceTimeout, &Simulation::onSilenceTimeout, n);
    }
    for (std::uint32_t n = 0; n < m_requests.size(); ++n) {
        const auto &it = m_requests[n];
        if (it.isOpen && m_scenario.isHostLost(m_hosts[it.host].domain(), m_now))
            finishRequest(n, RequestOutcome::Lost);
    }
}

void Simulation::onTick(std::uint32_t, std::uint32_t)
{
    if (m_now >= RunEnd)
        return;
    schedule(m_now + TickPeriod, &Simulation::onTick);
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        m_hosts[host].refresh(m_now);
        for (std::size_t service = 0; service < ServiceCount; ++service)
            dispatchQueue(host, service);
    }
    std::array<double, RegionCount> used {};
    std::array<double, RegionCount> slots {};
    for (std::size_t service = 0; service < ServiceCount; ++service) {
        for (std::size_t n = 0; n < m_targets[service].size(); ++n) {
            const auto domain = domainOfTarget(n);
            if (m_scenario.isTargetLost(domain, m_now))
                continue;
            const auto &it = m_targets[service][n];
            used[regionOf(domain)] += static_cast<double>(it.executing + it.waiting.size());
            slots[regionOf(domain)] += m_deployment.services[service].slots;
        }
    }
    for (std::size_t region = 0; region < RegionCount; ++region)
        m_measurements.onRegionUse(region, used[region] / std::max(1.0, slots[region]), m_now);
}

void Simulation::onDrainTick(std::uint32_t, std::uint32_t)
{
    if (m_now >= RunEnd)
        return;
    schedule(m_now + DrainPeriod, &Simulation::onDrainTick);
    for (std::size_t service = 0; service < ServiceCount; ++service) {
        for (std::size_t n = 0; n < m_targets[service].size(); ++n) {
            const double weight = m_scenario.plannedWeight(domainOfTarget(n), m_now);
            for (auto &host : m_hosts)
                host.setDrainWeight(service, n, weight);
        }
    }
}

void Simulation::onLeaseRequest(std::uint32_t host, std::uint32_t)
{
    const bool isLost = m_scenario.isHostLost(m_hosts[host].domain(), m_now);
    if (m_now >= RunEnd || areReportsStopped() || isLost)
        return;
    schedule(m_now + LeasePeriod, &Simulation::onLeaseRequest, host);
    m_leaseDemands.push_back(m_hosts[host].takeLeaseDemand());
    m_grants.emplace_back();
    m_grantRequestedAt.push_back(m_now);
    schedule(m_now + MessageDelay, &Simulation::onLeaseProcessed, host,
             static_cast<std::uint32_t>(m_leaseDemands.size() - 1));
}

void Simulation::onLeaseProcessed(std::uint32_t host, std::uint32_t lease)
{
    if (areReportsStopped())
        return;
    m_grants[lease] = renewAll(host, m_leaseDemands[lease]);
    schedule(m_now + MessageDelay, &Simulation::onLeaseGranted, host, lease);
}

void Simulation::onLeaseGranted(std::uint32_t host, std::uint32_t lease)
{
    m_hosts[host].applyShares(m_grants[lease], m_grantRequestedAt[lease]);
    for (std::size_t service = 0; service < ServiceCount; ++service)
        dispatchQueue(host, service);
}

void Simulation::onLeasesExpired(std::uint32_t, std::uint32_t)
{
    for (std::size_t host = 0; host < m_hosts.size(); ++host) {
        if (!m_scenario.isHostLost(m_hosts[host].domain(), m_now))
            continue;
        for (std::size_t service = 0; service < ServiceCount; ++service) {
            for (auto &it : m_grantor.slots[service])
                it.expire(host);
            for (auto &row : m_grantor.shifts[service]) {
                for (auto &it : row)
                    it.expire(host);
            }
        }
        for (auto &row : m_grantor.links) {
            for (auto &it : row)
                it.expire(host);
        }
    }
}

void Simulation::onReports(std::uint32_t, std::uint32_t)
{
    if (m_now >= RunEnd || areReportsStopped())
        return;
    schedule(m_now + LeasePeriod, &Simulation::onReports);
    auto &report = m_reports.emplace_back();
    for (std::size_t service = 0; service < ServiceCount; ++service) {
        for (const auto &it : m_targets[service])
            report[service].push_back(it.executing + static_cast<std::uint32_t>(it.waiting.size()));
    }
    schedule(m_now + 2 * MessageDelay, &Simulation::onReportsArrive,
             static_cast<std::uint32_t>(m_reports.size() - 1));
}

void Simulation::onReportsArrive(std::uint32_t report, std::uint32_t)
{
    for (std::size_t service = 0; service < ServiceCount; ++service) {
        const auto slots = m_deployment.services[service].slots;
        for (std::size_t n = 0; n < m_targets[service].size(); ++n) {
            for (auto &host : m_hosts)
                host.onLoadReport(service, n, { slots, m_reports[report][service][n] }, m_now);
        }
    }
}

void Simulation::onLookUpUpdate(std::uint32_t, std::uint32_t)
{
    if (m_now >= RunEnd || areReportsStopped())
        return;
    schedule(m_now + LookUpPeriod, &Simulation::onLookUpUpdate);
    m_entryWeights.push_back({});
    for (std::size_t service = 0; service < ServiceCount; ++service) {
        const auto loads = domainLoads(service);
        for (std::size_t from = 0; from < DomainCount; ++from)
            entryWeights(loads, from, m_policy.entryWeights, m_entryWeights.back()[service][from]);
    }
    m_arrivalCounts = {};
    if (m_entryWeights.size() > LookUpDelayPeriods)
        m_entryWeights.pop_front();
}

std::array<DomainLoad, DomainCount> Simulation::domainLoads(std::size_t service)
{
    const auto &model = m_deployment.services[service];
    const double mean = std::chrono::duration<double>(model.meanServiceTime).count();
    const double period = std::chrono::duration<double>(LookUpPeriod).count();
    std::array<DomainLoad, DomainCount> loads;
    for (std::size_t n = 0; n < DomainCount; ++n) {
        loads[n].region = regionOf(n);
        loads[n].demand = m_arrivalCounts[service][n] / period * mean;
        loads[n].hasEntryHost = !m_scenario.isHostLost(n, m_now);
    }
    for (std::size_t n = 0; n < m_targets[service].size(); ++n) {
        const auto domain = domainOfTarget(n);
        const bool isLost = m_scenario.isTargetLost(domain, m_now - ConnectTimeout);
        const double share = isLost ? 0.0 : m_scenario.plannedWeight(domain, m_now);
        loads[domain].capacity += share * model.slots / m_scenario.serviceFactor(n, m_now);
    }
    return loads;
}

HostShares Simulation::renewAll(std::size_t host, const HostDecisions::LeaseDemand &demand)
{
    HostShares shares;
    const auto from = regionOf(m_hosts[host].domain());
    for (std::size_t n = 0; n < ServiceCount; ++n) {
        for (std::size_t target = 0; target < m_targets[n].size(); ++target)
            shares.slots[n].push_back(m_grantor.slots[n][target].renew(
                host, demand.held.slots[n][target], demand.wanted.slots[n][target]));
        for (std::size_t home = 0; home < RegionCount; ++home) {
            for (std::size_t to = 0; to < RegionCount; ++to)
                shares.shifts[n][home][to] = m_grantor.shifts[n][home][to].renew(
                    host, demand.held.shifts[n][home][to], demand.wanted.shifts[n][home][to]);
        }
    }
    for (std::size_t to = 0; to < RegionCount; ++to)
        shares.links[to]
            = m_grantor.links[from][to].renew(host, demand.held.links[to], demand.wanted.links[to]);
    return shares;
}

bool Simulation::areReportsStopped() const { return m_scenario.reportsStop && m_now >= FaultStart; }

RunResults simulate(const Deployment &deployment, const Scenario &scenario, const Policy &policy,
                    std::uint64_t seed)
{
    return Simulation(deployment, scenario, policy, seed).run();
}

} // namespace ggv::bench
