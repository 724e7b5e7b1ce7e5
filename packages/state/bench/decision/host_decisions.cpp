#include "host_decisions.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace ggv::bench {

namespace {

constexpr double ServiceTimeStep = 0.02;
constexpr double MaximumDownShare = 0.5;
constexpr double ArrivalRateStep = 0.5;
constexpr double DemandMargin = 1.3;
constexpr double LinkBurstSeconds = 0.05;
constexpr double BytesPerKilobit = 125.0;
constexpr Duration LeasePeriod = std::chrono::milliseconds(500);
constexpr Duration LeaseLifetime = std::chrono::seconds(3);
//! After lease expiry, requests of other hosts may occupy the slots until their deadlines pass.
constexpr Duration LeaseGrace = std::chrono::seconds(3);

double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

Proximity proximityOf(std::size_t one, std::size_t other)
{
    if (one == other)
        return Proximity::SameDomain;
    return regionOf(one) == regionOf(other) ? Proximity::SameRegion : Proximity::OtherRegion;
}

} // namespace

HostDecisions::HostDecisions(const Deployment &deployment, const DecisionOptions &options,
                             std::size_t domain, std::uint64_t seed)
    : m_deployment(deployment)
    , m_options(options)
    , m_domain(domain)
    , m_random(seed)
{
    for (const auto &model : deployment.services) {
        auto &service = m_services.emplace_back();
        service.queue = WaitQueue({ .capacity = 256, .order = options.queueOrder });
        for (auto &it : service.ramps)
            it.fill(ShiftRamp(options.ramp));
        service.serviceTime = static_cast<double>(model.meanServiceTime.count());
        for (std::size_t n = 0; n < model.targets; ++n) {
            auto &view = service.targets.emplace_back();
            view.domain = domainOfTarget(n);
            view.proximity = proximityOf(domain, view.domain);
            view.roundTrip = 2 * deployment.delay(domain, view.domain);
            view.slots = model.slots;
            view.limit = AdaptiveLimit::warm(options.adaptive);
        }
    }
}

TargetOrder HostDecisions::chooseByLibrary(std::size_t service, Instant now)
{
    auto &view = m_services[service];
    m_states.clear();
    for (const auto &it : view.targets)
        m_states.push_back(it.health.state(now));
    applyPanicRule(m_states, MaximumDownShare);
    m_candidates.clear();
    for (std::size_t n = 0; n < view.targets.size(); ++n) {
        const auto &it = view.targets[n];
        auto &candidate = m_candidates.emplace_back();
        candidate.index = static_cast<std::uint32_t>(n);
        candidate.proximity = it.proximity;
        candidate.health = m_states[n];
        candidate.weight = std::min(it.health.weight(), it.drainWeight);
        candidate.inFlight = it.inFlight;
        candidate.limit = limitOf(service, it, now);
        candidate.roundTrip = it.roundTrip;
        const auto expected = it.limit.expectedLatency();
        candidate.serviceTime
            = expected > it.roundTrip ? expected - it.roundTrip : expectedServiceTime(view);
    }
    auto policy = m_options.choice;
    if (m_options.hasCaps) {
        const auto queued = static_cast<std::uint32_t>(view.queue.size());
        policy.ownRegionWait
            = expectedWait({ queued, ownRegionSlots(view), false, expectedServiceTime(view) });
    }
    return chooseTarget(m_candidates, m_random, policy);
}

TargetOrder HostDecisions::chooseRandom(std::size_t service, Instant now)
{
    return chooseByCost(service, now, &HostDecisions::randomCost);
}

TargetOrder HostDecisions::chooseRoundRobin(std::size_t service, Instant now)
{
    auto &view = m_services[service];
    const auto targets = baselineTargets(view, now);
    TargetOrder order;
    if (!targets.empty())
        order.append(static_cast<std::uint32_t>(targets[view.next++ % targets.size()]));
    return order;
}

