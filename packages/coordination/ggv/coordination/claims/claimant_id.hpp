#pragma once

#include <ggv/transport/net/shared_secret.hpp>

#include <cstdint>

namespace ggv {

//! @return ClaimId::host for a process that starts now: a random number, because processes that
//! start at the same time must not share claims.
[[nodiscard]] inline std::uint64_t createClaimantId() { return randomNumber(); }

} // namespace ggv
