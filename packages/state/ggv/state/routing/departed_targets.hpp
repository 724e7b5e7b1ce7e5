#pragma once

#include <ggv/state/core/time.hpp>
#include <ggv/state/routing/listed_target.hpp>

#include <map>
#include <set>
#include <string>

namespace ggv {

/**
 * @brief Remembers which targets are leaving, also while the platform's list omits them.
 *
 * A list that is read again, or an entry that was unreadable once, may show a leaving target as
 * ready. The statement holds for one start of the target: until the instance is listed with a later
 * start or at another address, has been missing from the list for ForgetAfter, or was found working
 * afterwards.
 */
class DepartedTargets
{
public:
    //! Time without a listing after which an instance is forgotten.
    static constexpr Duration ForgetAfter = std::chrono::seconds(10);

    //! Records that a target is leaving. A later start than the recorded one replaces it; an
    //! unknown start counts as the recorded one.
    void record(const ListedTarget &target, Instant now);
    //! Forgets that a target is leaving, as it is known to work.
    void forget(const std::string &instance);
    //! Records the leaving targets of a list and forgets instances that were missing for too long.
    //! The list holds until the next call.
    void update(const TargetList &list, Instant now);
    //! @return True if the target is known to be leaving.
    [[nodiscard]] bool contains(const ListedTarget &target) const;

private:
    struct Departure
    {
        Endpoint endpoint;
        UnixMillis startedAt = 0; //!< Start of the target; 0 if unknown.
        Instant seenAt; //!< Last time at which the target was listed or said that it leaves.
    };

    std::map<std::string, Departure> m_departures; //!< By instance.
    std::set<std::string> m_listed; //!< Instances of the present list.
};

} // namespace ggv
