#pragma once

#include <ggv/state/core/time.hpp>

#include <compare>
#include <optional>
#include <string>

namespace ggv {

//! What a target states about its rate limit, as entry hosts tell each other.
struct TargetRateLimitReport
{
    std::string instance;
    std::optional<double> perSecond; //!< Requests per second; empty if it states no limit any more.
    Duration age { 0 }; //!< Time since the answer with the statement.

    [[nodiscard]] auto operator<=>(const TargetRateLimitReport &) const = default;
};

//! Part of a target's rate limit that one entry host may use.
struct TargetRateLimitShare
{
    std::string instance;
    double fraction = 0.0; //!< From 0 to 1; the fractions of all hosts add up to 1.

    [[nodiscard]] auto operator<=>(const TargetRateLimitShare &) const = default;
};

} // namespace ggv
