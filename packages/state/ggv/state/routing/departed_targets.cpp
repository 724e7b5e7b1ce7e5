#include <ggv/state/routing/departed_targets.hpp>

#include <algorithm>

namespace ggv {

void DepartedTargets::record(const ListedTarget &target, Instant now)
{
    const bool isKnown = contains(target);
    auto &departure = m_departures[target.instance];
    const UnixMillis known = isKnown ? departure.startedAt : 0;
    departure = { target.endpoint, std::max(target.startedAt, known), now };
}

void DepartedTargets::forget(const std::string &instance) { m_departures.erase(instance); }

void DepartedTargets::update(const TargetList &list, Instant now)
{
    for (auto &[instance, departure] : m_departures) {
        if (m_listed.contains(instance))
            departure.seenAt = now;
    }
    std::erase_if(m_departures,
                  [now](const auto &it) { return now - it.second.seenAt >= ForgetAfter; });
    m_listed.clear();
    for (const auto &it : list.targets) {
        m_listed.insert(it.instance);
        if (it.leaving)
            record(it, now);
    }
}

bool DepartedTargets::contains(const ListedTarget &target) const
{
    const auto it = m_departures.find(target.instance);
    return it != m_departures.end() && it->second.endpoint == target.endpoint
        && !isLaterStart(target.startedAt, it->second.startedAt);
}

} // namespace ggv
