#pragma once

#include <ggv/state/core/ids.hpp>

#include <compare>
#include <cstddef>
#include <string_view>
#include <vector>

namespace ggv {

//! An entry host that may use a part of a target's rate limit.
struct RateLimitSharer
{
    HostName host;
    bool isInTargetRegion = false;

    [[nodiscard]] auto operator<=>(const RateLimitSharer &) const = default;
};

/**
 * @brief Number of hosts that may share a rate limit.
 *
 * Each host may save up one request. If all hosts send theirs at once, the target gets that many
 * requests beyond its limit, so that few hosts can share a low limit.
 */
[[nodiscard]] std::size_t maxRateLimitSharers(double perSecond) noexcept;

/**
 * @brief Divides a target's rate limit among entry hosts.
 *
 * All control hosts that know the same hosts compute the same result. Hosts in the target's region
 * get the larger parts, as they prefer the target.
 * @param hosts All entry hosts, including unreachable ones that may still use their part.
 * @param instance The target.
 * @param perSecond Its limit.
 * @return Fractions of the limit in the order of @p hosts; 0 for hosts that must not send to the
 * target. They add up to 1 unless @p hosts is empty.
 */
[[nodiscard]] std::vector<double> shareRateLimit(const std::vector<RateLimitSharer> &hosts,
                                                 std::string_view instance, double perSecond);

} // namespace ggv
