#pragma once

#include "measurements.hpp"
#include "policy.hpp"

namespace ggv::bench {

/**
 * @brief Runs one scenario under one policy by discrete events.
 * @param deployment Sizes.
 * @param scenario What happens.
 * @param policy How hosts decide.
 * @param seed Seed of all randomness; arrivals and service times do not depend on the policy.
 * @return The figures.
 */
[[nodiscard]] Figures simulate(const Deployment &deployment, const Scenario &scenario,
                               const Policy &policy, std::uint64_t seed);

} // namespace ggv::bench
