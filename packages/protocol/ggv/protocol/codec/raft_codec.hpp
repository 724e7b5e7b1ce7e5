#pragma once

#include <ggv/protocol/message/membership.hpp>
#include <ggv/protocol/message/raft_message.hpp>
#include <ggv/state/storage/disk.hpp>

namespace ggv {

/**
 * @brief Encodes a consensus message.
 * @param message The message.
 * @return msgpack bytes.
 */
[[nodiscard]] Bytes encodeRaftMessage(const RaftMessage &message);

/**
 * @brief Decodes a consensus message.
 * @param bytes msgpack bytes.
 * @return The message.
 * @throws Error ProtocolViolation if the bytes are not such a message.
 */
[[nodiscard]] RaftMessage decodeRaftMessage(ByteView bytes);

/**
 * @brief Encodes the members of a quorum.
 * @param membership The members.
 * @return msgpack bytes.
 */
[[nodiscard]] Bytes encodeMembership(const Membership &membership);

/**
 * @brief Decodes the members of a quorum.
 * @param bytes msgpack bytes.
 * @return The members.
 * @throws Error ProtocolViolation if the bytes are not a membership.
 */
[[nodiscard]] Membership decodeMembership(ByteView bytes);

} // namespace ggv
