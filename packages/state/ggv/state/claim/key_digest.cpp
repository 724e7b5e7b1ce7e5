#include <ggv/state/claim/claim_table.hpp>

#include <algorithm>

#include <xxhash.h>

namespace ggv {

namespace {

constexpr std::size_t UuidLength = 36;
constexpr std::size_t UuidVersionAt = 14;
constexpr std::size_t UuidVariantAt = 19;
constexpr std::size_t UuidTimeDigits = 12;
constexpr unsigned BitsPerHexDigit = 4;

bool isDashAt(std::size_t index) noexcept
{
    return index == 8 || index == 13 || index == 18 || index == 23;
}

// Returns the value of a hexadecimal digit, or -1.
int hexValue(char c) noexcept
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    if (c >= 'A' && c <= 'F')
        return c - 'A' + 10;
    return -1;
}

bool isUuid(std::string_view key) noexcept
{
    if (key.size() != UuidLength)
        return false;
    for (std::size_t it = 0; it < UuidLength; ++it) {
        const bool fits = isDashAt(it) ? key[it] == '-' : hexValue(key[it]) >= 0;
        if (!fits)
            return false;
    }
    return true;
}

bool hasRfcVariant(std::string_view uuid) noexcept
{
    const int digit = hexValue(uuid[UuidVariantAt]);
    return digit >= 8 && digit <= 11;
}

} // namespace

KeyDigest digestKey(const ServiceName &service, std::string_view key) noexcept
{
    // The hash of the service name is the seed, so that different splits of the same concatenation
    // of name and key yield different digests.
    const auto &name = service.text();
    const auto seed = XXH3_64bits(name.data(), name.size());
    const auto hash = XXH3_128bits_withSeed(key.data(), key.size(), seed);
    return { hash.high64, hash.low64 };
}

UnixMillis timestampOfKey(std::string_view key) noexcept
{
    if (!isUuid(key) || key[UuidVersionAt] != '7' || !hasRfcVariant(key))
        return 0;
    std::uint64_t millis = 0;
    std::size_t digits = 0;
    for (std::size_t it = 0; digits < UuidTimeDigits; ++it) {
        if (isDashAt(it))
            continue;
        millis = (millis << BitsPerHexDigit) | static_cast<std::uint64_t>(hexValue(key[it]));
        ++digits;
    }
    return static_cast<UnixMillis>(millis);
}

} // namespace ggv
