#include <ggv/state/routing/target_pool.hpp>

#include <ggv/state/routing/target_affinity.hpp>

#include <algorithm>
#include <utility>

namespace ggv {

namespace {

// Names of the evidence for a status change.
constexpr const char *ListEvidence = "platform-list";
constexpr const char *ConnectEvidence = "connection-refused";
constexpr const char *EvacuationEvidence = "evacuation-ended";
constexpr const char *AnswerEvidence = "answer";
constexpr const char *PathEvidence = "all-targets-unreachable";
//! Age up to which a report of other hosts' load is used in full; older reports are scaled down.
constexpr Duration ReportFreshness = std::chrono::milliseconds(500);
//! Safety margin added to the cold period that the platform's list states.
constexpr Duration ColdMargin = std::chrono::milliseconds(250);
//! Retry delay for callers if it is not known when a target may serve them.
constexpr Duration RetryAfterWithoutTargets = std::chrono::milliseconds(400);
//! Retry delay for callers if a target has room already.
constexpr Duration MinRetryAfter = std::chrono::milliseconds(20);
constexpr Duration MinRetrySpread = std::chrono::milliseconds(40);

HealthPolicy healthPolicy()
{
    HealthPolicy policy;
    policy.maximumBackoff = std::chrono::seconds(8);
    return policy;
}

bool isSameAddress(const ListedTarget &one, const ListedTarget &other)
{
    return one.endpoint == other.endpoint && one.service == other.service;
}

} // namespace

RegionName Topology::regionOf(const FailureDomainName &domain) const
{
    const auto it = regions.find(domain);
    return it == regions.end() ? RegionName() : it->second;
}

PooledTarget::PooledTarget(ListedTarget listing, RegionName region)
    : m_listing(std::move(listing))
    , m_region(std::move(region))
    , m_digest(affinityDigest(m_listing.instance))
    , m_health(TargetHealth::warm(healthPolicy()))
{ }

double PooledTarget::load(Instant now) const noexcept
{
    double others = m_othersLoad;
    if (m_reportedAt == Instant::min())
        others = 0.0;
    else if (const Duration age = now - m_reportedAt; age > ReportFreshness)
        others
            *= std::chrono::duration<double>(ReportFreshness) / std::chrono::duration<double>(age);
    return m_inFlight + others;
}

void PooledTarget::recordLoad(double load, Instant now) noexcept
{
    m_smoothedLoad.observe(load / std::max<double>(1.0, m_listing.slots), now);
}

TargetPool::TargetPool(Topology topology)
    : m_topology(std::move(topology))
{ }

std::string_view targetStatusName(TargetStatus status) noexcept
{
    switch (status) {
    case TargetStatus::Listed:
        return "listed";
    case TargetStatus::Restarted:
        return "restarted";
    case TargetStatus::Delisted:
        return "delisted";
    case TargetStatus::Leaving:
        return "leaving";
    case TargetStatus::Cold:
        return "cold";
    case TargetStatus::Replaced:
        return "replaced";
    case TargetStatus::Departed:
        return "departed";
    case TargetStatus::Down:
        return "down";
    case TargetStatus::Working:
        return "working";
    case TargetStatus::BackingOff:
        return "backing-off";
    case TargetStatus::RateLimited:
        return "rate-limited";
    case TargetStatus::Unlimited:
        return "unlimited";
    }
    return "unlisted";
}

void TargetPool::setObserver(std::function<void(const TargetStatusChange &)> onChange)
{
    m_onChange = std::move(onChange);
}

void TargetPool::notifyObserver(const PooledTarget &target, TargetStatus status, const char *source,
                                Duration age, Duration statusDuration) const
{
    TargetStatusChange change { target.m_listing, status, source, age, statusDuration };
    if (status == TargetStatus::RateLimited)
        change.requestsPerSecond = target.m_rateLimit.statedLimit().value_or(0.0);
    m_onChange(change);
}

void TargetPool::extendColdPeriod(PooledTarget &target, Instant PooledTarget::*end,
                                  Duration coldDuration, const char *source, Duration age,
                                  Instant now)
{
    if (coldDuration <= Duration(0))
        return;
    if (now >= target.coldUntil()) {
        notifyObserver(target, TargetStatus::Cold, source, age, coldDuration);
        // Tokens left from an earlier period would be spent by all hosts at once.
        target.m_coldTokens = 0.0;
        target.m_coldRefilledAt = now;
    }
    target.*end = std::max(target.*end, now + coldDuration);
}

void TargetPool::update(const TargetList &list, Duration age, Instant now)
{
    m_hasList = true;
    m_departed.update(list, now);
    std::map<std::string, PooledTargetRef> byInstance;
    std::map<ServiceName, Candidates> services;
    for (const auto &listing : list.targets) {
        const PooledTargetRef target = updatedTarget(listing, age, now);
        byInstance[listing.instance] = target;
        services[listing.service].push_back(target);
    }
    removeMissing(byInstance, age);
    const auto isMissing = [&](const auto &it) { return !byInstance.contains(it); };
    std::erase_if(m_pendingReports, isMissing);
    std::erase_if(m_pendingRateLimits, isMissing);
    m_byInstance = std::move(byInstance);
    m_services = std::move(services);
}

// Returns the known target with its new entry, or a new one if there is none or it has restarted.
PooledTargetRef TargetPool::updatedTarget(ListedTarget listing, Duration age, Instant now)
{
    const auto known = m_byInstance.find(listing.instance);
    const bool isKnown
        = known != m_byInstance.end() && isSameAddress(known->second->m_listing, listing);
    const bool isRestarted
        = isKnown && isLaterStart(listing.startedAt, known->second->m_listing.startedAt);
    PooledTargetRef target;
    if (isRestarted)
        target = restartedTarget(*known->second, listing, now);
    else if (isKnown)
        target = known->second;
    else
        target = std::make_shared<PooledTarget>(listing, m_topology.regionOf(listing.domain));
    if (!isKnown || isRestarted) {
        target->m_listing.leaving = false;
        target->m_listing.coldDuration = Duration(0);
        notifyObserver(*target, isKnown ? TargetStatus::Restarted : TargetStatus::Listed,
                       ListEvidence, age);
    }
    listing.startedAt = std::max(listing.startedAt, target->m_listing.startedAt);
    applyListing(*target, listing, age, now);
    return target;
}

void TargetPool::applyListing(PooledTarget &target, const ListedTarget &listing, Duration age,
                              Instant now)
{
    const bool wasLeaving = target.m_listing.leaving;
    const bool startsColdPeriod = target.m_listing.coldDuration != listing.coldDuration;
    target.m_listing = listing;
    target.m_departed = target.m_departed || m_departed.contains(listing);
    target.m_listing.leaving = listing.leaving || wasLeaving;
    // The entry before this one held until now.
    if (listing.leaving || target.m_isListedLeaving || target.m_departureSeenAt == Instant::min())
        target.m_departureSeenAt = now;
    target.m_isListedLeaving = listing.leaving;
    if (target.m_listing.leaving && !wasLeaving)
        notifyObserver(target, TargetStatus::Leaving, ListEvidence, age);
    // The age of the list is not subtracted: the entry may have been written late.
    if (startsColdPeriod && listing.coldDuration > Duration(0))
        extendColdPeriod(target, &PooledTarget::m_coldUntil, listing.coldDuration + ColdMargin,
                         ListEvidence, age, now);
}

void TargetPool::removeMissing(const std::map<std::string, PooledTargetRef> &listed,
                               Duration age) const
{
    for (const auto &[instance, target] : m_byInstance) {
        const auto it = listed.find(instance);
        if (it == listed.end() || !isSameAddress(it->second->m_listing, target->m_listing))
            notifyObserver(*target, TargetStatus::Delisted, ListEvidence, age);
    }
}

void TargetPool::setRules(const RouteRules &rules) { m_policies = rules.services; }

void TargetPool::setEntryHosts(std::size_t count) noexcept
{
    m_entryHosts = std::max<std::size_t>(count, 1);
}

void TargetPool::setEvacuated(const std::set<FailureDomainName> &domains, Instant now)
{
    for (const auto &domain : m_evacuated) {
        if (domains.contains(domain))
            continue;
        for (const auto &[instance, target] : m_byInstance) {
            if (target->m_listing.domain == domain)
                extendColdPeriod(*target, &PooledTarget::m_coldUntil, coldStartOf(*target),
                                 EvacuationEvidence, Duration(0), now);
        }
    }
    m_evacuated = domains;
}

bool TargetPool::mayReceive(const PooledTarget &target, Instant now) const
{
    return !target.m_listing.leaving && !target.m_departed && !target.m_backoff.isActive(now)
        && !m_evacuated.contains(target.m_listing.domain);
}

bool TargetPool::mayServe(const PooledTarget &target, const TargetQuery &query, Instant now) const
{
    return mayReceive(target, now) && isEligible(target, query);
}

// Whether the request's route and earlier attempts admit the target.
bool TargetPool::isEligible(const PooledTarget &target, const TargetQuery &query) const
{
    if (query.triedInstances.contains(target.m_listing.instance))
        return false;
    const auto &allowedRegions = query.route->allowedRegions;
    return allowedRegions.empty()
        || std::find(allowedRegions.begin(), allowedRegions.end(), target.m_region)
        != allowedRegions.end();
}

bool TargetPool::isHealthy(const PooledTarget &target, Instant now) const
{
    return target.m_health.state(now) != HealthState::Down;
}

bool TargetPool::isInOwnRegion(const PooledTarget &target) const
{
    return target.m_region == m_topology.regionOf(m_topology.ownDomain);
}

void TargetPool::finish(const TargetChoice &choice, std::optional<TargetOutcome> outcome,
                        Instant sentAt, Instant now)
{
    auto &target = *choice.target;
    if (target.m_inFlight > 0)
        --target.m_inFlight;
    if (outcome)
        observeHealth(target, *outcome, sentAt, now);
    if (outcome == TargetOutcome::Success)
        recordServiceTime(choice, sentAt, now);
}

void TargetPool::observeHealth(PooledTarget &target, TargetOutcome outcome, Instant sentAt,
                               Instant now)
{
    if (isFailure(outcome))
        target.m_failedAt = now;
    const bool wasDown = target.m_isDown;
    target.m_health.observeRequest(outcome, sentAt, now);
    target.m_isDown = target.m_health.state(now) == HealthState::Down
        || (wasDown && outcome != TargetOutcome::Success);
    if (target.m_isDown && !wasDown)
        notifyObserver(target, TargetStatus::Down, AnswerEvidence);
    else if (wasDown && !target.m_isDown)
        notifyObserver(target, TargetStatus::Working, AnswerEvidence);
}

void TargetPool::observeLoad(PooledTarget &target, const ReportedLoad &load, Instant now)
{
    const double total = load.running + load.waiting;
    // The request whose answer carried the report is still counted in flight by this host but no
    // longer by the target.
    const double own = target.m_inFlight > 0 ? target.m_inFlight - 1.0 : 0.0;
    target.m_othersLoad = std::max(0.0, total - own);
    target.m_reportedAt = now;
    if (load.slots > 0)
        target.m_listing.slots = load.slots;
    target.recordLoad(total, now);
    const bool isBusy = total >= target.m_listing.slots;
    if (isBusy || target.m_wasReportedBusy)
        m_pendingReports.insert(target.m_listing.instance);
    target.m_wasReportedBusy = isBusy;
}

void TargetPool::observeRetryAfter(PooledTarget &target, Duration retryAfter, Instant now)
{
    const bool wasActive = target.m_backoff.isActive(now);
    target.m_backoff.observe(retryAfter, now);
    if (target.m_backoff.isActive(now) && !wasActive)
        notifyObserver(target, TargetStatus::BackingOff, AnswerEvidence, Duration(0),
                       target.m_backoff.endsAt() - now);
}

void TargetPool::observeRateLimit(PooledTarget &target, std::optional<double> perSecond,
                                  Instant sentAt, Instant now)
{
    if (target.m_rateLimit.observe(perSecond, sentAt, now))
        notifyRateLimit(target, AnswerEvidence, Duration(0));
    if (target.m_rateLimit.isReportDue(now))
        m_pendingRateLimits.insert(target.m_listing.instance);
}

void TargetPool::notifyRateLimit(const PooledTarget &target, const char *source, Duration age) const
{
    const bool isLimited = target.m_rateLimit.statedLimit().has_value();
    notifyObserver(target, isLimited ? TargetStatus::RateLimited : TargetStatus::Unlimited, source,
                   age);
}

Instant TargetPool::rateLimitAvailableAt(const PooledTarget &target, Instant now) const
{
    return target.m_rateLimit.availableAt(defaultRateLimitShare(), now);
}

// Without an assignment by a control host, all entry hosts have equal shares.
double TargetPool::defaultRateLimitShare() const noexcept
{
    return 1.0 / static_cast<double>(m_entryHosts);
}

std::size_t TargetPool::rateLimitedTargets(Instant now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_byInstance.begin(), m_byInstance.end(), [now](const auto &it) {
            return it.second->m_rateLimit.limit(now).has_value();
        }));
}

