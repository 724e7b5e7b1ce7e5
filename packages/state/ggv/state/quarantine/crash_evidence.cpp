#include <ggv/state/quarantine/crash_evidence.hpp>

#include <algorithm>

namespace ggv {

CrashEvidence::Crash &CrashEvidence::crashOf(const std::string &instance, Instant crashedAt,
                                             Instant now)
{
    const auto it = std::find_if(m_crashes.rbegin(), m_crashes.rend(), [&](const Crash &crash) {
        return crash.instance == instance
            && std::chrono::abs(crash.crashedAt - crashedAt) <= MergeTime;
    });
    if (it != m_crashes.rend())
        return *it;
    if (m_crashes.size() >= MaxCrashes)
        forgetOldest();
    return m_crashes.emplace_back(Crash { instance, crashedAt, now, {} });
}

void CrashEvidence::recordCrash(RequestFingerprint request, const std::string &instance,
                                Instant crashedAt, Instant now)
{
    expire(now);
    Crash &crash = crashOf(instance, crashedAt, now);
    if (crash.requests.size() < MaxRequestsPerCrash && crash.requests.insert(request).second)
        ++m_counts[request];
}

void CrashEvidence::recordAnswer(RequestFingerprint request, Instant answeredAt)
{
    if (!contains(request))
        return;
    for (auto &crash : m_crashes) {
        if (crash.crashedAt <= answeredAt && crash.requests.erase(request) > 0)
            decrementCount(request);
    }
}

bool CrashEvidence::contains(RequestFingerprint request) const
{
    return m_counts.contains(request);
}

std::size_t CrashEvidence::countOf(RequestFingerprint request) const
{
    const auto it = m_counts.find(request);
    return it == m_counts.end() ? 0 : it->second;
}

void CrashEvidence::decrementCount(RequestFingerprint request)
{
    const auto it = m_counts.find(request);
    if (--it->second == 0)
        m_counts.erase(it);
}

bool CrashEvidence::isExplainedByOther(const Crash &crash, RequestFingerprint request) const
{
    const std::size_t own = countOf(request);
    return std::any_of(crash.requests.begin(), crash.requests.end(), [&](const auto &other) {
        return other != request && countOf(other) >= own;
    });
}

bool CrashEvidence::isCulprit(RequestFingerprint request, Instant now) const
{
    if (countOf(request) < MinCrashes)
        return false;
    const auto count = std::count_if(m_crashes.begin(), m_crashes.end(), [&](const Crash &crash) {
        return crash.requests.contains(request) && now - crash.recordedAt >= SettleTime
            && !isExplainedByOther(crash, request);
    });
    return static_cast<std::size_t>(count) >= MinCrashes;
}

void CrashEvidence::forgetOldest()
{
    for (const auto &it : m_crashes.front().requests)
        decrementCount(it);
    m_crashes.pop_front();
}

void CrashEvidence::expire(Instant now)
{
    while (!m_crashes.empty() && now - m_crashes.front().recordedAt > Lifetime)
        forgetOldest();
}

} // namespace ggv
