#pragma once

#include <ggv/state/model/entities.hpp>
#include <ggv/state/model/ip_address.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace ggv {

/**
 * @brief Longest-prefix index over client blocks.
 *
 * Nested blocks are flattened into disjoint address ranges when the index is built, so that a
 * look-up is one binary search. For IPv4, a directory over the first 16 bits narrows the search.
 */
class ClientBlockIndex
{
public:
    //! Index into nearestDomains().
    using DomainIndex = std::uint16_t;

    /**
     * @brief Builds the index.
     * @param blocks Valid blocks without duplicates, in any order.
     * @throws Error RegisterInvalid if the blocks name more domains than DomainIndex can represent.
     */
    [[nodiscard]] static ClientBlockIndex build(const std::vector<ClientBlock> &blocks);

    /**
     * @brief Finds the nearest domain of a client.
     * @param client Address of the client.
     * @return Index into nearestDomains(), or std::nullopt if no block contains the address.
     */
    [[nodiscard]] std::optional<DomainIndex> find(const IpAddress &client) const noexcept;

    //! @return All domains that the blocks name as nearest.
    [[nodiscard]] const std::vector<FailureDomainName> &nearestDomains() const noexcept
    {
        return m_domains;
    }

    //! @return Number of disjoint address ranges of both families.
    [[nodiscard]] std::size_t rangeCount() const noexcept;

    //! @return Heap memory used by the index, in bytes.
    [[nodiscard]] std::size_t memoryBytes() const noexcept;

private:
    struct Ipv6Start
    {
        std::uint64_t high = 0;
        std::uint64_t low = 0;

        [[nodiscard]] auto operator<=>(const Ipv6Start &) const = default;
    };

    // Range i extends from starts[i] to the address before starts[i + 1].
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
        m_directory; // Index of the first range that starts at or after each 16-bit prefix.
    std::vector<FailureDomainName> m_domains;
};

} // namespace ggv
