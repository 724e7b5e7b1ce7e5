#include <ggv/coordination/entry/entry_view.hpp>

namespace ggv {

namespace {

//! Round trip within a region, where the register states no delay.
constexpr Duration RegionRoundTrip = std::chrono::milliseconds(1);

TargetRoute routeTo(const Register &content, const FailureDomainName &domain, const Target &target)
{
    TargetRoute route;
    route.target = &target;
    if (target.domain == domain)
        return route;
    const auto *own = content.regionOf(domain);
    const auto *other = content.regionOf(target.domain);
    route.proximity = Proximity::SameRegion;
    route.roundTrip = RegionRoundTrip;
    if (own == nullptr || other == nullptr || *own == *other)
        return route;
    route.proximity = Proximity::OtherRegion;
    if (const auto *link = content.link(*own, *other))
        route.roundTrip = 2 * link->oneWayDelay;
    return route;
}

} // namespace

EntryView::EntryView(std::shared_ptr<const Register> content, const FailureDomainName &domain,
                     const StateSource &states)
    : m_content(std::move(content))
{
    for (const auto &service : m_content->content().services) {
        ServiceRoute route { &service, {} };
        for (const auto *target : m_content->targetsOf(service.name)) {
            route.targets.push_back(routeTo(*m_content, domain, *target));
            route.targets.back().state = states(*target);
        }
        m_services.emplace(service.name.text(), std::move(route));
    }
}

const ServiceRoute *EntryView::service(const std::string &name) const noexcept
{
    const auto it = m_services.find(name);
    return it == m_services.end() ? nullptr : &it->second;
}

} // namespace ggv
