#include <ggv/state/routing/target_pool.hpp>

#include <algorithm>
#include <utility>

namespace ggv {

namespace {

// Names of the evidence for a status change.
constexpr const char *AnswerEvidence = "answer";
constexpr const char *SharedEvidence = "other-entry-host";
constexpr const char *HealthEvidence = "health-answer";

} // namespace

bool TargetPool::isCurrent(const PooledTarget &target) const
{
    const auto it = m_byInstance.find(target.m_listing.instance);
    return it != m_byInstance.end() && it->second.get() == &target;
}

// Returns what is known of the same start of the target: the list may have omitted it meanwhile.
// Null if the target has started again since: a late answer of the earlier start says nothing about
// the present one.
PooledTarget *TargetPool::findSameStart(PooledTarget &target) const
{
    const auto it = m_byInstance.find(target.m_listing.instance);
    if (it == m_byInstance.end() || it->second.get() == &target)
        return &target;
    PooledTarget &present = *it->second;
    const bool hasRestarted = present.m_startSeenAt != Instant::min()
        || isLaterStart(present.m_listing.startedAt, target.m_listing.startedAt)
        || present.m_listing.endpoint != target.m_listing.endpoint;
    return hasRestarted ? nullptr : &present;
}

void TargetPool::exclude(PooledTarget &target, TargetStatus status, Instant now)
{
    PooledTarget *known = findSameStart(target);
    if (known == nullptr)
        return;
    known->m_departureSeenAt = now;
    if (std::exchange(known->m_departed, true))
        return;
    m_departed.record(known->m_listing, now);
    m_pendingReports.insert(known->m_listing.instance);
    notifyObserver(*known, status, AnswerEvidence);
}

void TargetPool::observeReplaced(PooledTarget &target, Instant now)
{
    exclude(target, TargetStatus::Replaced, now);
}

void TargetPool::observeLeaving(PooledTarget &target, Instant now)
{
    exclude(target, TargetStatus::Leaving, now);
}

// A report without a start may be of any: the target is excluded, to be on the safe side.
void TargetPool::applyDeparture(PooledTarget &target, const TargetStateReport &report, Instant now)
{
    if (isLaterStart(target.m_listing.startedAt, report.startedAt))
        return;
    target.m_departureSeenAt = now;
    if (std::exchange(target.m_departed, true))
        return;
    ListedTarget departed = target.m_listing;
    departed.startedAt = std::max(departed.startedAt, report.startedAt);
    m_departed.record(departed, now);
    notifyObserver(target, TargetStatus::Departed, SharedEvidence, report.age);
}

std::vector<PooledTargetRef> TargetPool::doubtfulDepartures(Instant now) const
{
    std::vector<PooledTargetRef> doubtful;
    for (const auto &[instance, target] : m_byInstance) {
        const bool isExcluded = target->m_departed || target->m_listing.leaving;
        if (isExcluded && !target->m_isListedLeaving
            && now - target->m_departureSeenAt >= DoubtTime)
            doubtful.push_back(target);
    }
    return doubtful;
}

void TargetPool::observeNotLeaving(const PooledTarget &target, Instant sentAt,
                                   Duration coldDuration, Instant now)
{
    if (!isCurrent(target) || target.m_isListedLeaving || sentAt <= target.m_departureSeenAt)
        return;
    const std::string instance = target.m_listing.instance;
    m_departed.forget(instance);
    ListedTarget listing = target.m_listing;
    listing.leaving = false;
    const PooledTargetRef restarted = restartedTarget(target, listing, now);
    auto &candidates = m_services[listing.service];
    std::replace(candidates.begin(), candidates.end(), m_byInstance[instance], restarted);
    m_byInstance[instance] = restarted;
    notifyObserver(*restarted, TargetStatus::Restarted, HealthEvidence);
    extendColdPeriod(*restarted, &PooledTarget::m_coldUntil, coldDuration, HealthEvidence,
                     Duration(0), now);
}

// A new start knows nothing of the one before. Only what protects a cold target is kept: it may
// have become known before the start.
PooledTargetRef TargetPool::restartedTarget(const PooledTarget &earlier, ListedTarget listing,
                                            Instant now) const
{
    auto target = std::make_shared<PooledTarget>(std::move(listing), earlier.m_region);
    target->m_startSeenAt = now;
    target->m_departureSeenAt = now;
    target->m_coldUntil = earlier.m_coldUntil;
    target->m_coldUntilByFailure = earlier.m_coldUntilByFailure;
    target->m_coldTokens = earlier.m_coldTokens;
    target->m_coldRefilledAt = earlier.m_coldRefilledAt;
    return target;
}

} // namespace ggv
