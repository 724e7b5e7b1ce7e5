#pragma once

#include <compare>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace ggv {

/**
 * @brief Digest of what a request asks for: equal for repetitions of a request, which have other
 * ids.
 */
class RequestFingerprint
{
public:
    constexpr RequestFingerprint() = default;
    constexpr explicit RequestFingerprint(std::uint64_t digest) noexcept
        : m_digest(digest)
    { }

    //! @return Fingerprint of a request. @param target Path and query.
    [[nodiscard]] static RequestFingerprint of(std::string_view method, std::string_view hostName,
                                               std::string_view target,
                                               std::span<const std::uint8_t> body) noexcept;

    //! @return 16 hexadecimal digits.
    [[nodiscard]] std::string text() const;
    [[nodiscard]] constexpr std::uint64_t digest() const noexcept { return m_digest; }

    [[nodiscard]] auto operator<=>(const RequestFingerprint &) const noexcept = default;

private:
    std::uint64_t m_digest = 0;
};

} // namespace ggv
