#include <ggv/state/quarantine/request_fingerprint.hpp>

#include <array>
#include <cinttypes>
#include <cstdio>

#include <xxhash.h>

namespace ggv {

RequestFingerprint RequestFingerprint::of(std::string_view method, std::string_view hostName,
                                          std::string_view target,
                                          std::span<const std::uint8_t> body) noexcept
{
    // Each digest is the seed of the next, so that other splits of the same text differ.
    std::uint64_t digest = XXH3_64bits(method.data(), method.size());
    digest = XXH3_64bits_withSeed(hostName.data(), hostName.size(), digest);
    digest = XXH3_64bits_withSeed(target.data(), target.size(), digest);
    return RequestFingerprint(XXH3_64bits_withSeed(body.data(), body.size(), digest));
}

std::string RequestFingerprint::text() const
{
    std::array<char, 17> digits {};
    (void)std::snprintf(digits.data(), digits.size(), "%016" PRIx64, m_digest);
    return digits.data();
}

} // namespace ggv
