#pragma once

#include <ggv/protocol/codec/detail/raft_fields.hpp>
#include <ggv/protocol/codec/detail/register_fields.hpp>
#include <ggv/protocol/message/fleet_message.hpp>

namespace ggv::detail {

template <>
struct Fields<ListedTarget>
{
    static constexpr auto List
        = std::tuple(&ListedTarget::instance, &ListedTarget::service, &ListedTarget::endpoint,
                     &ListedTarget::domain, &ListedTarget::slots, &ListedTarget::leaving,
                     &ListedTarget::coldDuration);
};

template <>
struct Fields<HostAnnouncement>
{
    static constexpr auto List = std::tuple(
        &HostAnnouncement::name, &HostAnnouncement::role, &HostAnnouncement::service,
        &HostAnnouncement::internal, &HostAnnouncement::domain, &HostAnnouncement::region,
        &HostAnnouncement::member, &HostAnnouncement::ready, &HostAnnouncement::reachesTargets);
};

template <>
struct Fields<HostObservation>
{
    static constexpr auto List = std::tuple(&HostObservation::host, &HostObservation::age);
};

template <>
struct Fields<HostReport>
{
    static constexpr auto List
        = std::tuple(&HostReport::host, &HostReport::revision, &HostReport::listDigest,
                     &HostReport::version, &HostReport::sentAt);
};

template <>
struct Fields<HostObservationReport>
{
    static constexpr auto List = std::tuple(&HostObservationReport::hosts);
};

template <>
struct Fields<QuorumEnvelope>
{
    static constexpr auto List = std::tuple(&QuorumEnvelope::message);
};

template <>
struct Fields<TargetListDelta>
{
    static constexpr auto List
        = std::tuple(&TargetListDelta::base, &TargetListDelta::removed, &TargetListDelta::added);
};

template <>
struct Fields<TargetListReport>
{
    static constexpr auto List = std::tuple(&TargetListReport::digest, &TargetListReport::age,
                                            &TargetListReport::targets, &TargetListReport::delta);
};

template <>
struct Fields<TargetStateReport>
{
    static constexpr auto List = std::tuple(&TargetStateReport::instance, &TargetStateReport::load,
                                            &TargetStateReport::departed, &TargetStateReport::age);
};

template <>
struct Fields<TargetStateReports>
{
    static constexpr auto List = std::tuple(&TargetStateReports::targets);
};

template <>
struct Fields<FleetFeed>
{
    static constexpr auto List
        = std::tuple(&FleetFeed::current, &FleetFeed::revision, &FleetFeed::version,
                     &FleetFeed::reportSentAt, &FleetFeed::evacuated, &FleetFeed::entryHosts,
                     &FleetFeed::controlHosts, &FleetFeed::forwardingPeers);
};

template <>
struct Fields<DocumentUpdate>
{
    static constexpr auto List = std::tuple(&DocumentUpdate::version, &DocumentUpdate::baseVersion,
                                            &DocumentUpdate::digest, &DocumentUpdate::content);
};

template <>
struct Fields<ChangeConfiguration>
{
    static constexpr auto List
        = std::tuple(&ChangeConfiguration::version, &ChangeConfiguration::baseVersion,
                     &ChangeConfiguration::digest, &ChangeConfiguration::document);
};

template <>
struct Fields<SetEvacuation>
{
    static constexpr auto List = std::tuple(&SetEvacuation::domain, &SetEvacuation::evacuated);
};

template <>
struct Fields<RegisterMember>
{
    static constexpr auto List = std::tuple(&RegisterMember::member, &RegisterMember::internal);
};

template <>
struct Fields<FleetCommandAnswer>
{
    static constexpr auto List
        = std::tuple(&FleetCommandAnswer::code, &FleetCommandAnswer::currentVersion);
};

template <>
struct Fields<AcceptedVersion>
{
    static constexpr auto List = std::tuple(&AcceptedVersion::version, &AcceptedVersion::digest);
};

template <>
struct Fields<FleetState>
{
    static constexpr auto List
        = std::tuple(&FleetState::revision, &FleetState::version, &FleetState::configuration,
                     &FleetState::accepted, &FleetState::evacuated, &FleetState::members);
};

} // namespace ggv::detail
