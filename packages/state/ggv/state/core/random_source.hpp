#pragma once

#include <random>

namespace ggv {

//! Random number generator of the decision core; owned and seeded by the callers, so that decisions
//! are reproducible.
using RandomSource = std::mt19937_64;

/**
 * @brief Generates a number that is uniformly distributed in [0, 1).
 * @param random The random number generator.
 * @return The number; the same on every platform for the same state of the generator.
 */
[[nodiscard]] inline double uniformFraction(RandomSource &random) noexcept
{
    constexpr unsigned MantissaShift = 11;
    constexpr double UnitScale = 0x1.0p-53;
    return static_cast<double>(random() >> MantissaShift) * UnitScale;
}

} // namespace ggv
