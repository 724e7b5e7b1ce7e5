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

//! Role of a host in the fleet.
enum class HostRole : std::uint8_t {
    Entry, //!< Accepts requests from callers.
    Control, //!< Has a disk, accepts operator commands and serves look-ups.
};

//! Self-description that a host announces.
struct HostAnnouncement
{
    HostName name;
    HostRole role = HostRole::Entry;
    Endpoint service; //!< For callers on an entry host, for operators on a control host.
    Endpoint internal; //!< For other hosts; on an entry host, for requests that they forward.
    FailureDomainName domain;
    RegionName region;
    MemberId member = 0; //!< Identity in the quorum; 0 if not a member.
    //! True if an entry host accepts new requests, and until a control host is about to stop.
    bool ready = false;
    bool reachesTargets = true; //!< False if an entry host can connect to no target.

    [[nodiscard]] auto operator<=>(const HostAnnouncement &) const = default;
};

//! A host and the age of its most recent message.
struct HostObservation
{
    HostAnnouncement host;
    Duration age { 0 }; //!< Time since the last message received directly from the host.

    [[nodiscard]] auto operator<=>(const HostObservation &) const = default;
};

//! First message on a connection; afterwards sent periodically as a status report.
struct HostReport
{
    HostAnnouncement host;
    std::uint64_t revision = 0; //!< Newest revision of the fleet state known to the sender.
    std::uint64_t listDigest = 0; //!< Digest of the sender's target list.
    std::uint64_t version = 0; //!< Version of the configuration that the sender holds.
    Duration sentAt { 0 }; //!< Sender's monotonic clock; FleetFeed returns it.

    [[nodiscard]] auto operator<=>(const HostReport &) const = default;
};

//! Reports the hosts that a control host is in direct contact with to other control hosts.
struct HostObservationReport
{
    std::vector<HostObservation> hosts;

    [[nodiscard]] auto operator<=>(const HostObservationReport &) const = default;
};

//! A consensus message between control hosts.
struct QuorumEnvelope
{
    RaftMessage message;

    [[nodiscard]] auto operator<=>(const QuorumEnvelope &) const = default;
};

//! Difference between a target list and an earlier one.
struct TargetListDelta
{
    std::uint64_t base = 0; //!< Digest of the earlier list.
    std::vector<std::uint32_t> removed; //!< Positions in the earlier list, in ascending order.
    std::vector<ListedTarget> added;

    [[nodiscard]] auto operator<=>(const TargetListDelta &) const = default;
};

//! The platform's target list as last read; without targets if the receiver has this digest.
struct TargetListReport
{
    std::uint64_t digest = 0;
    Duration age { 0 }; //!< Time since the list was read.
    std::optional<std::vector<ListedTarget>> targets; //!< The complete list.
    std::optional<TargetListDelta> delta; //!< Replaces `targets` if the receiver has the base list.

    [[nodiscard]] auto operator<=>(const TargetListReport &) const = default;
};

//! Target states observed by entry hosts since the sender's previous message.
struct TargetStateReports
{
    std::vector<TargetStateReport> targets;

    [[nodiscard]] auto operator<=>(const TargetStateReports &) const = default;
};

//! Fleet state that a control host publishes to its entry hosts.
struct FleetFeed
{
    bool current = false; //!< True if the control host follows a leader confirmed by a majority.
    std::uint64_t revision = 0; //!< Log position of the newest accepted change.
    std::uint64_t version = 0; //!< Newest accepted version of the configuration.
    //! HostReport::sentAt of the receiver's last report: the feed is at least as new as that.
    Duration reportSentAt { 0 };
    std::vector<FailureDomainName> evacuated; //!< Domains whose targets receive no requests.
    std::uint32_t entryHosts = 1; //!< Recently seen entry hosts, including unreachable ones.
    std::vector<HostAnnouncement> controlHosts; //!< Live control hosts.
    //! Entry hosts to forward requests to; empty if the receiver reaches targets.
    std::vector<HostAnnouncement> forwardingPeers;

    [[nodiscard]] auto operator<=>(const FleetFeed &) const = default;
};

//! Operators' configuration document; sent after the feed that announces its version.
struct DocumentUpdate
{
    std::uint64_t version = 0;
    std::uint64_t baseVersion = 0; //!< Version that the receiver must hold; 0 if it needs none.
    std::uint64_t digest = 0; //!< Digest of the document.
    Bytes content; //!< The document, compressed relative to the base version.

    [[nodiscard]] auto operator<=>(const DocumentUpdate &) const = default;
};

using FleetMessage = std::variant<HostReport, HostObservationReport, QuorumEnvelope,
                                  TargetListReport, FleetFeed, TargetStateReports, DocumentUpdate>;

//! Replaces the operators' configuration.
struct ChangeConfiguration
{
    std::uint64_t version = 0;
    std::uint64_t baseVersion = 0; //!< Version that the change is based on.
    std::uint64_t digest = 0; //!< Digest of both versions and the document; identifies resends.
    Bytes document;

    [[nodiscard]] auto operator<=>(const ChangeConfiguration &) const = default;
};

//! Starts or ends the evacuation of a failure domain; its targets receive no requests meanwhile.
struct SetEvacuation
{
    FailureDomainName domain;
    bool evacuated = false;

    [[nodiscard]] auto operator<=>(const SetEvacuation &) const = default;
};

//! Replicates the address of a quorum member, so that all members retain it across restarts.
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
    ResultCode code = ResultCode::Ok; //!< Ok or VersionConflict.
    std::uint64_t currentVersion = 0;

    [[nodiscard]] auto operator<=>(const FleetCommandAnswer &) const = default;
};

//! Identifies a previously accepted configuration.
struct AcceptedVersion
{
    std::uint64_t version = 0;
    std::uint64_t digest = 0;

    [[nodiscard]] auto operator<=>(const AcceptedVersion &) const = default;
};

//! Complete state replicated among the control hosts.
struct FleetState
{
    std::uint64_t revision = 0; //!< Log position of the newest change relevant to entry hosts.
    std::uint64_t version = 0; //!< Version of the configuration; 0 if there is none yet.
    Bytes configuration;
    std::vector<AcceptedVersion> accepted; //!< Ordered from oldest to newest.
    std::vector<FailureDomainName> evacuated;
    std::vector<RegisterMember> members;

    [[nodiscard]] auto operator<=>(const FleetState &) const = default;
};

} // namespace ggv
