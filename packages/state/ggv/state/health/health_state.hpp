#pragma once

#include <cstdint>

namespace ggv {

//! What a host concludes about a target, from best to worst.
enum class HealthState : std::uint8_t {
    Working, //!< Gets work.
    Suspect, //!< Gets a few trial requests.
    Down, //!< Gets no work.
    Leaving, //!< Gets no new work and finishes what it has.
};

} // namespace ggv
