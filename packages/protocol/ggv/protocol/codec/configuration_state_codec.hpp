#pragma once

#include <ggv/protocol/message/configuration_state.hpp>

namespace ggv {

//! @return The state as msgpack bytes.
[[nodiscard]] Bytes encodeConfigurationState(const ConfigurationState &state);
//! @return The state. @throws Error ProtocolViolation.
[[nodiscard]] ConfigurationState decodeConfigurationState(ByteView bytes);

} // namespace ggv
