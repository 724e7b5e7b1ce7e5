#pragma once

#include <ggv/protocol/codec/detail/pack.hpp>
#include <ggv/state/model/register.hpp>
#include <ggv/state/model/register_delta.hpp>

namespace ggv::detail {

template <>
struct Fields<Endpoint>
{
    static constexpr auto List = std::tuple(&Endpoint::address, &Endpoint::port);
};

template <>
struct Fields<Region>
{
    static constexpr auto List = std::tuple(&Region::name);
};

template <>
struct Fields<FailureDomain>
{
    static constexpr auto List = std::tuple(&FailureDomain::name, &FailureDomain::region);
};

template <>
struct Fields<EntryHost>
{
    static constexpr auto List = std::tuple(
        &EntryHost::name, &EntryHost::domain, &EntryHost::callers, &EntryHost::operators,
        &EntryHost::internal, &EntryHost::hasDisk, &EntryHost::incarnation, &EntryHost::leaving);
};

template <>
struct Fields<NonIdempotentRoute>
{
    static constexpr auto List
        = std::tuple(&NonIdempotentRoute::method, &NonIdempotentRoute::pathPrefix);
};

template <>
struct Fields<Service>
{
    static constexpr auto List = std::tuple(
        &Service::name, &Service::nonIdempotent, &Service::claimGroup, &Service::defaultDeadline,
        &Service::maxBodyBytes, &Service::typicalExchangeBytes, &Service::probePath);
};

template <>
struct Fields<Target>
{
    static constexpr auto List
        = std::tuple(&Target::name, &Target::service, &Target::domain, &Target::endpoint,
                     &Target::slots, &Target::connections, &Target::leaving);
};

template <>
struct Fields<Link>
{
    static constexpr auto List
        = std::tuple(&Link::first, &Link::second, &Link::megabitsPerSecond, &Link::oneWayDelay);
};

template <>
struct Fields<ClientBlock>
{
    static constexpr auto List = std::tuple(&ClientBlock::prefix, &ClientBlock::nearest);
};

template <>
struct Fields<ShiftCap>
{
    static constexpr auto List = std::tuple(&ShiftCap::service, &ShiftCap::from, &ShiftCap::to,
                                            &ShiftCap::requestsPerSecond);
};

template <>
struct Fields<Drain>
{
    static constexpr auto List
        = std::tuple(&Drain::scope, &Drain::name, &Drain::startsAt, &Drain::emptyAt);
};

template <>
struct Fields<ClaimGroup>
{
    static constexpr auto List = std::tuple(&ClaimGroup::name, &ClaimGroup::voters);
};

template <>
struct Fields<RegisterContent>
{
    static constexpr auto List = std::tuple(
        &RegisterContent::regions, &RegisterContent::domains, &RegisterContent::hosts,
        &RegisterContent::controlVoters, &RegisterContent::claimGroups, &RegisterContent::services,
        &RegisterContent::targets, &RegisterContent::links, &RegisterContent::clientBlocks,
        &RegisterContent::shiftCaps, &RegisterContent::drains, &RegisterContent::platformListUrl);
};

template <>
struct Fields<RegisterDelta>
{
    static constexpr auto List
        = std::tuple(&RegisterDelta::from, &RegisterDelta::to, &RegisterDelta::regions,
                     &RegisterDelta::domains, &RegisterDelta::hosts, &RegisterDelta::controlVoters,
                     &RegisterDelta::claimGroups, &RegisterDelta::services, &RegisterDelta::targets,
                     &RegisterDelta::links, &RegisterDelta::clientBlocks, &RegisterDelta::shiftCaps,
                     &RegisterDelta::drains, &RegisterDelta::platformListUrl);
};

template <typename Entity>
struct Fields<EntityDelta<Entity>>
{
    static constexpr auto List
        = std::tuple(&EntityDelta<Entity>::put, &EntityDelta<Entity>::remove);
};

} // namespace ggv::detail
