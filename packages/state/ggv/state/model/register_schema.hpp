#pragma once

#include <ggv/state/model/entities.hpp>

#include <string_view>
#include <tuple>

//! Maps keys of a register file to members of the entities; shared by parser and writer.
namespace ggv::detail {

enum class Presence : std::uint8_t { Required, Optional };

//! Maps a key to a member.
template <typename Entity, typename Value>
struct Field
{
    std::string_view key;
    Value Entity::*member;
    Presence presence;
};

//! Maps a key with a duration in milliseconds to a member.
template <typename Entity>
struct MillisecondsField
{
    std::string_view key;
    Duration Entity::*member;
    Presence presence;
};

//! Maps a key with a date and time with offset to a member.
template <typename Entity>
struct InstantField
{
    std::string_view key;
    UnixMillis Entity::*member;
    Presence presence;
};

//! Maps a key with an array of two regions to the ends of a link.
struct RegionPairField
{
    std::string_view key;
};

//! Maps one of three keys, which determines the scope, to the name of a drained entity.
struct DrainSubjectField
{ };

template <typename Entity, typename Value>
constexpr auto required(std::string_view key, Value Entity::*member)
{
    return Field<Entity, Value> { key, member, Presence::Required };
}

template <typename Entity, typename Value>
constexpr auto optional(std::string_view key, Value Entity::*member)
{
    return Field<Entity, Value> { key, member, Presence::Optional };
}

template <typename Entity>
struct Schema;

template <>
struct Schema<Region>
{
    static constexpr auto Fields = std::tuple(required("name", &Region::name));
};

template <>
struct Schema<FailureDomain>
{
    static constexpr auto Fields = std::tuple(required("name", &FailureDomain::name),
                                              required("region", &FailureDomain::region));
};

template <>
struct Schema<EntryHost>
{
    static constexpr auto Fields = std::tuple(
        required("name", &EntryHost::name), required("domain", &EntryHost::domain),
        required("callers", &EntryHost::callers), required("operators", &EntryHost::operators),
        required("internal", &EntryHost::internal), optional("disk", &EntryHost::hasDisk),
        optional("incarnation", &EntryHost::incarnation), optional("leaving", &EntryHost::leaving));
};

template <>
struct Schema<ClaimGroup>
{
    static constexpr auto Fields
        = std::tuple(required("name", &ClaimGroup::name), required("voters", &ClaimGroup::voters));
};

template <>
struct Schema<NonIdempotentRoute>
{
    static constexpr auto Fields
        = std::tuple(required("method", &NonIdempotentRoute::method),
                     required("path_prefix", &NonIdempotentRoute::pathPrefix));
};

template <>
struct Schema<Service>
{
    static constexpr auto Fields = std::tuple(
        required("name", &Service::name), optional("claim_group", &Service::claimGroup),
        MillisecondsField<Service> { "default_deadline_ms", &Service::defaultDeadline,
                                     Presence::Optional },
        optional("max_body_bytes", &Service::maxBodyBytes),
        optional("typical_exchange_bytes", &Service::typicalExchangeBytes),
        optional("probe_path", &Service::probePath),
        optional("non_idempotent", &Service::nonIdempotent));
};

template <>
struct Schema<Target>
{
    static constexpr auto Fields = std::tuple(
        required("name", &Target::name), required("service", &Target::service),
        required("domain", &Target::domain), required("endpoint", &Target::endpoint),
        optional("slots", &Target::slots), optional("connections", &Target::connections),
        optional("leaving", &Target::leaving));
};

template <>
struct Schema<Link>
{
    static constexpr auto Fields = std::tuple(
        RegionPairField { "between" }, required("mbit_per_second", &Link::megabitsPerSecond),
        MillisecondsField<Link> { "one_way_delay_ms", &Link::oneWayDelay, Presence::Required });
};

template <>
struct Schema<ClientBlock>
{
    static constexpr auto Fields = std::tuple(required("prefix", &ClientBlock::prefix),
                                              required("nearest", &ClientBlock::nearest));
};

template <>
struct Schema<ShiftCap>
{
    static constexpr auto Fields
        = std::tuple(required("service", &ShiftCap::service), required("from", &ShiftCap::from),
                     required("to", &ShiftCap::to),
                     required("requests_per_second", &ShiftCap::requestsPerSecond));
};

template <>
struct Schema<Drain>
{
    static constexpr auto Fields
        = std::tuple(DrainSubjectField {},
                     InstantField<Drain> { "starts_at", &Drain::startsAt, Presence::Required },
                     InstantField<Drain> { "empty_at", &Drain::emptyAt, Presence::Required });
};

} // namespace ggv::detail
