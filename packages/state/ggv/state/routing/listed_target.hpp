#pragma once

#include <ggv/state/core/ids.hpp>
#include <ggv/state/core/time.hpp>
#include <ggv/state/model/entities.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace ggv {

//! A target as listed by the platform.
struct ListedTarget
{
    std::string instance; //!< Identifies one run of the target; a restart gets a new identity.
    ServiceName service;
    Endpoint endpoint;
    FailureDomainName domain;
    std::uint32_t slots = 1; //!< Requests that the target can execute concurrently.
    bool leaving = false;
    Duration coldDuration { 0 }; //!< Time from the listing until the target's caches are warm.

    [[nodiscard]] auto operator<=>(const ListedTarget &) const = default;
};

//! The contents of the platform's target list, as read at one time.
struct TargetList
{
    std::uint64_t digest = 0; //!< Digest of the list's content; 0 if the list was never read.
    std::vector<ListedTarget> targets;

    [[nodiscard]] auto operator<=>(const TargetList &) const = default;
};

} // namespace ggv