void TargetPool::observeRestart(PooledTarget &target, Instant now)
{
    target.m_failedAt = now;
    extendColdPeriod(target, &PooledTarget::m_coldUntilByFailure, coldStartOf(target),
                     ConnectEvidence, Duration(0), now);
}

void TargetPool::forgetFailures(Instant since)
{
    for (const auto &[instance, target] : m_byInstance) {
        if (target->m_failedAt < since)
            continue;
        target->m_failedAt = Instant::min();
        target->m_coldUntilByFailure = Instant::min();
        target->m_health = TargetHealth::warm(healthPolicy());
        target->m_isDown = false;
        notifyObserver(*target, TargetStatus::Working, PathEvidence);
    }
}

ServicePolicy TargetPool::policyOf(const ServiceName &service) const
{
    const auto policy = m_policies.find(service);
    return policy == m_policies.end() ? ServicePolicy() : policy->second;
}

Duration TargetPool::coldStartOf(const PooledTarget &target) const
{
    return policyOf(target.m_listing.service).coldStart;
}

// Returns the earliest end of the periods stated by targets that could otherwise serve the request.
std::optional<Instant> TargetPool::earliestBackoffEnd(const TargetQuery &query, Instant now) const
{
    std::optional<Instant> earliest;
    const auto service = m_services.find(query.service);
    if (service == m_services.end())
        return earliest;
    for (const auto &it : service->second) {
        const Instant endsAt = it->m_backoff.endsAt();
        const bool isAvailableLater = it->m_backoff.isActive(now) && mayReceive(*it, endsAt);
        if (isAvailableLater && isEligible(*it, query))
            earliest = std::min(earliest.value_or(endsAt), endsAt);
    }
    return earliest;
}

