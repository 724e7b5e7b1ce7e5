#pragma once

#include <ggv/state/model/entities.hpp>
#include <ggv/state/model/ip_address.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace ggv {

/**
 * @brief Finds the longest client block that contains an address.
 *
 * Nested blocks are flattened into disjoint address ranges when the index is built, so that one
 * binary search answers; a directory over the first 16 bits narrows it for IPv4.
 */
class ClientBlockIndex
{
public:
    //! Position in nearestDomains().
    using DomainIndex = std::uint16_t;

    /**
     * @brief Builds the index.
     * @param blocks Valid blocks without duplicates, in any order.
     * @return The index.
     * @throws Error RegisterInvalid if the blocks name more domains than DomainIndex can number.
     */
    [[nodiscard]] static ClientBlockIndex build(const std::vector<ClientBlock> &blocks);

    /**
     * @brief Finds the domain nearest to a client.
     * @param client Address of the client.
     * @return Position in nearestDomains(); nothing if no block contains the address.
     */
    [[nodiscard]] std::optional<DomainIndex> find(const IpAddress &client) const noexcept;

    //! @return The domains that blocks name.
    [[nodiscard]] const std::vector<FailureDomainName> &nearestDomains() const noexcept
    {
        return m_domains;
    }

    //! @return Disjoint address ranges of both families.
    [[nodiscard]] std::size_t rangeCount() const noexcept;

    //! @return Heap memory that the index uses.
    [[nodiscard]] std::size_t memoryBytes() const noexcept;

private:
    struct Ipv6Start
    {
        std::uint64_t high = 0;
        std::uint64_t low = 0;

        [[nodiscard]] auto operator<=>(const Ipv6Start &) const = default;
    };

    // Range i reaches from starts[i] to the address before starts[i + 1].
    template <typename Start>
    struct RangeTable
    {
        std::vector<Start> starts;
        std::vector<DomainIndex> owners;
    };

    class Builder;

    RangeTable<std::uint32_t> m_ipv4;
    RangeTable<Ipv6Start> m_ipv6;
    std::vector<std::uint32_t>
        m_directory; // First range that starts at or after each 16-bit prefix.
    std::vector<FailureDomainName> m_domains;
};

} // namespace ggv
