#pragma once

#include <ggv/state/core/ids.hpp>
#include <ggv/state/core/time.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ggv {

//! IP address and TCP port.
struct Endpoint
{
    std::string address; //!< IPv4 or IPv6 literal; names are not resolved.
    std::uint16_t port = 0;

    [[nodiscard]] auto operator<=>(const Endpoint &) const = default;
};

//! A region: a group of failure domains that share links to other regions.
struct Region
{
    RegionName name;

    [[nodiscard]] auto operator<=>(const Region &) const = default;
};

//! A failure domain: a part of a region that can fail or be partitioned as a unit.
struct FailureDomain
{
    FailureDomainName name;
    RegionName region;

    [[nodiscard]] auto operator<=>(const FailureDomain &) const = default;
};

//! An entry host: admits requests of callers and forwards them to targets.
struct EntryHost
{
    HostName name;
    FailureDomainName domain;
    Endpoint callers; //!< HTTP endpoint for callers.
    Endpoint operators; //!< HTTP endpoint for operators, metrics and health checks.
    Endpoint internal; //!< Endpoint for framed messages between hosts.
    bool hasDisk = false; //!< Whether the host has durable storage; voters need it.
    std::uint64_t incarnation = 0; //!< Increased when the host returns without its data folder.
    bool leaving = false; //!< Excluded from look-up results.

    [[nodiscard]] auto operator<=>(const EntryHost &) const = default;
};

//! Matches requests that must be executed at most once.
struct NonIdempotentRoute
{
    std::string method; //!< HTTP method in upper case.
    std::string pathPrefix; //!< Matches this path and all paths below it.

    [[nodiscard]] auto operator<=>(const NonIdempotentRoute &) const = default;
};

//! Default of Service::defaultDeadline.
inline constexpr Duration DefaultServiceDeadline = std::chrono::seconds(10);
//! Default of Service::maxBodyBytes.
inline constexpr std::uint64_t DefaultMaxBodyBytes = std::uint64_t { 1024 } * 1024;
//! Default of Service::typicalExchangeBytes.
inline constexpr std::uint64_t DefaultTypicalExchangeBytes = std::uint64_t { 16 } * 1024;
//! Default of Target::slots.
inline constexpr std::uint32_t DefaultTargetSlots = 1;
//! Default of Target::connections.
inline constexpr std::uint32_t DefaultTargetConnections = 64;

//! A service provided by targets.
struct Service
{
    ServiceName name;
    std::vector<NonIdempotentRoute> nonIdempotent;
    //! Group that stores the claims of the service; cannot change once set.
    std::optional<ClaimGroupName> claimGroup;
    Duration defaultDeadline = DefaultServiceDeadline; //!< For requests without a deadline.
    std::uint64_t maxBodyBytes = DefaultMaxBodyBytes; //!< Larger request bodies are rejected.
    //! Size of request and response; used for link budgets.
    std::uint64_t typicalExchangeBytes = DefaultTypicalExchangeBytes;
    //! Path that returns state and load of a target; empty to disable probes.
    std::string probePath;

    [[nodiscard]] auto operator<=>(const Service &) const = default;
};

//! A worker that executes requests of one service.
struct Target
{
    TargetName name;
    ServiceName service;
    FailureDomainName domain;
    Endpoint endpoint;
    std::uint32_t slots = DefaultTargetSlots; //!< Maximum number of concurrent requests.
    std::uint32_t connections = DefaultTargetConnections; //!< Maximum number of connections.
    bool leaving = false; //!< Receives no new requests.

    [[nodiscard]] auto operator<=>(const Target &) const = default;
};

//! Network link between two regions, with the same capacity in each direction.
struct Link
{
    RegionName first;
    RegionName second;
    std::uint32_t megabitsPerSecond = 0;
    Duration oneWayDelay { 0 };

    [[nodiscard]] auto operator<=>(const Link &) const = default;
};

//! Block of caller addresses and the failure domain nearest to it.
struct ClientBlock
{
    std::string prefix; //!< CIDR notation.
    FailureDomainName nearest;

    [[nodiscard]] auto operator<=>(const ClientBlock &) const = default;
};

//! Limit on the rate of requests of a service that are forwarded from one region to another.
struct ShiftCap
{
    ServiceName service;
    RegionName from; //!< Region of the entry host.
    RegionName to; //!< Region of the target.
    std::uint32_t requestsPerSecond = 0;

    [[nodiscard]] auto operator<=>(const ShiftCap &) const = default;
};

//! Kind of entity that is drained.
enum class DrainScope : std::uint8_t { Target, FailureDomain, Region };

//! A scheduled drain: the share of requests decreases gradually from start to end.
struct Drain
{
    DrainScope scope = DrainScope::Target;
    std::string name; //!< Name of the target, failure domain or region.
    UnixMillis startsAt = 0; //!< Time at which the share starts to decrease.
    UnixMillis emptyAt = 0; //!< Time from which no new requests are sent.

    [[nodiscard]] auto operator<=>(const Drain &) const = default;
};

//! A quorum that stores the claims of one or more services.
struct ClaimGroup
{
    ClaimGroupName name;
    std::vector<HostName> voters;

    [[nodiscard]] auto operator<=>(const ClaimGroup &) const = default;
};

} // namespace ggv
