#include <ggv/coordination/entry/entry_view.hpp>

namespace ggv {

namespace {

//! Round trip within a region, where the register states no delay.
constexpr Duration RegionRoundTrip = std::chrono::milliseconds(1);

} // namespace

Proximity proximityOf(const Register &content, const FailureDomainName &domain,
                      const FailureDomainName &other) noexcept
{
    if (domain == other)
        return Proximity::SameDomain;
    const auto *ownRegion = content.regionOf(domain);
    const auto *otherRegion = content.regionOf(other);
    const bool sameRegion
        = ownRegion != nullptr && otherRegion != nullptr && *ownRegion == *otherRegion;
    return sameRegion ? Proximity::SameRegion : Proximity::OtherRegion;
}

Duration roundTripTo(const Register &content, const FailureDomainName &domain,
                     const FailureDomainName &other) noexcept
{
    const Proximity proximity = proximityOf(content, domain, other);
    if (proximity == Proximity::SameDomain)
        return Duration(0);
    if (proximity == Proximity::SameRegion)
        return RegionRoundTrip;
    const auto *ownRegion = content.regionOf(domain);
    const auto *otherRegion = content.regionOf(other);
    if (ownRegion == nullptr || otherRegion == nullptr)
        return RegionRoundTrip;
    const auto *link = content.link(*ownRegion, *otherRegion);
    return link == nullptr ? RegionRoundTrip : 2 * link->oneWayDelay;
}

EntryView::EntryView(std::shared_ptr<const Register> content, const FailureDomainName &domain,
                     const StateSource &states)
    : m_content(std::move(content))
{
    for (const auto &service : m_content->content().services) {
        ServiceRoute route { &service, states.service(service), {} };
        for (const auto *target : m_content->targetsOf(service.name)) {
            route.targets.push_back({ target, states.target(*target),
                                      proximityOf(*m_content, domain, target->domain),
                                      roundTripTo(*m_content, domain, target->domain) });
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
