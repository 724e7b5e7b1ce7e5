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

//! A failure domain: a part of a region that fails or is cut off as a whole.
struct FailureDomain
{
    FailureDomainName name;
    RegionName region;

    [[nodiscard]] auto operator<=>(const FailureDomain &) const = default;
};

//! A host of the system that callers send their requests to.
struct EntryHost
{
    HostName name;
    FailureDomainName domain;
    Endpoint callers; //!< HTTP for callers.
    Endpoint operators; //!< HTTP for operators, metrics and health.
    Endpoint internal; //!< Framed messages between hosts of the system.
    bool hasDisk = false; //!< May be a voter of a quorum.
    std::uint64_t incarnation = 0; //!< Raised when the host comes back without its data folder.
    bool leaving = false; //!< Left out of look-ups.

    [[nodiscard]] auto operator<=>(const EntryHost &) const = default;
};

//! Requests that must run at most once.
struct NonIdempotentRoute
{
    std::string method; //!< HTTP method, upper case.
    std::string pathPrefix; //!< Matches the path itself and everything below it.

    [[nodiscard]] auto operator<=>(const NonIdempotentRoute &) const = default;
};

//! Applies to requests that state no deadline, unless the service sets its own.
inline constexpr Duration DefaultServiceDeadline = std::chrono::seconds(10);
//! Largest request body of a service that sets no limit.
inline constexpr std::uint64_t DefaultMaxBodyBytes = std::uint64_t { 1024 } * 1024;
//! Request and answer together for a service that states no size.
inline constexpr std::uint64_t DefaultTypicalExchangeBytes = std::uint64_t { 16 } * 1024;
//! Requests that a target executes at the same time if the register does not say.
inline constexpr std::uint32_t DefaultTargetSlots = 1;
//! Connections that a target accepts if the register does not say.
inline constexpr std::uint32_t DefaultTargetConnections = 64;

//! A service that targets provide.
struct Service
{
    ServiceName name;
    std::vector<NonIdempotentRoute> nonIdempotent;
    std::optional<ClaimGroupName>
        claimGroup; //!< Home of the service's claims; never changes once set.
    Duration defaultDeadline = DefaultServiceDeadline; //!< For requests that state none.
    std::uint64_t maxBodyBytes = DefaultMaxBodyBytes; //!< Larger request bodies are refused.
    std::uint64_t typicalExchangeBytes
        = DefaultTypicalExchangeBytes; //!< Request and answer together; sizes link budgets.
    std::string probePath; //!< Answers the target's state and load; empty: no probe.

    [[nodiscard]] auto operator<=>(const Service &) const = default;
};

//! A worker that executes requests of one service.
struct Target
{
    TargetName name;
    ServiceName service;
    FailureDomainName domain;
    Endpoint endpoint;
    std::uint32_t slots = DefaultTargetSlots; //!< Requests that it executes at the same time.
    std::uint32_t connections = DefaultTargetConnections; //!< Connections that it accepts.
    bool leaving = false; //!< Gets no new work.

    [[nodiscard]] auto operator<=>(const Target &) const = default;
};

//! Shared capacity between two regions, the same in each direction.
struct Link
{
    RegionName first;
    RegionName second;
    std::uint32_t megabitsPerSecond = 0;
    Duration oneWayDelay { 0 };

    [[nodiscard]] auto operator<=>(const Link &) const = default;
};

//! Callers of an address block and the failure domain nearest to them.
struct ClientBlock
{
    std::string prefix; //!< CIDR notation.
    FailureDomainName nearest;

    [[nodiscard]] auto operator<=>(const ClientBlock &) const = default;
};

//! Limit on the work of a service that one region may take over from another.
struct ShiftCap
{
    ServiceName service;
    RegionName from; //!< Region where the caller's entry host is.
    RegionName to; //!< Region where the target is.
    std::uint32_t requestsPerSecond = 0;

    [[nodiscard]] auto operator<=>(const ShiftCap &) const = default;
};

//! What a drain empties.
enum class DrainScope : std::uint8_t { Target, FailureDomain, Region };

//! A planned drain: work moves away gradually between start and end.
struct Drain
{
    DrainScope scope = DrainScope::Target;
    std::string name; //!< Of the target, failure domain or region.
    UnixMillis startsAt = 0; //!< The share of work begins to fall.
    UnixMillis emptyAt = 0; //!< No new work from here on.

    [[nodiscard]] auto operator<=>(const Drain &) const = default;
};

//! A quorum that keeps the claims of some services.
struct ClaimGroup
{
    ClaimGroupName name;
    std::vector<HostName> voters;

    [[nodiscard]] auto operator<=>(const ClaimGroup &) const = default;
};

} // namespace ggv
