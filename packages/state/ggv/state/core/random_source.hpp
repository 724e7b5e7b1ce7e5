#pragma once

#include <random>

namespace ggv {

//! Random source of the decision core; callers own and seed it, so that decisions can be replayed.
using RandomSource = std::mt19937_64;

/**
 * @brief Draws a fraction that is uniform in [0, 1).
 * @param random The random source.
 * @return The fraction; the same on every platform for the same state of the source.
 */
[[nodiscard]] inline double uniformFraction(RandomSource &random) noexcept
{
    constexpr unsigned MantissaShift = 11;
    constexpr double UnitScale = 0x1.0p-53;
    return static_cast<double>(random() >> MantissaShift) * UnitScale;
}

} // namespace ggv
