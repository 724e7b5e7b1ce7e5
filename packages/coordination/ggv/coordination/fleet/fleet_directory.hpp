#pragma once

#include <ggv/protocol/message/fleet_message.hpp>

#include <map>
#include <optional>
#include <vector>

namespace ggv {

/**
 * @brief Which hosts of the fleet are alive, from their own reports and those of other hosts.
 *
 * Pure; explicit instants. Of two sightings of a host the later one counts.
 */
class FleetDirectory
{
public:
    //! A host counts as alive for this long after it was heard.
    static constexpr Duration LivenessTimeout = std::chrono::milliseconds(1500);
    //! A host is forgotten after this long.
    static constexpr Duration RetentionTime = std::chrono::seconds(60);

    //! Takes in a sighting. @return True if the host is new, or changed its announcement.
    bool observe(const HostSighting &sighting, Instant now);
    //! @return Hosts of a role that are alive, by name.
    [[nodiscard]] std::vector<HostAnnouncement> alive(HostRole role, Instant now) const;
    //! @return Hosts of a role that are not forgotten, alive or not, by name.
    [[nodiscard]] std::vector<HostAnnouncement> known(HostRole role) const;
    //! @return All hosts that are not forgotten, with the time since they were heard.
    [[nodiscard]] std::vector<HostSighting> sightings(Instant now) const;
    //! @return The host with that quorum identity, if it was heard.
    [[nodiscard]] std::optional<HostSighting> findMember(MemberId member, Instant now) const;
    //! Drops hosts that were not heard for RetentionTime.
    void expire(Instant now);

private:
    struct Entry
    {
        HostAnnouncement host;
        Instant lastSeenAt {};
    };

    std::map<HostName, Entry> m_hosts;
};

} // namespace ggv
