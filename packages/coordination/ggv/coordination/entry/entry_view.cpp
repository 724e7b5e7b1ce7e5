#include <ggv/coordination/entry/entry_view.hpp>

#include <ggv/state/budget/budget_keys.hpp>

namespace ggv {

namespace {

//! Assumed round-trip time within a region, for which the register has no delay.
constexpr Duration RegionRoundTrip = std::chrono::milliseconds(1);

constexpr std::uint64_t BitsPerByte = 8;
constexpr std::uint64_t BitsPerKilobit = 1000;

// Returns std::nullopt for a target in the host's own region or in a region without a link to it.
std::optional<RegionPath> pathTo(const Register &content, const FailureDomainName &domain,
                                 const Target &target, const EntryView::SharedStateProvider &states)
{
    const auto *from = content.regionOf(domain);
    const auto *to = content.regionOf(target.domain);
    if (from == nullptr || to == nullptr || content.link(*from, *to) == nullptr)
        return std::nullopt;
    RegionPath path;
    if (content.shiftCap(target.service, *from, *to) != nullptr)
        path.shift = states.rateLimiter(shiftRateKey(target.service, *from, *to));
    path.outboundLink = states.rateLimiter(linkRateKey(*from, *to));
    path.inboundLink = states.rateLimiter(linkRateKey(*to, *from));
    const auto bytes = content.service(target.service)->typicalExchangeBytes;
    path.typicalKilobits = bytes * BitsPerByte / BitsPerKilobit + 1;
    return path;
}

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
                     const SharedStateProvider &states)
    : m_content(std::move(content))
{
    for (const auto &service : m_content->content().services) {
        ServiceRoute route { &service, states.service(service), {} };
        for (const auto *target : m_content->targetsOf(service.name)) {
            route.targets.push_back({ target, states.target(*target),
                                      proximityOf(*m_content, domain, target->domain),
                                      roundTripTo(*m_content, domain, target->domain),
                                      pathTo(*m_content, domain, *target, states) });
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
