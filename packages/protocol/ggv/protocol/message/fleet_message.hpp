#pragma once

#include <ggv/protocol/message/raft_message.hpp>
#include <ggv/state/core/ids.hpp>
#include <ggv/state/core/time.hpp>
#include <ggv/state/model/entities.hpp>
#include <ggv/state/routing/listed_target.hpp>
#include <ggv/state/routing/target_state_report.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace ggv {

//! What a host of the fleet does.
enum class HostRole : std::uint8_t {
    Entry, //!< Takes requests of callers.
    Control, //!< Has a disk, takes operators' orders, answers look-ups.
};

//! What a host says of itself.
struct HostAnnouncement
{
    HostName name;
    HostRole role = HostRole::Entry;
    Endpoint service; //!< Of an entry host for callers, of a control host for operators.
    Endpoint internal; //!< For other hosts; only of a control host.
    FailureDomainName domain;
    RegionName region;
    MemberId member = 0; //!< Identity in the quorum; 0: none.
    bool ready = false; //!< Takes new work.

    [[nodiscard]] auto operator<=>(const HostAnnouncement &) const = default;
};

//! A host and when it was heard last.
struct HostSighting
{
    HostAnnouncement host;
    Duration age { 0 }; //!< Time since the host itself was heard.

    [[nodiscard]] auto operator<=>(const HostSighting &) const = default;
};

//! First message on a connection, and later the sender's regular report.
struct HostReport
{
    HostAnnouncement host;
    std::uint64_t revision = 0; //!< Of the fleet's state that the sender has in force.
    std::uint64_t listDigest = 0; //!< Of the list of targets that the sender has.

    [[nodiscard]] auto operator<=>(const HostReport &) const = default;
};

//! Hosts that a control host hears itself, for other control hosts.
struct SightingReport
{
    std::vector<HostSighting> hosts;

    [[nodiscard]] auto operator<=>(const SightingReport &) const = default;
};

//! A consensus message between control hosts.
struct QuorumEnvelope
{
    RaftMessage message;

    [[nodiscard]] auto operator<=>(const QuorumEnvelope &) const = default;
};

//! What makes a list of targets out of an earlier one.
struct TargetListDelta
{
    std::uint64_t base = 0; //!< Digest of the earlier list.
    std::vector<std::uint32_t> removed; //!< Positions in the earlier list, rising.
    std::vector<ListedTarget> added;

    [[nodiscard]] auto operator<=>(const TargetListDelta &) const = default;
};

//! A reading of the platform's list of targets; without content if the receiver has this digest.
struct TargetListReport
{
    std::uint64_t digest = 0;
    Duration age { 0 }; //!< Time since it was read.
    std::optional<std::vector<ListedTarget>> targets; //!< All of them.
    std::optional<TargetListDelta> delta; //!< Instead of all, if the receiver has its base.

    [[nodiscard]] auto operator<=>(const TargetListReport &) const = default;
};

//! What entry hosts saw of targets since the sender's last message.
struct TargetStateReports
{
    std::vector<TargetStateReport> targets;

    [[nodiscard]] auto operator<=>(const TargetStateReports &) const = default;
};

//! What an entry host has to know, from its control host.
struct FleetFeed
{
    bool current = false; //!< The control host follows a leader that a majority confirms.
    std::uint64_t revision = 0; //!< Position of the newest accepted change.
    std::optional<Bytes> configuration; //!< Operators' document; absent if the receiver has it.
    std::vector<FailureDomainName> evacuated; //!< Their targets get no requests.
    std::uint32_t entryHosts = 1; //!< That were heard lately, so that some may be cut off.
    std::vector<HostAnnouncement> controlHosts; //!< That are alive.

    [[nodiscard]] auto operator<=>(const FleetFeed &) const = default;
};

using FleetMessage = std::variant<HostReport, SightingReport, QuorumEnvelope, TargetListReport,
                                  FleetFeed, TargetStateReports>;

//! Replaces the operators' configuration.
struct ChangeConfiguration
{
    std::uint64_t version = 0;
    std::uint64_t baseVersion = 0; //!< The version that it builds on.
    std::uint64_t digest = 0; //!< Of base, version and document: recognises a resent change.
    Bytes document;

    [[nodiscard]] auto operator<=>(const ChangeConfiguration &) const = default;
};

//! Takes the targets of a failure domain out of service, or back.
struct SetEvacuation
{
    FailureDomainName domain;
    bool evacuated = false;

    [[nodiscard]] auto operator<=>(const SetEvacuation &) const = default;
};

//! Makes the address of a quorum member known to all members, also after they restart.
struct RegisterMember
{
    MemberId member = 0;
    Endpoint internal;

    [[nodiscard]] auto operator<=>(const RegisterMember &) const = default;
};

using FleetCommand = std::variant<ChangeConfiguration, SetEvacuation, RegisterMember>;

//! Answer to a FleetCommand.
struct FleetCommandAnswer
{
    ResultCode code = ResultCode::Ok; //!< Ok, VersionConflict.
    std::uint64_t currentVersion = 0;

    [[nodiscard]] auto operator<=>(const FleetCommandAnswer &) const = default;
};

//! Recognises a configuration that was accepted before.
struct AcceptedVersion
{
    std::uint64_t version = 0;
    std::uint64_t digest = 0;

    [[nodiscard]] auto operator<=>(const AcceptedVersion &) const = default;
};

//! Everything that the control hosts replicate.
struct FleetState
{
    std::uint64_t revision = 0; //!< Log position of the newest change that entry hosts must know.
    std::uint64_t version = 0; //!< Of the configuration; 0: none yet.
    Bytes configuration;
    std::vector<AcceptedVersion> accepted; //!< Oldest first.
    std::vector<FailureDomainName> evacuated;
    std::vector<RegisterMember> members;

    [[nodiscard]] auto operator<=>(const FleetState &) const = default;
};

} // namespace ggv
