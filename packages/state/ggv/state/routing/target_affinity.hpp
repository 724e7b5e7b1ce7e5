#pragma once

#include <cstdint>
#include <string_view>

namespace ggv {

/**
 * @brief Digest of a name for rankTarget(); the same on every host.
 * @param text The name.
 */
[[nodiscard]] std::uint64_t affinityDigest(std::string_view text) noexcept;

/**
 * @brief Weighted rendezvous hashing: the target with the lowest rank gets the object.
 *
 * Adding or removing a target moves only the objects that it gains or had.
 * @param object Digest of the object.
 * @param target Digest of the target.
 * @param weight Share of the objects, relative to the other targets; above 0.
 * @return The rank.
 */
[[nodiscard]] double rankTarget(std::uint64_t object, std::uint64_t target, double weight) noexcept;

} // namespace ggv
