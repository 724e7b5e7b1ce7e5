#pragma once

#include <ggv/state/core/time.hpp>
#include <ggv/state/routing/listed_target.hpp>

#include <map>
#include <string>

namespace ggv {

/**
 * @brief Remembers which targets are leaving, also while the platform's list omits them.
 *
 * A list that is read again, or an entry that was unreadable once, may show a leaving target as
 * ready. The statement holds until the instance is listed at another address or has been missing
 * from the list for ForgetAfter, because an identity is reused only by a later run of the target.
 */
class DepartedTargets
{
public:
    //! Time without a listing after which an instance is forgotten.
    static constexpr Duration ForgetAfter = std::chrono::seconds(10);

    //! Records that a target is leaving.
    void record(const ListedTarget &target, Instant now);
    //! Records the leaving targets of a list and forgets instances that are no longer listed.
    void update(const TargetList &list, Instant now);
    //! @return True if the target is known to be leaving.
    [[nodiscard]] bool contains(const ListedTarget &target) const;

private:
    struct Departure
    {
        Endpoint endpoint;
        Instant listedAt; //!< Last time at which the target was listed or said that it leaves.
    };

    std::map<std::string, Departure> m_departures; //!< By instance.
};

} // namespace ggv
