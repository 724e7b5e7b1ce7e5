#pragma once

#include <cstdint>

namespace ggv {

//! Health of a target as determined by a host, from best to worst.
enum class HealthState : std::uint8_t {
    Working, //!< Receives requests.
    Suspect, //!< Receives a few trial requests.
    Down, //!< Receives no requests.
    Leaving, //!< Receives no new requests and finishes those in flight.
};

} // namespace ggv
