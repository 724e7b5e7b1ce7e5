#include <ggv/transport/net/shared_secret.hpp>

#include <ggv/state/core/error.hpp>

#include <cstring>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

namespace ggv {

namespace {

constexpr std::size_t DigestBytes = 32;

const std::uint8_t *bytesOf(std::string_view text) noexcept
{
    return reinterpret_cast<const std::uint8_t *>(text.data()); // NOLINT: bytes of a string.
}

} // namespace

Bytes computeProof(std::string_view secret, std::string_view message)
{
    Bytes proof(DigestBytes);
    unsigned int size = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), bytesOf(message),
         message.size(), proof.data(), &size);
    return proof;
}

bool equalDigests(ByteView one, ByteView other) noexcept
{
    return one.size() == other.size() && CRYPTO_memcmp(one.data(), other.data(), one.size()) == 0;
}

std::string sha256Hex(std::string_view text)
{
    Bytes digest(DigestBytes);
    unsigned int size = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string hex;
    for (const auto byte : digest) {
        hex.push_back(Digits[byte >> 4U]);
        hex.push_back(Digits[byte & 15U]);
    }
    return hex;
}

Bytes randomBytes(std::size_t count)
{
    Bytes bytes(count);
    if (RAND_bytes(bytes.data(), static_cast<int>(count)) != 1)
        throw Error(ResultCode::Internal, "no random bytes available: RAND_bytes failed");
    return bytes;
}

std::uint64_t randomNumber()
{
    std::uint64_t number = 0;
    std::memcpy(&number, randomBytes(sizeof number).data(), sizeof number);
    return number;
}

} // namespace ggv