// Returns when the first target accepts requests that stated a Retry-After or a rate limit; not
// after now if one does already, std::nullopt if no target may serve the request.
std::optional<Instant> TargetPool::earliestAvailability(const TargetQuery &query, Instant now) const
{
    std::optional<Instant> earliest;
    const auto service = m_services.find(query.service);
    if (service == m_services.end())
        return earliest;
    for (const auto &it : service->second) {
        const Instant from = std::max(now, it->m_backoff.endsAt());
        if (!mayReceive(*it, from) || !isEligible(*it, query))
            continue;
        const Instant available = std::max(from, rateLimitAvailableAt(*it, now));
        earliest = std::min(earliest.value_or(available), available);
    }
    return earliest;
}

RetryDelay TargetPool::retryDelay(TargetQuery query, Instant now, RandomSource &random) const
{
    query.triedInstances.clear(); // The caller's next attempt may use them again.
    const auto earliest = earliestAvailability(query, now);
    if (!earliest || *earliest == Instant::max())
        return { RetryAfterWithoutTargets, RetryAfterWithoutTargets };
    if (*earliest > now)
        return { *earliest - now, RetryAfterWithoutTargets };
    return delayUntilRoom(query, now, random);
}

RetryDelay TargetPool::delayUntilRoom(const TargetQuery &query, Instant now,
                                      RandomSource &random) const
{
    const auto ranked = rank(query, now, random);
    const auto candidates = placementCandidates(ranked, query, now);
    const PlacementRequest request = placementRequest(query, query.route->timeout);
    std::optional<Duration> shortest;
    for (std::size_t n = 0; n < ranked.size(); ++n) {
        if (!probablyHasObject(request, candidates[n]))
            continue;
        const Duration coldWait = coldTokenAvailableAt(*ranked[n].target, now) - now;
        const Duration wait = std::max(expectedWait(request, candidates[n]), coldWait);
        shortest = std::min(shortest.value_or(wait), wait);
    }
    const Duration wait = std::max(shortest.value_or(RetryAfterWithoutTargets), MinRetryAfter);
    return { wait, std::max(wait / 2, MinRetrySpread) };
}

std::vector<PooledTargetRef> TargetPool::targets() const
{
    std::vector<PooledTargetRef> all;
    for (const auto &[instance, target] : m_byInstance)
        all.push_back(target);
    return all;
}

} // namespace ggv
