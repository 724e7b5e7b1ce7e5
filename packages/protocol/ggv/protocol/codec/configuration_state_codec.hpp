#pragma once

#include <ggv/protocol/message/configuration_state.hpp>

namespace ggv {

//! @return The msgpack encoding of the state.
[[nodiscard]] Bytes encodeConfigurationState(const ConfigurationState &state);
//! @return The state. @throws Error ProtocolViolation if the bytes are malformed.
[[nodiscard]] ConfigurationState decodeConfigurationState(ByteView bytes);

} // namespace ggv
