#pragma once

#include <ggv/state/model/register.hpp>
#include <ggv/state/model/register_delta.hpp>
#include <ggv/state/storage/disk.hpp>

namespace ggv {

/**
 * @brief Encodes a whole register with its version.
 * @param content The register.
 * @return msgpack bytes.
 */
[[nodiscard]] Bytes encodeRegister(const Register &content);

/**
 * @brief Decodes a whole register and validates it.
 * @param bytes msgpack bytes.
 * @return The register.
 * @throws Error ProtocolViolation or RegisterInvalid.
 */
[[nodiscard]] Register decodeRegister(ByteView bytes);

/**
 * @brief Encodes a change.
 * @param delta The change.
 * @return msgpack bytes.
 */
[[nodiscard]] Bytes encodeDelta(const RegisterDelta &delta);

/**
 * @brief Decodes a change.
 * @param bytes msgpack bytes.
 * @return The change, not validated.
 * @throws Error ProtocolViolation.
 */
[[nodiscard]] RegisterDelta decodeDelta(ByteView bytes);

} // namespace ggv
