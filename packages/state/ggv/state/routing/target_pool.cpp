#include <ggv/state/routing/target_pool.hpp>

#include <ggv/state/routing/target_affinity.hpp>

#include <algorithm>
#include <utility>

namespace ggv {

namespace {

//! The own region takes this many times its share of the service's slots, if all regions ask alike.
constexpr double OwnRegionShare = 1.05;
//! Part of the objects that stay in the own region at most.
constexpr double MaxOwnRegionShare = 0.95;
//! Part of the time left that a request may wait for a slot, for the most important requests.
constexpr double MaxWaitShare = 0.7;
//! Each step of priority gives up this much of it.
constexpr double WaitSharePerPriority = 0.1;
//! A target that has to learn an object first takes room from the others.
constexpr double UnknownPenalty = 3.0;
//! Each target that affinity prefers makes the next one this much dearer, in service times.
constexpr double RankPenalty = 0.02;
constexpr std::size_t MaxRankPenalty = 10;
//! Before anything was measured, in latency objectives of the route.
constexpr double AssumedKnownTime = 0.5;
constexpr double AssumedUnknownTime = 1.5;
//! Weight of the newest service time in the mean.
constexpr double TimeStep = 0.05;
// What a change of belief rests on.
constexpr const char *ListSource = "platform-list";
constexpr const char *ConnectSource = "connection-refused";
constexpr const char *EvacuationSource = "evacuation-ended";
constexpr const char *AnswerSource = "answer";
constexpr const char *SharedSource = "other-entry-host";
//! Objects of one target that are remembered, and for how long.
constexpr std::size_t MaxObjects = 1024;
constexpr Duration ObjectMemory = std::chrono::seconds(30);
//! A report of other hosts' load counts in full for this long, then fades.
constexpr Duration ReportFreshness = std::chrono::milliseconds(500);
//! More targets of a service than this share are not held back for failures.
constexpr double MaxDownShare = 0.5;
//! A cold target's unused rate is kept for this long.
constexpr double ColdBurstSeconds = 0.25;
//! Added to the time that a target is said to stay cold.
constexpr Duration ColdMargin = std::chrono::milliseconds(250);
//! After that, the rate grows to its multiple within this time, so that not all hosts send at once.
constexpr Duration WarmUpTime = std::chrono::milliseconds(1500);
constexpr double WarmUpFactor = 8.0;
//! Time that a refused caller should wait for a slot.
constexpr Duration FullRetryAfter = std::chrono::milliseconds(400);

HealthPolicy healthPolicy()
{
    HealthPolicy policy;
    policy.maximumBackoff = std::chrono::seconds(8);
    return policy;
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

TargetPool::TargetPool(Topology topology)
    : m_topology(std::move(topology))
{ }

std::string_view targetStatusName(TargetStatus status) noexcept
{
    switch (status) {
    case TargetStatus::Listed:
        return "listed";
    case TargetStatus::Delisted:
        return "delisted";
    case TargetStatus::Leaving:
        return "leaving";
    case TargetStatus::Cold:
        return "cold";
    case TargetStatus::Replaced:
        return "replaced";
    case TargetStatus::Down:
        return "down";
    case TargetStatus::Working:
        return "working";
    }
    return "unlisted";
}

void TargetPool::setObserver(std::function<void(const TargetStatusChange &)> onChange)
{
    m_onChange = std::move(onChange);
}

void TargetPool::report(const PooledTarget &target, TargetStatus status, const char *source,
                        Duration age, Duration statusDuration) const
{
    m_onChange({ target.m_listing, status, source, age, statusDuration });
}

void TargetPool::extendColdPeriod(PooledTarget &target, Duration coldDuration, const char *source,
                                  Duration age, Instant now)
{
    if (coldDuration <= Duration(0))
        return;
    if (now >= target.m_coldUntil)
        report(target, TargetStatus::Cold, source, age, coldDuration);
    target.m_coldUntil = std::max(target.m_coldUntil, now + coldDuration);
}

void TargetPool::update(const TargetList &list, Duration age, Instant now)
{
    m_hasList = true;
    std::map<std::string, PooledTargetRef> byInstance;
    std::map<ServiceName, Candidates> services;
    for (const auto &listing : list.targets) {
        auto known = m_byInstance.find(listing.instance);
        const bool same = known != m_byInstance.end()
            && known->second->m_listing.endpoint == listing.endpoint
            && known->second->m_listing.service == listing.service;
        const PooledTargetRef target = same
            ? known->second
            : std::make_shared<PooledTarget>(listing, m_topology.regionOf(listing.domain));
        const bool wasLeaving = same && target->m_listing.leaving;
        const bool isColdAnew = !same || target->m_listing.coldDuration != listing.coldDuration;
        target->m_listing = listing;
        target->m_listing.leaving = listing.leaving || wasLeaving;
        if (!same)
            report(*target, TargetStatus::Listed, ListSource, age);
        if (target->m_listing.leaving && !wasLeaving)
            report(*target, TargetStatus::Leaving, ListSource, age);
        // The time that the list was under way is not subtracted: it may have been written late.
        if (isColdAnew && listing.coldDuration > Duration(0))
            extendColdPeriod(*target, listing.coldDuration + ColdMargin, ListSource, age, now);
        byInstance[listing.instance] = target;
        services[listing.service].push_back(target);
    }
    removeMissing(byInstance, age);
    std::erase_if(m_pendingReports, [&](const auto &it) { return !byInstance.contains(it); });
    m_byInstance = std::move(byInstance);
    m_services = std::move(services);
}

void TargetPool::removeMissing(const std::map<std::string, PooledTargetRef> &listed,
                               Duration age) const
{
    for (const auto &[instance, target] : m_byInstance) {
        const auto it = listed.find(instance);
        if (it == listed.end() || it->second != target)
            report(*target, TargetStatus::Delisted, ListSource, age);
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
                markCold(*target, EvacuationSource, now);
        }
    }
    m_evacuated = domains;
}

bool TargetPool::mayServe(const PooledTarget &target, const TargetQuery &demand, Instant now) const
{
    if (target.m_listing.leaving || target.m_replaced
        || m_evacuated.contains(target.m_listing.domain))
        return false;
    if (demand.triedInstances.contains(target.m_listing.instance))
        return false;
    const auto &preferredRegions = demand.route->preferredRegions;
    if (!preferredRegions.empty()
        && std::find(preferredRegions.begin(), preferredRegions.end(), target.m_region)
            == preferredRegions.end())
        return false;
    (void)now;
    return true;
}

bool TargetPool::isHealthy(const PooledTarget &target, Instant now) const
{
    return target.m_health.state(now) != HealthState::Down;
}

bool TargetPool::isInOwnRegion(const PooledTarget &target) const
{
    return target.m_region == m_topology.regionOf(m_topology.ownDomain);
}

// Weight of a slot in the own region, relative to one elsewhere. It rests on the list alone, so
// that all hosts of a region send an object to the same target.
double TargetPool::ownRegionWeight(const Candidates &candidates) const
{
    double own = 0.0;
    double elsewhere = 0.0;
    for (const auto &it : candidates) {
        const bool counts = !it->m_listing.leaving && !m_evacuated.contains(it->m_listing.domain);
        if (counts)
            (isInOwnRegion(*it) ? own : elsewhere) += it->m_listing.slots;
    }
    if (own <= 0.0 || elsewhere <= 0.0)
        return 1.0;
    std::set<RegionName> regions;
    for (const auto &[domain, region] : m_topology.regions)
        regions.insert(region);
    const double fair = own / (own + elsewhere) * static_cast<double>(regions.size());
    const double share = std::min(MaxOwnRegionShare, OwnRegionShare * fair);
    return share / (1.0 - share) * elsewhere / own;
}

std::vector<TargetPool::RankedTarget> TargetPool::rank(const TargetQuery &demand, Instant now,
                                                       RandomSource &random) const
{
    std::vector<RankedTarget> ranked;
    const auto service = m_services.find(demand.service);
    if (service == m_services.end())
        return ranked;
    const bool sticky = demand.route->sticky && demand.object.has_value();
    const std::uint64_t object = sticky ? *demand.object : random();
    const double ownWeight = ownRegionWeight(service->second);
    const auto rankOf = [&](const PooledTarget &target) {
        const double slots = target.m_listing.slots;
        return rankTarget(object, target.m_digest,
                          isInOwnRegion(target) ? slots * ownWeight : slots);
    };
    std::size_t down = 0;
    std::size_t usable = 0;
    for (const auto &target : service->second) {
        if (!mayServe(*target, demand, now))
            continue;
        ++usable;
        if (!isHealthy(*target, now)) {
            ++down;
            continue;
        }
        ranked.push_back({ rankOf(*target), target });
    }
    const bool panic = static_cast<double>(down) > MaxDownShare * static_cast<double>(usable);
    if (panic) {
        ranked.clear();
        for (const auto &target : service->second) {
            if (mayServe(*target, demand, now))
                ranked.push_back({ rankOf(*target), target });
        }
    }
    std::sort(ranked.begin(), ranked.end(), [](const RankedTarget &one, const RankedTarget &other) {
        return one.rank < other.rank;
    });
    return ranked;
}

// Rate that a target bears from this host; nothing if it is not bounded.
std::optional<double> TargetPool::coldRateLimitOf(const PooledTarget &target, Instant now) const
{
    if (target.m_coldUntil == Instant::min() || now >= target.m_coldUntil + WarmUpTime)
        return std::nullopt;
    const auto policy = m_policies.find(target.m_listing.service);
    const double rate = policy == m_policies.end() ? 0.0 : policy->second.coldRequestsPerSecond;
    if (rate <= 0.0)
        return std::nullopt;
    const double share = rate / static_cast<double>(m_entryHosts);
    if (now < target.m_coldUntil)
        return share;
    const auto progress = std::chrono::duration<double>(now - target.m_coldUntil)
        / std::chrono::duration<double>(WarmUpTime);
    return share * (1.0 + progress * (WarmUpFactor - 1.0));
}

bool TargetPool::tryAcquireColdToken(PooledTarget &target, Instant now)
{
    const auto rate = coldRateLimitOf(target, now);
    if (!rate)
        return true;
    const double burst = std::max(1.0, *rate * ColdBurstSeconds);
    if (target.m_coldRefilledAt == Instant::min())
        target.m_coldRefilledAt = now;
    const auto elapsed = std::chrono::duration<double>(now - target.m_coldRefilledAt);
    target.m_coldTokens = std::min(burst, target.m_coldTokens + elapsed.count() * *rate);
    target.m_coldRefilledAt = now;
    if (target.m_coldTokens < 1.0)
        return false;
    target.m_coldTokens -= 1.0;
    return true;
}

ServiceTimeEstimate TargetPool::serviceTimesFor(const TargetQuery &demand) const
{
    const auto objective = static_cast<double>(demand.route->latencyObjective.count());
    ServiceTimeEstimate times { objective * AssumedKnownTime, objective * AssumedUnknownTime };
    const auto it = m_serviceTimes.find(demand.service);
    if (it == m_serviceTimes.end())
        return times;
    if (it->second.known > 0.0)
        times.known = it->second.known;
    if (it->second.unknown > 0.0)
        times.unknown = it->second.unknown;
    return times;
}

TargetPool::EvaluatedTarget TargetPool::evaluate(const RankedTarget &candidate, std::uint32_t rank,
                                                 const TargetQuery &demand, Instant now) const
{
    const auto &target = *candidate.target;
    const bool sticky = demand.route->sticky && demand.object.has_value();
    const auto served
        = sticky ? target.m_recentObjects.find(*demand.object) : target.m_recentObjects.end();
    const bool knows
        = served != target.m_recentObjects.end() && now - served->second < ObjectMemory;
    const auto times = serviceTimesFor(demand);
    const double slots = target.m_listing.slots;
    const double excess = std::max(0.0, target.load(now) + 1.0 - slots);
    const double wait = excess / slots * times.known;
    const auto steps = static_cast<double>(std::min<std::size_t>(rank, MaxRankPenalty));
    // Other hosts send the object to its first target, too.
    const bool expectsKnown = knows || !sticky || rank == 0;
    const double service = (expectsKnown ? times.known : UnknownPenalty * times.unknown)
        + steps * RankPenalty * times.unknown;
    return { &candidate, rank, Duration(static_cast<Duration::rep>(wait)),
             Duration(static_cast<Duration::rep>(wait + service)), knows };
}

TargetChoice TargetPool::choose(const TargetQuery &demand, Duration timeLeft, Instant now,
                                RandomSource &random)
{
    const auto ranked = rank(demand, now, random);
    TargetChoice choice;
    if (demand.route->sticky)
        choice.object = demand.object;
    if (ranked.empty())
        return choice;
    choice.reason = NoTargetReason::AllFull;
    const double share
        = std::max(0.0, MaxWaitShare - WaitSharePerPriority * demand.route->priority);
    const Duration maxWait(
        static_cast<Duration::rep>(static_cast<double>(timeLeft.count()) * share));
    std::vector<EvaluatedTarget> offers;
    std::uint32_t position = 0;
    for (const auto &it : ranked) {
        const EvaluatedTarget offer = evaluate(it, position++, demand, now);
        if (offer.wait <= maxWait)
            offers.push_back(offer);
    }
    std::stable_sort(offers.begin(), offers.end(),
                     [](const EvaluatedTarget &one, const EvaluatedTarget &other) {
                         return one.total < other.total;
                     });
    for (const auto &offer : offers) {
        const auto &target = offer.candidate->target;
        if (!tryAcquireColdToken(*target, now))
            continue;
        choice.load = target->load(now);
        choice.target = target;
        choice.rank = offer.rank;
        choice.expectedWait = offer.wait;
        choice.knowsObject = offer.knowsObject;
        ++target->m_inFlight;
        break;
    }
    return choice;
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
    const bool wasDown = target.m_isDown;
    target.m_health.observeRequest(outcome, sentAt, now);
    target.m_isDown = target.m_health.state(now) == HealthState::Down
        || (wasDown && outcome != TargetOutcome::Success);
    if (target.m_isDown && !wasDown)
        report(target, TargetStatus::Down, AnswerSource);
    else if (wasDown && !target.m_isDown)
        report(target, TargetStatus::Working, AnswerSource);
}

void TargetPool::recordServiceTime(const TargetChoice &choice, Instant sentAt, Instant now)
{
    auto &objects = choice.target->m_recentObjects;
    if (choice.object) {
        if (objects.size() >= MaxObjects)
            std::erase_if(objects,
                          [now](const auto &it) { return now - it.second > ObjectMemory; });
        objects[*choice.object] = now;
    }
    const bool waited = choice.load >= choice.target->m_listing.slots;
    const bool isKnown = choice.knowsObject || !choice.object;
    // Whether the first target knew the object from other hosts cannot be told.
    const bool isSure = isKnown || choice.rank > 0;
    if (waited || !isSure)
        return;
    auto &times = m_serviceTimes[choice.target->m_listing.service];
    double &mean = isKnown ? times.known : times.unknown;
    const auto taken = static_cast<double>((now - sentAt).count());
    mean = mean > 0.0 ? mean + TimeStep * (taken - mean) : taken;
}

void TargetPool::observeLoad(PooledTarget &target, const ReportedLoad &load, Instant now)
{
    const double total = load.running + load.waiting;
    // The request that carried the report is still counted in flight here, and no more there.
    const double own = target.m_inFlight > 0 ? target.m_inFlight - 1.0 : 0.0;
    target.m_othersLoad = std::max(0.0, total - own);
    target.m_reportedAt = now;
    if (load.slots > 0)
        target.m_listing.slots = load.slots;
    const bool isBusy = total >= target.m_listing.slots;
    if (isBusy || target.m_wasBusy)
        m_pendingReports.insert(target.m_listing.instance);
    target.m_wasBusy = isBusy;
}

std::vector<TargetStateReport> TargetPool::takeStateReports(Instant now)
{
    std::vector<TargetStateReport> sightings;
    for (const auto &instance : std::exchange(m_pendingReports, {})) {
        const auto it = m_byInstance.find(instance);
        if (it == m_byInstance.end())
            continue;
        const auto &target = *it->second;
        const auto load = static_cast<std::uint32_t>(target.m_othersLoad + target.m_inFlight);
        const Duration age = target.m_replaced ? Duration(0) : now - target.m_reportedAt;
        sightings.push_back({ instance, load, target.m_replaced, age });
    }
    return sightings;
}

void TargetPool::applyStateReports(const std::vector<TargetStateReport> &sightings, Instant now)
{
    for (const auto &it : sightings) {
        const auto known = m_byInstance.find(it.instance);
        if (known == m_byInstance.end())
            continue;
        auto &target = *known->second;
        if (it.replaced && !target.m_replaced) {
            target.m_replaced = true;
            report(target, TargetStatus::Replaced, SharedSource, it.age);
        }
        if (it.replaced || now - it.age <= target.m_reportedAt)
            continue;
        target.m_othersLoad = std::max(0.0, static_cast<double>(it.load) - target.m_inFlight);
        target.m_reportedAt = now - it.age;
    }
}

void TargetPool::observeReplaced(PooledTarget &target)
{
    if (target.m_replaced)
        return;
    target.m_replaced = true;
    m_pendingReports.insert(target.m_listing.instance);
    report(target, TargetStatus::Replaced, AnswerSource);
}

void TargetPool::observeRestart(PooledTarget &target, Instant now)
{
    markCold(target, ConnectSource, now);
}

void TargetPool::markCold(PooledTarget &target, const char *source, Instant now)
{
    const auto policy = m_policies.find(target.m_listing.service);
    if (policy != m_policies.end())
        extendColdPeriod(target, policy->second.coldStart, source, Duration(0), now);
}

Duration TargetPool::retryAfter(const ServiceName &) const noexcept { return FullRetryAfter; }

std::vector<PooledTargetRef> TargetPool::targets() const
{
    std::vector<PooledTargetRef> all;
    for (const auto &[instance, target] : m_byInstance)
        all.push_back(target);
    return all;
}

} // namespace ggv
