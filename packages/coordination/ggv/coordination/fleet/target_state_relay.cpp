#include <ggv/coordination/fleet/target_state_relay.hpp>

#include <utility>

namespace ggv {

bool TargetStateRelay::add(const TargetStateReport &sighting, Instant now)
{
    if (sighting.age > MaxAge)
        return false;
    const Instant at = now - sighting.age;
    const auto known = m_seen.find(sighting.instance);
    if (known != m_seen.end() && known->second.at >= at)
        return false;
    if (known == m_seen.end() && m_seen.size() >= MaxTargets)
        return false;
    m_seen[sighting.instance] = { sighting, at };
    return true;
}

void TargetStateRelay::addFromEntry(const std::vector<TargetStateReport> &sightings, Instant now)
{
    expire(now);
    for (const auto &it : sightings) {
        if (!add(it, now))
            continue;
        m_forControl.insert(it.instance);
        m_forEntry.insert(it.instance);
    }
}

void TargetStateRelay::addFromControl(const std::vector<TargetStateReport> &sightings, Instant now)
{
    expire(now);
    for (const auto &it : sightings) {
        if (!add(it, now))
            continue;
        m_forControl.erase(it.instance);
        m_forEntry.insert(it.instance);
    }
}

void TargetStateRelay::expire(Instant now)
{
    std::erase_if(m_seen, [now](const auto &it) { return now - it.second.at > MaxAge; });
}

std::vector<TargetStateReport> TargetStateRelay::take(std::set<std::string> &pending, Instant now)
{
    std::vector<TargetStateReport> taken;
    for (const auto &instance : std::exchange(pending, {})) {
        const auto seen = m_seen.find(instance);
        if (seen == m_seen.end() || now - seen->second.at > MaxAge)
            continue;
        taken.push_back(seen->second.sighting);
        taken.back().age = now - seen->second.at;
    }
    return taken;
}

std::vector<TargetStateReport> TargetStateRelay::takeForControl(Instant now)
{
    return take(m_forControl, now);
}

std::vector<TargetStateReport> TargetStateRelay::takeForEntry(Instant now)
{
    return take(m_forEntry, now);
}

} // namespace ggv
