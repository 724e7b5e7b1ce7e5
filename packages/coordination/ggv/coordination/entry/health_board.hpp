#pragma once

#include <ggv/coordination/entry/target_state.hpp>
#include <ggv/state/admission/adaptive_limit.hpp>
#include <ggv/state/budget/budget_holder.hpp>
#include <ggv/state/health/target_health.hpp>
#include <ggv/state/model/register.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace ggv {

//! How a request to a target ended, as a worker thread saw it.
struct TargetObservation
{
    std::uint32_t target = 0; //!< Number that HealthBoard gave the target.
    RequestOutcome_ outcome {};
    Instant sentAt {};
    Instant endedAt {};
};

} // namespace ggv
