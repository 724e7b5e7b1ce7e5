#include <ggv/coordination/fleet/fleet_directory.hpp>

#include <utility>

namespace ggv {

bool FleetDirectory::observeReport(const HostAnnouncement &host, Instant sentAt)
{
    const Sighting sighting { host, sentAt };
    const auto [it, isNew] = m_hosts.try_emplace(host.name, Entry { sighting, {} });
    auto &report = it->second.report;
    if (!report || sentAt >= report->at)
        report = sighting;
    return isNew || update(it->second.latest, sighting, Duration(0));
}

bool FleetDirectory::observeRelayed(const HostObservation &observation, Instant sentAt)
{
    const Sighting sighting { observation.host, sentAt - observation.age };
    const auto [it, isNew] = m_hosts.try_emplace(observation.host.name, Entry { sighting, {} });
    auto &latest = it->second.latest;
    const bool isChanged = latest.host != observation.host;
    return isNew || update(latest, sighting, isChanged ? Duration(0) : MinRelayedGain);
}

// Returns true if the announcement has changed.
bool FleetDirectory::update(Sighting &latest, const Sighting &sighting, Duration minGain)
{
    if (sighting.at < latest.at + minGain)
        return false;
    return std::exchange(latest, sighting).host != sighting.host;
}

std::vector<HostAnnouncement> FleetDirectory::alive(HostRole role, Instant now) const
{
    std::vector<HostAnnouncement> hosts;
    for (const auto &[name, entry] : m_hosts) {
        if (entry.latest.host.role == role && now - entry.latest.at < LivenessTimeout)
            hosts.push_back(entry.latest.host);
    }
    return hosts;
}

std::vector<HostAnnouncement> FleetDirectory::known(HostRole role) const
{
    std::vector<HostAnnouncement> hosts;
    for (const auto &[name, entry] : m_hosts) {
        if (entry.latest.host.role == role)
            hosts.push_back(entry.latest.host);
    }
    return hosts;
}

std::vector<HostObservation> FleetDirectory::observations(Instant now) const
{
    std::vector<HostObservation> observations;
    for (const auto &[name, entry] : m_hosts)
        observations.push_back({ entry.latest.host, now - entry.latest.at });
    return observations;
}

std::vector<HostObservation> FleetDirectory::reportingHosts(Instant now) const
{
    std::vector<HostObservation> hosts;
    for (const auto &[name, entry] : m_hosts) {
        if (entry.report)
            hosts.push_back({ entry.report->host, now - entry.report->at });
    }
    return hosts;
}

std::optional<HostObservation> FleetDirectory::findMember(MemberId member, Instant now) const
{
    for (const auto &[name, entry] : m_hosts) {
        if (entry.latest.host.member == member)
            return HostObservation { entry.latest.host, now - entry.latest.at };
    }
    return std::nullopt;
}

void FleetDirectory::expire(Instant now)
{
    std::erase_if(m_hosts,
                  [now](const auto &it) { return now - it.second.latest.at > RetentionTime; });
}

} // namespace ggv
