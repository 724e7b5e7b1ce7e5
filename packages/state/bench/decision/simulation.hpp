#pragma once

#include "measurements.hpp"
#include "policy.hpp"

namespace ggv::bench {

/**
 * @brief Runs a discrete-event simulation of one scenario under one policy.
 * @param deployment Sizes of the installation.
 * @param scenario Load and faults.
 * @param policy Decision policy of the entry hosts.
 * @param seed Random seed; arrivals and service times do not depend on the policy.
 * @return Results of the run.
 */
[[nodiscard]] RunResults simulate(const Deployment &deployment, const Scenario &scenario,
                                  const Policy &policy, std::uint64_t seed);

} // namespace ggv::bench
