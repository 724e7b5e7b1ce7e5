#pragma once

#include <ggv/protocol/message/fleet_message.hpp>

#include <map>
#include <optional>
#include <vector>

namespace ggv {

/**
 * @brief Tracks which hosts of the fleet are alive, from their own reports and from observations
 * relayed by control hosts.
 *
 * Does no I/O; callers supply the time. Of two observations of a host the later one takes effect.
 * What other hosts relay finds hosts and entry hosts for look-ups; it is no evidence of contact.
 */
class FleetDirectory
{
public:
    //! A host counts as alive for this long after it was last seen.
    static constexpr Duration LivenessTimeout = std::chrono::milliseconds(1500);
    //! A host is removed this long after it was last seen.
    static constexpr Duration RetentionTime = std::chrono::seconds(60);

    //! A relayed observation of an unchanged host takes effect if it is later by more than this.
    //! The delay of the link is not part of its age: without this minimum, each exchange between
    //! control hosts would make a lost host appear to have been seen later.
    static constexpr Duration MinRelayedGain = std::chrono::milliseconds(250);

    //! Records a report of the host itself. @param sentAt Earliest time at which it was sent.
    //! @return True if the host is new or its announcement has changed.
    bool observeReport(const HostAnnouncement &host, Instant sentAt);
    //! Records what another host observed. @param sentAt Earliest time at which that was sent.
    //! @return True if the host is new or its announcement has changed.
    bool observeRelayed(const HostObservation &observation, Instant sentAt);
    //! @return Live hosts with the given role, ordered by name.
    [[nodiscard]] std::vector<HostAnnouncement> alive(HostRole role, Instant now) const;
    //! @return All retained hosts with the given role, alive or not, ordered by name.
    [[nodiscard]] std::vector<HostAnnouncement> known(HostRole role) const;
    //! @return All retained hosts with the time since they were last seen by any host.
    [[nodiscard]] std::vector<HostObservation> observations(Instant now) const;
    //! @return Retained hosts that reported to this host itself, with the time since then.
    [[nodiscard]] std::vector<HostObservation> reportingHosts(Instant now) const;
    //! @return The retained host with that member id, or std::nullopt.
    [[nodiscard]] std::optional<HostObservation> findMember(MemberId member, Instant now) const;
    //! Removes hosts that were not seen for RetentionTime.
    void expire(Instant now);

private:
    //! An announcement and the last time at which its host was seen.
    struct TimedAnnouncement
    {
        HostAnnouncement host;
        Instant seenAt {};
    };

    struct Entry
    {
        TimedAnnouncement latest;
        std::optional<TimedAnnouncement> report; //!< The host's own latest report.
    };

    static bool update(TimedAnnouncement &latest, const TimedAnnouncement &seen, Duration minGain);

    std::map<HostName, Entry> m_hosts;
};

} // namespace ggv
