#include <ggv/state/routing/target_affinity.hpp>
#include <ggv/state/routing/target_pool.hpp>

#include <algorithm>

namespace ggv {

namespace {

//! Factor on the share of requests that this host's region would serve at equal demand in all
//! regions.
constexpr double OwnRegionShare = 1.05;
//! Upper bound for the share of objects that are served in this host's region.
constexpr double MaxOwnRegionShare = 0.95;
//! Service times assumed before the first sample, in latency objectives of the route.
constexpr double AssumedKnownTime = 0.5;
constexpr double AssumedUnknownTime = 1.5;
//! Weight of the newest service time in the moving average.
constexpr double ServiceTimeStep = 0.05;
//! Number of objects recorded per target, and how long a record is valid.
constexpr std::size_t MaxRecordedObjects = 1024;
constexpr Duration ObjectRecordLifetime = std::chrono::seconds(30);
//! If more than this share of a service's targets is down, health is ignored.
constexpr double MaxDownShare = 0.5;
//! Burst size of a cold target's token bucket, in seconds of its rate.
constexpr double ColdBurstSeconds = 0.25;
//! After the cold period, the rate limit rises by WarmUpFactor within this time, so that the hosts
//! do not all send at full rate at once.
constexpr Duration WarmUpTime = std::chrono::milliseconds(1500);
constexpr double WarmUpFactor = 8.0;

} // namespace

// Computes the weight of a slot in this host's region relative to a slot elsewhere. It depends only
// on the list and the evacuations, so that all hosts of a region send an object to the same target.
double TargetPool::ownRegionWeight(const Candidates &candidates) const
{
    double own = 0.0;
    double elsewhere = 0.0;
    for (const auto &it : candidates) {
        const bool isEligible
            = !it->m_listing.leaving && !m_evacuated.contains(it->m_listing.domain);
        if (isEligible)
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

double TargetPool::meanSmoothedLoad(const Candidates &candidates, Instant now)
{
    double sum = 0.0;
    for (const auto &it : candidates)
        sum += it->m_smoothedLoad.value(now);
    return candidates.empty() ? 0.0 : sum / static_cast<double>(candidates.size());
}

std::vector<TargetPool::RankedTarget> TargetPool::rank(const TargetQuery &query, Instant now,
                                                       RandomSource &random) const
{
    std::vector<RankedTarget> ranked;
    const auto service = m_services.find(query.service);
    if (service == m_services.end())
        return ranked;
    const bool sticky = query.route->sticky && query.object.has_value();
    const std::uint64_t object = sticky ? *query.object : random();
    const double ownWeight = ownRegionWeight(service->second);
    const double meanLoad = meanSmoothedLoad(service->second, now);
    const auto rankOf = [&](const PooledTarget &target) {
        const double load = target.m_smoothedLoad.value(now);
        const double slots = target.m_listing.slots * objectShareFactor(load, meanLoad);
        return rankTarget(object, target.m_digest,
                          isInOwnRegion(target) ? slots * ownWeight : slots);
    };
    std::size_t down = 0;
    std::size_t usable = 0;
    for (const auto &target : service->second) {
        if (!mayServe(*target, query, now))
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
            if (mayServe(*target, query, now))
                ranked.push_back({ rankOf(*target), target });
        }
    }
    std::sort(ranked.begin(), ranked.end(), [](const RankedTarget &one, const RankedTarget &other) {
        return one.rank < other.rank;
    });
    return ranked;
}

// Returns this host's share of the rate limit of a cold or warming target; std::nullopt if there is
// no limit.
std::optional<double> TargetPool::coldRateLimitOf(const PooledTarget &target, Instant now) const
{
    const Instant coldUntil = target.coldUntil();
    if (coldUntil == Instant::min() || now >= coldUntil + WarmUpTime)
        return std::nullopt;
    const auto policy = m_policies.find(target.m_listing.service);
    const double rate = policy == m_policies.end() ? 0.0 : policy->second.coldRequestsPerSecond;
    if (rate <= 0.0)
        return std::nullopt;
    const double share = rate / static_cast<double>(m_entryHosts);
    if (now < coldUntil)
        return share;
    const auto progress = std::chrono::duration<double>(now - coldUntil)
        / std::chrono::duration<double>(WarmUpTime);
    return share * (1.0 + progress * (WarmUpFactor - 1.0));
}

// Returns the tokens of the target's bucket at the given time.
double TargetPool::coldTokens(const PooledTarget &target, double rate, Instant now)
{
    const double burst = std::max(1.0, rate * ColdBurstSeconds);
    const Instant refilledAt
        = target.m_coldRefilledAt == Instant::min() ? now : target.m_coldRefilledAt;
    const auto elapsed = std::chrono::duration<double>(now - refilledAt);
    return std::min(burst, target.m_coldTokens + elapsed.count() * rate);
}

Instant TargetPool::coldTokenAvailableAt(const PooledTarget &target, Instant now) const
{
    const auto rate = coldRateLimitOf(target, now);
    const double missing = rate ? 1.0 - coldTokens(target, *rate, now) : 0.0;
    if (missing <= 0.0)
        return now;
    const std::chrono::duration<double> wait(missing / *rate);
    return now + std::chrono::duration_cast<Duration>(wait);
}

bool TargetPool::tryAcquireColdToken(PooledTarget &target, Instant now)
{
    const auto rate = coldRateLimitOf(target, now);
    if (!rate)
        return true;
    target.m_coldTokens = coldTokens(target, *rate, now);
    target.m_coldRefilledAt = now;
    if (target.m_coldTokens < 1.0)
        return false;
    target.m_coldTokens -= 1.0;
    return true;
}

ServiceTimeEstimate TargetPool::serviceTimesFor(const TargetQuery &query) const
{
    const auto objective = static_cast<double>(query.route->latencyObjective.count());
    ServiceTimeEstimate times { objective * AssumedKnownTime, objective * AssumedUnknownTime };
    const auto it = m_serviceTimes.find(query.service);
    if (it == m_serviceTimes.end())
        return times;
    if (it->second.known > 0.0)
        times.known = it->second.known;
    if (it->second.unknown > 0.0)
        times.unknown = it->second.unknown;
    return times;
}

bool TargetPool::knowsObject(const PooledTarget &target, const TargetQuery &query, Instant now)
{
    if (!query.route->sticky || !query.object)
        return false;
    const auto served = target.m_recentObjects.find(*query.object);
    return served != target.m_recentObjects.end() && now - served->second < ObjectRecordLifetime;
}

std::vector<PlacementCandidate>
TargetPool::placementCandidates(const std::vector<RankedTarget> &ranked, const TargetQuery &query,
                                Instant now) const
{
    std::vector<PlacementCandidate> candidates;
    candidates.reserve(ranked.size());
    for (const auto &it : ranked) {
        const auto rank = static_cast<std::uint32_t>(candidates.size());
        candidates.push_back({ rank, knowsObject(*it.target, query, now), it.target->load(now),
                               it.target->m_listing.slots });
    }
    return candidates;
}

PlacementRequest TargetPool::placementRequest(const TargetQuery &query, Duration timeLeft) const
{
    const bool usesAffinity = query.route->sticky && query.object;
    return { usesAffinity, query.route->priority, timeLeft, serviceTimesFor(query) };
}

TargetChoice TargetPool::choose(const TargetQuery &query, Duration timeLeft, Instant now,
                                RandomSource &random)
{
    const auto ranked = rank(query, now, random);
    TargetChoice choice;
    if (query.route->sticky)
        choice.object = query.object;
    if (ranked.empty()) {
        if (earliestBackoffEnd(query, now))
            choice.reason = NoTargetReason::AllBackingOff;
        return choice;
    }
    choice.reason = NoTargetReason::AllFull;
    const PlacementRequest request = placementRequest(query, timeLeft);
    const auto candidates = placementCandidates(ranked, query, now);
    std::size_t rateLimited = 0;
    for (const auto &placement : placeRequest(request, candidates)) {
        const auto &target = ranked[placement.candidate].target;
        if (rateLimitAvailableAt(*target, now) > now) {
            ++rateLimited;
            continue;
        }
        if (!tryAcquireColdToken(*target, now))
            continue;
        target->m_rateLimit.onSend(defaultRateLimitShare(), now);
        choice.load = target->load(now);
        choice.target = target;
        choice.rank = candidates[placement.candidate].rank;
        choice.expectedWait = placement.wait;
        choice.knowsObject = candidates[placement.candidate].knowsObject;
        ++target->m_inFlight;
        return choice;
    }
    if (rateLimited > 0 && rateLimited == ranked.size())
        choice.reason = NoTargetReason::AllRateLimited;
    return choice;
}

void TargetPool::recordServiceTime(const TargetChoice &choice, Instant sentAt, Instant now)
{
    auto &objects = choice.target->m_recentObjects;
    if (choice.object) {
        if (objects.size() >= MaxRecordedObjects)
            std::erase_if(objects,
                          [now](const auto &it) { return now - it.second > ObjectRecordLifetime; });
        objects[*choice.object] = now;
    }
    const bool wasQueued = choice.load >= choice.target->m_listing.slots;
    const bool isKnown = choice.knowsObject || !choice.object;
    // For the first-ranked target, this host does not know whether another host's request had
    // already loaded the object into the cache.
    const bool isUnambiguous = isKnown || choice.rank > 0;
    if (wasQueued || !isUnambiguous)
        return;
    auto &times = m_serviceTimes[choice.target->m_listing.service];
    double &mean = isKnown ? times.known : times.unknown;
    const auto serviceTime = static_cast<double>((now - sentAt).count());
    mean = mean > 0.0 ? mean + ServiceTimeStep * (serviceTime - mean) : serviceTime;
}

} // namespace ggv