TargetOrder HostDecisions::chooseLeastInFlight(std::size_t service, Instant now)
{
    return chooseByCost(service, now, &HostDecisions::inFlightCost);
}

TargetOrder HostDecisions::chooseLeastReported(std::size_t service, Instant now)
{
    return chooseByCost(service, now, &HostDecisions::reportedCost);
}

AdmissionDecision HostDecisions::admit(std::size_t service, bool hasFreeSlot, Duration timeLeft,
                                       Instant now)
{
    auto &view = m_services[service];
    AdmissionLoad load;
    load.queued = static_cast<std::uint32_t>(view.queue.size());
    for (const auto &it : view.targets) {
        const bool isUsable = it.health.state(now) <= HealthState::Suspect && it.drainWeight > 0.0;
        load.slots += isUsable ? std::max(limitOf(service, it, now), it.inFlight) : 0;
    }
    load.hasFreeSlot = hasFreeSlot;
    load.serviceTime = expectedServiceTime(view);
    return decideAdmission(load, timeLeft, m_options.shed);
}

bool HostDecisions::admitShifted(std::size_t service, std::size_t homeRegion, Instant now)
{
    const auto region = regionOf(m_domain);
    if (!m_options.hasCaps || homeRegion == region)
        return true;
    auto &view = m_services[service];
    ++view.shiftAttempts[homeRegion][region];
    return view.ramps[homeRegion][region].tryShift(view.shiftShares[homeRegion][region], now);
}

Duration HostDecisions::retryAfter(std::size_t service, Duration minimumDelay, Instant now)
{
    return m_services[service].stormGuard.onShed(minimumDelay, m_random, now);
}

void HostDecisions::onRequest(std::size_t service, Instant now)
{
    ++m_services[service].arrivals;
    m_services[service].retries.onRequest(now);
}

bool HostDecisions::tryRetry(std::size_t service, Instant now)
{
    return !m_options.hasRetryBudget || m_services[service].retries.tryRetry(now);
}

void HostDecisions::onRequestSent(std::size_t service, std::size_t target, Instant now)
{
    auto &view = m_services[service];
    auto &it = view.targets[target];
    ++it.inFlight;
    if (it.proximity != Proximity::OtherRegion || !m_options.hasCaps)
        return;
    const auto region = regionOf(it.domain);
    const auto home = regionOf(m_domain);
    (void)view.ramps[home][region].tryShift(view.shiftShares[home][region], now);
    ++view.shiftAttempts[home][region];
    m_links[region].tokens -= m_deployment.services[service].answerBytes;
}

void HostDecisions::onSlotReleased(std::size_t service, std::size_t target)
{
    --m_services[service].targets[target].inFlight;
}

void HostDecisions::onOutcome(std::size_t service, std::size_t target, TargetOutcome outcome,
                              Instant sentAt, Instant now)
{
    auto &view = m_services[service];
    auto &it = view.targets[target];
    it.health.observeRequest(outcome, sentAt, now);
    if (outcome == TargetOutcome::TimedOut || outcome == TargetOutcome::Overloaded)
        it.limit.onOverload(now);
    if (outcome != TargetOutcome::Success)
        return;
    it.limit.onSuccess(now - sentAt, now);
    view.stormGuard.onServed(now);
    const auto latency = static_cast<double>((now - sentAt).count());
    view.serviceTime += ServiceTimeStep * (latency - view.serviceTime);
}

void HostDecisions::onAnswerBytes(std::size_t region, double bytes)
{
    m_links[region].tokens -= bytes;
}

void HostDecisions::onLoadReport(std::size_t service, std::size_t target,
                                 const TargetLoadReport &report, Instant now)
{
    auto &it = m_services[service].targets[target];
    it.reported = report.inFlight;
    it.limit.onReport(report, now);
}

