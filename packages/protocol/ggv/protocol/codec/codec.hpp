#pragma once

#include <ggv/protocol/codec/raft_codec.hpp>

#include <cstdint>

namespace ggv {

//! Version of the wire format between hosts.
inline constexpr std::uint32_t WireVersion = 1;

} // namespace ggv
