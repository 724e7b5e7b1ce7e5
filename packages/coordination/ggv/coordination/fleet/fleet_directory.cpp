#include <ggv/coordination/fleet/fleet_directory.hpp>

namespace ggv {

bool FleetDirectory::observe(const HostObservation &observation, Instant now)
{
    const Instant lastSeenAt = now - observation.age;
    const auto [it, isNew]
        = m_hosts.try_emplace(observation.host.name, Entry { observation.host, lastSeenAt });
    if (isNew)
        return true;
    auto &entry = it->second;
    const bool isRelayed = observation.age > Duration(0);
    const bool isChanged = entry.host != observation.host;
    const Duration minGain = isRelayed && !isChanged ? MinRelayedGain : Duration(0);
    if (lastSeenAt < entry.lastSeenAt + minGain)
        return false;
    entry.lastSeenAt = lastSeenAt;
    entry.host = observation.host;
    return isChanged;
}

std::vector<HostAnnouncement> FleetDirectory::alive(HostRole role, Instant now) const
{
    std::vector<HostAnnouncement> hosts;
    for (const auto &[name, entry] : m_hosts) {
        if (entry.host.role == role && now - entry.lastSeenAt < LivenessTimeout)
            hosts.push_back(entry.host);
    }
    return hosts;
}

std::vector<HostAnnouncement> FleetDirectory::known(HostRole role) const
{
    std::vector<HostAnnouncement> hosts;
    for (const auto &[name, entry] : m_hosts) {
        if (entry.host.role == role)
            hosts.push_back(entry.host);
    }
    return hosts;
}

std::vector<HostObservation> FleetDirectory::observations(Instant now) const
{
    std::vector<HostObservation> observations;
    for (const auto &[name, entry] : m_hosts)
        observations.push_back({ entry.host, now - entry.lastSeenAt });
    return observations;
}

std::optional<HostObservation> FleetDirectory::findMember(MemberId member, Instant now) const
{
    for (const auto &[name, entry] : m_hosts) {
        if (entry.host.member == member)
            return HostObservation { entry.host, now - entry.lastSeenAt };
    }
    return std::nullopt;
}

void FleetDirectory::expire(Instant now)
{
    std::erase_if(m_hosts,
                  [now](const auto &it) { return now - it.second.lastSeenAt > RetentionTime; });
}

} // namespace ggv
