#include <ggv/coordination/fleet/target_state_relay.hpp>

#include <ggv/protocol/codec/target_report_codec.hpp>

#include <utility>

namespace ggv {

bool TargetStateRelay::add(const TargetStateReport &report, Instant now)
{
    // Starts of targets travel with the list.
    if (report.age > MaxAge || isTargetStarts(report))
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
    std::set<std::string> selected = selectForEntry();
    for (const auto &it : selected)
        m_forEntry.erase(it);
    return takePending(selected, now);
}

bool TargetStateRelay::isDeparted(const std::string &instance) const
{
    const auto tracked = m_tracked.find(instance);
    return tracked != m_tracked.end() && tracked->second.report.departed;
}

bool TargetStateRelay::isLoadReport(const std::string &instance) const
{
    const auto tracked = m_tracked.find(instance);
    return tracked == m_tracked.end() || isLoadRecord(tracked->second.report);
}

std::set<std::string> TargetStateRelay::selectForEntry()
{
    std::set<std::string> selected;
    for (const auto &it : m_forEntry) {
        if (isDeparted(it))
            selected.insert(it);
    }
    selectInTurn(true, m_lastLoadReport, selected);
    selectInTurn(false, m_lastOtherReport, selected);
    return selected;
}

// Reports take turns by instance, so that none waits longer than one turn of all.
void TargetStateRelay::selectInTurn(bool isLoad, std::string &last,
                                    std::set<std::string> &selected) const
{
    auto next = m_forEntry.upper_bound(last);
    std::size_t added = 0;
    for (std::size_t n = 0; n < m_forEntry.size() && added < MaxLoadReports; ++n, ++next) {
        if (next == m_forEntry.end())
            next = m_forEntry.begin();
        if (isLoadReport(*next) != isLoad || !selected.insert(*next).second)
            continue;
        ++added;
        last = *next;
    }
}

} // namespace ggv