void HostDecisions::applyShares(const HostShares &shares, Instant requestedAt)
{
    m_sharesRequestedAt = requestedAt;
    for (std::size_t service = 0; service < ServiceCount; ++service) {
        auto &view = m_services[service];
        for (std::size_t n = 0; n < view.targets.size(); ++n)
            view.targets[n].leased = shares.slots[service][n];
        view.shiftShares = shares.shifts[service];
    }
    for (std::size_t region = 0; region < RegionCount; ++region)
        m_links[region].share = shares.links[region];
}

void HostDecisions::setDrainWeight(std::size_t service, std::size_t target, double weight)
{
    const double step = weight < 1.0 ? 0.0 : 1.0;
    auto &view = m_services[service].targets[target];
    view.drainWeight = m_options.hasDrainSchedule ? weight : step;
}

HostDecisions::LeaseDemand HostDecisions::takeLeaseDemand()
{
    LeaseDemand demand;
    for (std::size_t service = 0; service < ServiceCount; ++service) {
        auto &view = m_services[service];
        for (const auto &it : view.targets)
            demand.held.slots[service].push_back(std::max(it.leased, it.inFlight));
        demand.held.shifts[service] = view.shiftShares;
        const double arrivalRate = view.arrivals / toSeconds(LeasePeriod);
        view.arrivalRate += ArrivalRateStep * (arrivalRate - view.arrivalRate);
        computeSlotDemand(service, demand.wanted);
        computeShiftDemand(service, demand.wanted);
        for (std::size_t region = 0; region < RegionCount; ++region) {
            const double rate
                = view.shiftAttempts[regionOf(m_domain)][region] / toSeconds(LeasePeriod);
            demand.wanted.links[region] += static_cast<std::uint32_t>(
                std::ceil(rate * DemandMargin * m_deployment.services[service].answerBytes
                          / BytesPerKilobit));
        }
        view.shiftAttempts = {};
        view.arrivals = 0;
    }
    for (std::size_t region = 0; region < RegionCount; ++region)
        demand.held.links[region] = m_links[region].share;
    return demand;
}

void HostDecisions::refresh(Instant now)
{
    expireShares(now);
    const double seconds = toSeconds(now - m_refreshedAt);
    m_refreshedAt = now;
    for (auto &it : m_links) {
        const double rate = it.share * BytesPerKilobit;
        it.tokens = std::min(rate * LinkBurstSeconds, it.tokens + rate * seconds);
    }
}

TargetOrder HostDecisions::chooseByCost(std::size_t service, Instant now, Cost cost)
{
    const auto &view = m_services[service];
    const auto targets = baselineTargets(view, now);
    TargetOrder order;
    if (targets.empty())
        return order;
    const std::size_t start = m_random() % targets.size();
    auto least = std::numeric_limits<double>::infinity();
    auto best = targets[start];
    for (std::size_t n = 0; n < targets.size(); ++n) {
        const auto target = targets[(start + n) % targets.size()];
        const double value = (this->*cost)(view.targets[target]);
        if (value >= least)
            continue;
        least = value;
        best = target;
    }
    order.append(static_cast<std::uint32_t>(best));
    return order;
}

double HostDecisions::randomCost(const TargetView &) { return uniformFraction(m_random); }

double HostDecisions::inFlightCost(const TargetView &view) { return view.inFlight; }

double HostDecisions::reportedCost(const TargetView &view) { return view.reported; }

std::vector<std::size_t> HostDecisions::baselineTargets(const ServiceView &view, Instant now)
{
    std::vector<std::size_t> ownRegion;
    std::vector<std::size_t> otherRegions;
    for (std::size_t n = 0; n < view.targets.size(); ++n) {
        const auto &it = view.targets[n];
        if (it.drainWeight <= 0.0 || it.health.state(now) > HealthState::Suspect)
            continue;
        (it.proximity == Proximity::OtherRegion ? otherRegions : ownRegion).push_back(n);
    }
    return ownRegion.empty() ? otherRegions : ownRegion;
}

