#include <ggv/coordination/fleet/sighting_relay.hpp>

#include <utility>

namespace ggv {

bool SightingRelay::add(const TargetSighting &sighting, Instant now)
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

void SightingRelay::addFromEntry(const std::vector<TargetSighting> &sightings, Instant now)
{
    expire(now);
    for (const auto &it : sightings) {
        if (!add(it, now))
            continue;
        m_forControl.insert(it.instance);
        m_forEntry.insert(it.instance);
    }
}

void SightingRelay::addFromControl(const std::vector<TargetSighting> &sightings, Instant now)
{
    expire(now);
    for (const auto &it : sightings) {
        if (!add(it, now))
            continue;
        m_forControl.erase(it.instance);
        m_forEntry.insert(it.instance);
    }
}

void SightingRelay::expire(Instant now)
{
    std::erase_if(m_seen, [now](const auto &it) { return now - it.second.at > MaxAge; });
}

std::vector<TargetSighting> SightingRelay::take(std::set<std::string> &pending, Instant now)
{
    std::vector<TargetSighting> taken;
    for (const auto &instance : std::exchange(pending, {})) {
        const auto seen = m_seen.find(instance);
        if (seen == m_seen.end() || now - seen->second.at > MaxAge)
            continue;
        taken.push_back(seen->second.sighting);
        taken.back().age = now - seen->second.at;
    }
    return taken;
}

std::vector<TargetSighting> SightingRelay::takeForControl(Instant now)
{
    return take(m_forControl, now);
}

std::vector<TargetSighting> SightingRelay::takeForEntry(Instant now)
{
    return take(m_forEntry, now);
}

} // namespace ggv
