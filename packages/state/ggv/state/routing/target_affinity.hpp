#pragma once

#include <cstdint>
#include <string_view>

namespace ggv {

/**
 * @brief Computes the digest of a name for rankTarget().
 *
 * All hosts compute the same digest.
 */
[[nodiscard]] std::uint64_t affinityDigest(std::string_view text) noexcept;

/**
 * @brief Ranks a target for an object by weighted rendezvous hashing; the lowest rank is preferred.
 *
 * Adding or removing a target moves only the objects that are assigned to this target.
 * @param object Digest of the object.
 * @param target Digest of the target.
 * @param weight Share of the objects, relative to the weights of the other targets; above 0.
 */
[[nodiscard]] double rankTarget(std::uint64_t object, std::uint64_t target, double weight) noexcept;

} // namespace ggv
