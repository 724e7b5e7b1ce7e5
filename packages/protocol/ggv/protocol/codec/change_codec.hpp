#pragma once

#include <ggv/protocol/message/change_message.hpp>

namespace ggv {

//! @return The command as msgpack bytes.
[[nodiscard]] Bytes encodeChangeCommand(const ChangeCommand &command);
//! @return The command. @throws Error ProtocolViolation.
[[nodiscard]] ChangeCommand decodeChangeCommand(ByteView bytes);
//! @return The answer as msgpack bytes.
[[nodiscard]] Bytes encodeChangeAnswer(const ChangeAnswer &answer);
//! @return The answer. @throws Error ProtocolViolation.
[[nodiscard]] ChangeAnswer decodeChangeAnswer(ByteView bytes);

} // namespace ggv
