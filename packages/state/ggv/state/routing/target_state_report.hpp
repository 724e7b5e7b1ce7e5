#pragma once

#include <ggv/state/core/time.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace ggv {

//! Observed state of a target that an entry host shares with the other entry hosts.
struct TargetStateReport
{
    std::string instance;
    std::uint32_t load = 0; //!< Requests that the target was executing or had queued.
    //! The target is leaving, or another instance answered at its address.
    bool departed = false;
    Duration age { 0 }; //!< Time since the observation.
    //! Start of the target that departed; 0 if unknown, as in reports of older builds.
    UnixMillis startedAt = 0;

    [[nodiscard]] auto operator<=>(const TargetStateReport &) const = default;
};

} // namespace ggv
