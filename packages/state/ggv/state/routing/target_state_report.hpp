#pragma once

#include <ggv/state/core/time.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace ggv {

//! What an entry host saw of a target, for the other entry hosts.
struct TargetStateReport
{
    std::string instance;
    std::uint32_t load = 0; //!< Requests that the target executed or queued.
    bool replaced = false; //!< Another instance answered at its address.
    Duration age { 0 }; //!< Time since it was seen.

    [[nodiscard]] auto operator<=>(const TargetStateReport &) const = default;
};

} // namespace ggv
