#pragma once

#include <ggv/protocol/message/change_message.hpp>

namespace ggv {

//! @return The msgpack encoding of the command.
[[nodiscard]] Bytes encodeChangeCommand(const ChangeCommand &command);
//! @return The command. @throws Error ProtocolViolation if the bytes are malformed.
[[nodiscard]] ChangeCommand decodeChangeCommand(ByteView bytes);
//! @return The msgpack encoding of the answer.
[[nodiscard]] Bytes encodeChangeAnswer(const ChangeAnswer &answer);
//! @return The answer. @throws Error ProtocolViolation if the bytes are malformed.
[[nodiscard]] ChangeAnswer decodeChangeAnswer(ByteView bytes);

} // namespace ggv
