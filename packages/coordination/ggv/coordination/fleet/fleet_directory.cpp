#include <ggv/coordination/fleet/fleet_directory.hpp>

#include <utility>

namespace ggv {

bool FleetDirectory::observeReport(const HostAnnouncement &host, Instant sentAt)
{
    const TimedAnnouncement seen { host, sentAt };
    const auto [it, isNew] = m_hosts.try_emplace(host.name, Entry { seen, {} });
    auto &report = it->second.report;
    if (!report || sentAt >= report->seenAt)
        report = seen;
    return isNew || update(it->second.latest, seen, Duration(0));
}

bool FleetDirectory::observeRelayed(const HostObservation &observation, Instant sentAt)
{
    const TimedAnnouncement seen { observation.host, sentAt - observation.age };
    const auto [it, isNew] = m_hosts.try_emplace(observation.host.name, Entry { seen, {} });
    auto &latest = it->second.latest;
    const bool isChanged = latest.host != observation.host;
    return isNew || update(latest, seen, isChanged ? Duration(0) : MinRelayedGain);
}

// Returns true if the announcement has changed.
bool FleetDirectory::update(TimedAnnouncement &latest, const TimedAnnouncement &seen,
                            Duration minGain)
{
    if (seen.seenAt < latest.seenAt + minGain)
        return false;
    return std::exchange(latest, seen).host != seen.host;
}

std::vector<HostAnnouncement> FleetDirectory::alive(HostRole role, Instant now) const
{
    std::vector<HostAnnouncement> hosts;
    for (const auto &[name, entry] : m_hosts) {
        if (entry.latest.host.role == role && now - entry.latest.seenAt < LivenessTimeout)
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
        observations.push_back({ entry.latest.host, now - entry.latest.seenAt });
    return observations;
}

std::vector<HostObservation> FleetDirectory::reportingHosts(Instant now) const
{
    std::vector<HostObservation> hosts;
    for (const auto &[name, entry] : m_hosts) {
        if (entry.report)
            hosts.push_back({ entry.report->host, now - entry.report->seenAt });
    }
    return hosts;
}

std::optional<HostObservation> FleetDirectory::findMember(MemberId member, Instant now) const
{
    for (const auto &[name, entry] : m_hosts) {
        if (entry.latest.host.member == member)
            return HostObservation { entry.latest.host, now - entry.latest.seenAt };
    }
    return std::nullopt;
}

void FleetDirectory::expire(Instant now)
{
    std::erase_if(m_hosts,
                  [now](const auto &it) { return now - it.second.latest.seenAt > RetentionTime; });
}

} // namespace ggv
