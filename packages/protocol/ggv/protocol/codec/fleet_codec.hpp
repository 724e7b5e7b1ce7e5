#pragma once

#include <ggv/protocol/message/fleet_message.hpp>
#include <ggv/state/storage/disk.hpp>

namespace ggv {

//! @return The msgpack encoding of a message between hosts of the fleet.
[[nodiscard]] Bytes encodeFleetMessage(const FleetMessage &message);
//! @return The message. @throws Error ProtocolViolation if the bytes are malformed.
[[nodiscard]] FleetMessage decodeFleetMessage(ByteView bytes);

//! @return The msgpack encoding of a replicated command.
[[nodiscard]] Bytes encodeFleetCommand(const FleetCommand &command);
//! @return The command. @throws Error ProtocolViolation if the bytes are malformed.
[[nodiscard]] FleetCommand decodeFleetCommand(ByteView bytes);

//! @return The msgpack encoding of the answer to a command.
[[nodiscard]] Bytes encodeFleetCommandAnswer(const FleetCommandAnswer &answer);
//! @return The answer. @throws Error ProtocolViolation if the bytes are malformed.
[[nodiscard]] FleetCommandAnswer decodeFleetCommandAnswer(ByteView bytes);

//! @return The msgpack encoding of the replicated state.
[[nodiscard]] Bytes encodeFleetState(const FleetState &state);
//! @return The state. @throws Error ProtocolViolation if the bytes are malformed.
[[nodiscard]] FleetState decodeFleetState(ByteView bytes);

} // namespace ggv
