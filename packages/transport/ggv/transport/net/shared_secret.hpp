#pragma once

#include <ggv/state/storage/disk.hpp>

#include <string>
#include <string_view>

namespace ggv {

/**
 * @brief Keyed digest that proves knowledge of the secret which all hosts of the system share.
 * @param secret The secret.
 * @param message What is proved.
 * @return HMAC-SHA-256.
 */
[[nodiscard]] Bytes proveSecret(std::string_view secret, std::string_view message);

//! Compares in constant time.
[[nodiscard]] bool sameProof(ByteView one, ByteView other) noexcept;

//! @return Lower-case hexadecimal SHA-256 digest of a text.
[[nodiscard]] std::string sha256Hex(std::string_view text);

//! @return Random bytes from the operating system. @throws Error Internal.
[[nodiscard]] Bytes randomBytes(std::size_t count);

//! @return A random number from the operating system. @throws Error Internal.
[[nodiscard]] std::uint64_t randomNumber();

} // namespace ggv
