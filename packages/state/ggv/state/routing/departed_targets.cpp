#include <ggv/state/routing/departed_targets.hpp>

namespace ggv {

void DepartedTargets::record(const ListedTarget &target, Instant now)
{
    m_departures[target.instance] = { target.endpoint, now };
}

void DepartedTargets::update(const TargetList &list, Instant now)
{
    for (const auto &it : list.targets) {
        if (it.leaving || contains(it))
            record(it, now);
    }
    std::erase_if(m_departures,
                  [now](const auto &it) { return now - it.second.listedAt >= ForgetAfter; });
}

bool DepartedTargets::contains(const ListedTarget &target) const
{
    const auto it = m_departures.find(target.instance);
    return it != m_departures.end() && it->second.endpoint == target.endpoint;
}

} // namespace ggv
