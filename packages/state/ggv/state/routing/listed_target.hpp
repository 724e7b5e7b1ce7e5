#pragma once

#include <ggv/state/core/ids.hpp>
#include <ggv/state/core/time.hpp>
#include <ggv/state/model/entities.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace ggv {

//! A target as the platform lists it.
struct ListedTarget
{
    std::string instance; //!< Identity of one start of the target.
    ServiceName service;
    Endpoint endpoint;
    FailureDomainName domain;
    std::uint32_t slots = 1; //!< Requests that it executes at the same time.
    bool leaving = false;
    Duration coldDuration { 0 }; //!< Time from the listing until its caches are warm.

    [[nodiscard]] auto operator<=>(const ListedTarget &) const = default;
};

//! All targets, as one reading of the platform's list gave them.
struct TargetList
{
    std::uint64_t digest = 0; //!< Of the content; 0: never read.
    std::vector<ListedTarget> targets;

    [[nodiscard]] auto operator<=>(const TargetList &) const = default;
};

} // namespace ggv
