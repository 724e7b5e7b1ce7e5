#pragma once

#include <ggv/protocol/message/claim_message.hpp>
#include <ggv/state/storage/disk.hpp>

namespace ggv {

//! @param entry An entry of a claim group's log. @return msgpack bytes.
[[nodiscard]] Bytes encodeClaimLogEntry(const ClaimLogEntry &entry);
//! @param bytes msgpack bytes. @return The entry. @throws Error ProtocolViolation.
[[nodiscard]] ClaimLogEntry decodeClaimLogEntry(ByteView bytes);

//! @param reply A claim group's answer to a command. @return msgpack bytes.
[[nodiscard]] Bytes encodeClaimReply(const ClaimReply &reply);
//! @param bytes msgpack bytes. @return The answer. @throws Error ProtocolViolation.
[[nodiscard]] ClaimReply decodeClaimReply(ByteView bytes);

//! @param call A call of an entry host. @return msgpack bytes.
[[nodiscard]] Bytes encodeClaimCall(const ClaimCall &call);
//! @param bytes msgpack bytes. @return The call. @throws Error ProtocolViolation.
[[nodiscard]] ClaimCall decodeClaimCall(ByteView bytes);

//! @param answer Answer to a call. @return msgpack bytes.
[[nodiscard]] Bytes encodeClaimCallAnswer(const ClaimCallAnswer &answer);
//! @param bytes msgpack bytes. @return The answer. @throws Error ProtocolViolation.
[[nodiscard]] ClaimCallAnswer decodeClaimCallAnswer(ByteView bytes);

} // namespace ggv
