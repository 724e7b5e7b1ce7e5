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
    std::string instance; //!< Name of the target; a restart mostly gets a new one.
    ServiceName service;
    Endpoint endpoint;
    FailureDomainName domain;
    std::uint32_t slots = 1; //!< Requests that the target can execute concurrently.
    bool leaving = false;
    Duration coldDuration { 0 }; //!< Time from the listing until the target's caches are warm.
    //! Start of the target's process, which tells a restart under the same name; 0 if unknown. Not
    //! part of the list that hosts exchange, see TargetStarts.
    UnixMillis startedAt = 0;

    [[nodiscard]] auto operator<=>(const ListedTarget &) const = default;
};

//! @return True if both starts of a target are known and the first one is later.
[[nodiscard]] constexpr bool isLaterStart(UnixMillis startedAt, UnixMillis other) noexcept
{
    return other != 0 && startedAt > other;
}

//! The contents of the platform's target list, as read at one time.
struct TargetList
{
    std::uint64_t digest = 0; //!< Digest of the list's content; 0 if the list was never read.
    std::vector<ListedTarget> targets;

    [[nodiscard]] auto operator<=>(const TargetList &) const = default;
};

} // namespace ggv
