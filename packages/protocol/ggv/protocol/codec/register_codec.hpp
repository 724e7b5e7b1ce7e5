#pragma once

#include <ggv/state/model/register.hpp>
#include <ggv/state/model/register_delta.hpp>
#include <ggv/state/storage/disk.hpp>

namespace ggv {

/**
 * @brief Encodes a complete register with its version.
 * @param content Register to encode.
 * @return The msgpack encoding.
 */
[[nodiscard]] Bytes encodeRegister(const Register &content);

/**
 * @brief Decodes and validates a complete register.
 * @param bytes msgpack bytes.
 * @return The decoded register.
 * @throws Error ProtocolViolation if the bytes are malformed, RegisterInvalid if validation fails.
 */
[[nodiscard]] Register decodeRegister(ByteView bytes);

/**
 * @brief Encodes a delta between two register versions.
 * @param delta Delta to encode.
 * @return The msgpack encoding.
 */
[[nodiscard]] Bytes encodeDelta(const RegisterDelta &delta);

/**
 * @brief Decodes a delta between two register versions.
 * @param bytes msgpack bytes.
 * @return The decoded delta; it is not validated.
 * @throws Error ProtocolViolation if the bytes are malformed.
 */
[[nodiscard]] RegisterDelta decodeDelta(ByteView bytes);

} // namespace ggv