std::uint32_t HostDecisions::limitOf(std::size_t service, const TargetView &view, Instant now)
{
    const auto region = regionOf(view.domain);
    const bool isOtherRegion = view.proximity == Proximity::OtherRegion;
    if (isOtherRegion && m_spareRegion && region != *m_spareRegion)
        return 0;
    if (m_options.hasCaps && isOtherRegion && !isShiftAllowed(service, region, now))
        return 0;
    const auto slots = m_options.hasCaps ? view.leased : view.slots;
    return m_options.hasAdaptiveLimit ? view.limit.limit(slots) : slots;
}

bool HostDecisions::isShiftAllowed(std::size_t service, std::size_t region, Instant now)
{
    auto &view = m_services[service];
    const auto home = regionOf(m_domain);
    return m_links[region].tokens > 0.0
        && view.ramps[home][region].canShift(view.shiftShares[home][region], now);
}

std::uint32_t HostDecisions::ownRegionSlots(const ServiceView &view) const
{
    std::uint32_t slots = 0;
    for (const auto &it : view.targets) {
        const bool isOwnRegion = it.proximity != Proximity::OtherRegion;
        slots += isOwnRegion && it.drainWeight > 0.0 ? it.limit.limit(it.leased) : 0;
    }
    return slots;
}

Duration HostDecisions::expectedServiceTime(const ServiceView &view) const
{
    return Duration(std::llround(view.serviceTime));
}

void HostDecisions::expireShares(Instant now)
{
    if (!m_options.hasCaps || now < m_sharesRequestedAt + LeaseLifetime)
        return;
    const bool mayUseFixedShare = now >= m_sharesRequestedAt + LeaseLifetime + LeaseGrace;
    for (std::size_t service = 0; service < ServiceCount; ++service) {
        auto &view = m_services[service];
        view.shiftShares = {};
        for (auto &it : view.targets) {
            const bool isOwn = it.domain == m_domain;
            const auto fixed = isOwn ? it.fixedShare : 0;
            it.leased = mayUseFixedShare ? fixed : std::min(it.leased, fixed);
        }
    }
}

void HostDecisions::computeSlotDemand(std::size_t service, HostShares &wanted) const
{
    const auto &view = m_services[service];
    std::vector<DemandTarget> targets;
    double otherRegionLimit = 0.0;
    const auto home = regionOf(m_domain);
    for (const auto &it : view.targets)
        targets.push_back({ it.proximity, isLeaseCandidate(it) ? it.slots : 0, it.leased });
    for (std::size_t region = 0; region < RegionCount; ++region)
        otherRegionLimit += region == home ? 0.0 : view.shiftShares[home][region];
    const double seconds = view.serviceTime / Duration::period::den;
    const double load = offeredLoad(view.arrivalRate, expectedServiceTime(view));
    auto &slots = wanted.slots[service];
    slots.resize(targets.size());
    distributeDemand(load, otherRegionLimit * seconds, targets, slots, m_options.demand);
}

void HostDecisions::computeShiftDemand(std::size_t service, HostShares &wanted) const
{
    const auto &attempts = m_services[service].shiftAttempts;
    for (std::size_t home = 0; home < RegionCount; ++home) {
        for (std::size_t region = 0; region < RegionCount; ++region) {
            const double rate = attempts[home][region] / toSeconds(LeasePeriod);
            wanted.shifts[service][home][region]
                = static_cast<std::uint32_t>(std::ceil(rate * DemandMargin));
        }
    }
}

bool HostDecisions::isLeaseCandidate(const TargetView &view) const
{
    const bool isUsableRegion = !m_spareRegion || view.proximity != Proximity::OtherRegion
        || regionOf(view.domain) == *m_spareRegion;
    return isUsableRegion && view.drainWeight > 0.0
        && view.health.state(m_refreshedAt) <= HealthState::Suspect;
}

} // namespace ggv::bench
