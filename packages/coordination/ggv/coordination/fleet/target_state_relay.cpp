#include <ggv/coordination/fleet/target_state_relay.hpp>

#include <utility>

namespace ggv {

bool TargetStateRelay::add(const TargetStateReport &report, Instant now)
{
    if (report.age > MaxAge)
        return false;
    const Instant observedAt = now - report.age;
    const auto tracked = m_tracked.find(report.instance);
    if (tracked != m_tracked.end() && tracked->second.observedAt >= observedAt)
        return false;
    if (tracked == m_tracked.end() && m_tracked.size() >= MaxTargets)
        return false;
    m_tracked[report.instance] = { report, observedAt };
    return true;
}

void TargetStateRelay::addFromEntry(const std::vector<TargetStateReport> &reports, Instant now)
{
    expire(now);
    for (const auto &it : reports) {
        if (!add(it, now))
            continue;
        m_forControl.insert(it.instance);
        m_forEntry.insert(it.instance);
    }
}

void TargetStateRelay::addFromControl(const std::vector<TargetStateReport> &reports, Instant now)
{
    expire(now);
    for (const auto &it : reports) {
        if (!add(it, now))
            continue;
        m_forControl.erase(it.instance);
        m_forEntry.insert(it.instance);
    }
}

void TargetStateRelay::expire(Instant now)
{
    std::erase_if(m_tracked, [now](const auto &it) { return now - it.second.observedAt > MaxAge; });
}

std::vector<TargetStateReport> TargetStateRelay::takePending(std::set<std::string> &pending,
                                                             Instant now)
{
    std::vector<TargetStateReport> result;
    for (const auto &instance : std::exchange(pending, {})) {
        const auto tracked = m_tracked.find(instance);
        if (tracked == m_tracked.end() || now - tracked->second.observedAt > MaxAge)
            continue;
        result.push_back(tracked->second.report);
        result.back().age = now - tracked->second.observedAt;
    }
    return result;
}

std::vector<TargetStateReport> TargetStateRelay::takeForControl(Instant now)
{
    return takePending(m_forControl, now);
}

std::vector<TargetStateReport> TargetStateRelay::takeForEntry(Instant now)
{
    return takePending(m_forEntry, now);
}

} // namespace ggv
