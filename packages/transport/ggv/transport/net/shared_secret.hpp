#pragma once

#include <ggv/state/storage/disk.hpp>

#include <string>
#include <string_view>

namespace ggv {

/**
 * @brief Computes a keyed digest that proves knowledge of the secret shared by all hosts.
 * @param secret Shared secret; the HMAC key.
 * @param message Message to authenticate.
 * @return HMAC-SHA-256 of the message.
 */
[[nodiscard]] Bytes computeProof(std::string_view secret, std::string_view message);

//! Compares two digests in constant time.
[[nodiscard]] bool equalDigests(ByteView one, ByteView other) noexcept;

//! @return Lower-case hexadecimal SHA-256 digest of a string.
[[nodiscard]] std::string sha256Hex(std::string_view text);

//! @return Cryptographically secure random bytes. @throws Error Internal if none are available.
[[nodiscard]] Bytes randomBytes(std::size_t count);

//! @return Cryptographically secure random number. @throws Error Internal if none is available.
[[nodiscard]] std::uint64_t randomNumber();

} // namespace ggv
