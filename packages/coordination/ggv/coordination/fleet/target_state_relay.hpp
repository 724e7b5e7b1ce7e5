#pragma once

#include <ggv/state/routing/target_state_report.hpp>

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace ggv {

/**
 * @brief What entry hosts saw of targets, on its way through a control host.
 *
 * Each sighting goes to each other host once, unless a newer one of the same target overtakes it.
 */
class TargetStateRelay
{
public:
    //! Older sightings are not passed on.
    static constexpr Duration MaxAge = std::chrono::seconds(2);
    //! Targets that are remembered at most; sightings of others are left out.
    static constexpr std::size_t MaxTargets = 8192;

    //! Takes in sightings of an own entry host, for all hosts.
    void addFromEntry(const std::vector<TargetStateReport> &sightings, Instant now);
    //! Takes in sightings that another control host passed on, for own entry hosts.
    void addFromControl(const std::vector<TargetStateReport> &sightings, Instant now);
    //! @return What other control hosts have not been sent yet.
    [[nodiscard]] std::vector<TargetStateReport> takeForControl(Instant now);
    //! @return What own entry hosts have not been sent yet.
    [[nodiscard]] std::vector<TargetStateReport> takeForEntry(Instant now);

private:
    struct Seen
    {
        TargetStateReport sighting;
        Instant at;
    };

    [[nodiscard]] bool add(const TargetStateReport &sighting, Instant now);
    [[nodiscard]] std::vector<TargetStateReport> take(std::set<std::string> &pending, Instant now);
    void expire(Instant now);

    std::map<std::string, Seen> m_seen; //!< By instance.
    std::set<std::string> m_forControl;
    std::set<std::string> m_forEntry;
};

} // namespace ggv
