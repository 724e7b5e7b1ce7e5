#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ggv {

//! Family of an IP address.
enum class IpFamily : std::uint8_t { V4, V6 };

//! Length of an IPv4 address in bits.
inline constexpr std::uint8_t Ipv4Bits = 32;
//! Length of an IPv6 address in bits.
inline constexpr std::uint8_t Ipv6Bits = 128;

//! Numeric IPv4 or IPv6 address; IPv4 addresses use the low 32 bits.
struct IpAddress
{
    IpFamily family = IpFamily::V4;
    std::uint64_t high = 0; //!< First eight bytes of an IPv6 address.
    std::uint64_t low = 0; //!< Last eight bytes.

    [[nodiscard]] auto operator<=>(const IpAddress &) const = default;

    /**
     * @brief Parses an address literal; names are not resolved.
     * @param text IPv4 in dotted decimal or IPv6, without a zone; IPv4-mapped IPv6 addresses are
     * converted to IPv4.
     * @return The address; std::nullopt if the text is malformed.
     */
    [[nodiscard]] static std::optional<IpAddress> parse(std::string_view text) noexcept;

    //! @return The address in canonical form.
    [[nodiscard]] std::string text() const;
};

//! Address block in CIDR notation.
struct IpPrefix
{
    IpAddress address; //!< First address of the block.
    std::uint8_t length = 0; //!< Prefix length in bits.

    [[nodiscard]] auto operator<=>(const IpPrefix &) const = default;

    /**
     * @brief Parses CIDR notation.
     * @param text For example "10.1.0.0/16"; bits after the prefix are cleared.
     * @return The block; std::nullopt if the text is not valid CIDR notation.
     */
    [[nodiscard]] static std::optional<IpPrefix> parse(std::string_view text) noexcept;

    //! @return The block in canonical CIDR notation.
    [[nodiscard]] std::string text() const;

    //! @return The last address of the block.
    [[nodiscard]] IpAddress last() const noexcept;

    //! @return True if the address belongs to the block.
    [[nodiscard]] bool contains(const IpAddress &candidate) const noexcept;
};

} // namespace ggv
