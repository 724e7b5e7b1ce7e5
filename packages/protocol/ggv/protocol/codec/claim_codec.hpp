#pragma once

#include <ggv/protocol/message/claim_message.hpp>
#include <ggv/state/storage/disk.hpp>

namespace ggv {

//! @param entry Log entry of a claim group. @return Its msgpack encoding.
[[nodiscard]] Bytes encodeClaimLogEntry(const ClaimLogEntry &entry);
//! @param bytes msgpack bytes. @return The entry. @throws Error ProtocolViolation if malformed.
[[nodiscard]] ClaimLogEntry decodeClaimLogEntry(ByteView bytes);

//! @param reply Result of a claim command. @return Its msgpack encoding.
[[nodiscard]] Bytes encodeClaimReply(const ClaimReply &reply);
//! @param bytes msgpack bytes. @return The reply. @throws Error ProtocolViolation if malformed.
[[nodiscard]] ClaimReply decodeClaimReply(ByteView bytes);

//! @param call Call sent by an entry host. @return Its msgpack encoding.
[[nodiscard]] Bytes encodeClaimCall(const ClaimCall &call);
//! @param bytes msgpack bytes. @return The call. @throws Error ProtocolViolation if malformed.
[[nodiscard]] ClaimCall decodeClaimCall(ByteView bytes);

//! @param answer Answer to a call. @return Its msgpack encoding.
[[nodiscard]] Bytes encodeClaimCallAnswer(const ClaimCallAnswer &answer);
//! @param bytes msgpack bytes. @return The answer. @throws Error ProtocolViolation if malformed.
[[nodiscard]] ClaimCallAnswer decodeClaimCallAnswer(ByteView bytes);

} // namespace ggv
