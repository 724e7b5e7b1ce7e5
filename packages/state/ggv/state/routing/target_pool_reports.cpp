#include <ggv/state/routing/target_pool.hpp>

#include <algorithm>
#include <utility>

namespace ggv {

namespace {

//! Name of the evidence for a status change.
constexpr const char *SharedEvidence = "other-entry-host";

} // namespace

std::vector<TargetStateReport> TargetPool::takeStateReports(Instant now)
{
    std::vector<TargetStateReport> reports;
    for (const auto &instance : std::exchange(m_pendingReports, {})) {
        const auto it = m_byInstance.find(instance);
        if (it == m_byInstance.end())
            continue;
        const auto &target = *it->second;
        const auto load = static_cast<std::uint32_t>(target.m_othersLoad + target.m_inFlight);
        const Duration age = target.m_departed ? Duration(0) : now - target.m_reportedAt;
        reports.push_back({ instance, load, target.m_departed, age, target.m_listing.startedAt });
    }
    return reports;
}

void TargetPool::applyStateReports(const std::vector<TargetStateReport> &reports, Instant now)
{
    for (const auto &it : reports) {
        const auto known = m_byInstance.find(it.instance);
        if (known == m_byInstance.end())
            continue;
        auto &target = *known->second;
        if (it.departed) {
            applyDeparture(target, it, now);
            continue;
        }
        if (now - it.age <= std::max(target.m_reportedAt, target.m_startSeenAt))
            continue;
        target.m_othersLoad = std::max(0.0, static_cast<double>(it.load) - target.m_inFlight);
        target.m_reportedAt = now - it.age;
        target.recordLoad(it.load, now);
    }
}

std::vector<TargetRateLimitReport> TargetPool::takeRateLimitReports(Instant now)
{
    std::vector<TargetRateLimitReport> reports;
    for (const auto &instance : std::exchange(m_pendingRateLimits, {})) {
        const auto it = m_byInstance.find(instance);
        if (it == m_byInstance.end())
            continue;
        auto &limit = it->second->m_rateLimit;
        // Another host may have reported the same in the meantime.
        if (!limit.isReportDue(now))
            continue;
        reports.push_back({ instance, limit.limit(now), limit.statementAge(now) });
        limit.onReported(now);
    }
    return reports;
}

void TargetPool::applyRateLimitReports(const std::vector<TargetRateLimitReport> &reports,
                                       Instant now)
{
    for (const auto &it : reports) {
        const auto known = m_byInstance.find(it.instance);
        if (known == m_byInstance.end())
            continue;
        auto &target = *known->second;
        if (now - it.age < target.m_startSeenAt)
            continue;
        if (target.m_rateLimit.apply(it.perSecond, now - it.age, now))
            notifyRateLimit(target, SharedEvidence, it.age);
    }
}

void TargetPool::applyRateLimitShares(const std::vector<TargetRateLimitShare> &shares)
{
    for (const auto &it : shares) {
        const auto known = m_byInstance.find(it.instance);
        if (known != m_byInstance.end())
            known->second->m_rateLimit.setShare(it.fraction);
    }
}

} // namespace ggv
