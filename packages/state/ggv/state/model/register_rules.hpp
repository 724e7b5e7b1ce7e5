#pragma once

#include <ggv/state/model/register.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ggv {

//! The kinds of entity in a register.
enum class EntityKind : std::uint8_t {
    Region,
    FailureDomain,
    EntryHost,
    ControlVoter,
    ClaimGroup,
    Service,
    Target,
    Link,
    ClientBlock,
    ShiftCap,
    Drain,
    Platform,
};

//! Number of kinds of entity.
inline constexpr std::size_t EntityKindCount = static_cast<std::size_t>(EntityKind::Platform) + 1;

//! Entities that a check covers: all, or for some kinds only those at given positions.
class ContentScope
{
public:
    /**
     * @brief Limits the check of a kind.
     * @param kind The kind; its list has no key twice.
     * @param positions Entities to check.
     */
    void limit(EntityKind kind, std::vector<std::size_t> positions);

    //! @param kind Kind whose entities are all checked again.
    void includeAll(EntityKind kind) noexcept;

    //! @return Positions of the entities to check; nothing if all of that kind are.
    [[nodiscard]] const std::optional<std::vector<std::size_t>> &
    positions(EntityKind kind) const noexcept;

private:
    std::array<std::optional<std::vector<std::size_t>>, EntityKindCount> m_positions;
};

//! A rule that content breaks, and the entity that breaks it.
struct ContentFault
{
    EntityKind kind = EntityKind::Region;
    std::size_t index = 0; //!< Position in the list of that kind.
    std::string_view field; //!< Key in a register file; empty if the whole entity is at fault.
    std::string message;

    [[nodiscard]] auto operator<=>(const ContentFault &) const = default;
};

//! Most voters that a quorum may have.
inline constexpr std::size_t MaximumVoters = 9;
//! Longest name of any entity.
inline constexpr std::size_t MaximumNameLength = 64;
//! Longest default deadline of a service.
inline constexpr Duration MaximumDeadline = std::chrono::hours(1);
//! Longest one-way delay of a link.
inline constexpr Duration MaximumLinkDelay = std::chrono::seconds(10);
//! Largest value of slots, connections and rates.
inline constexpr std::uint32_t MaximumCount = 10'000'000;
//! Largest body and exchange sizes.
inline constexpr std::uint64_t MaximumBodyBytes = std::uint64_t { 1 } << 40U;

/**
 * @brief Checks every rule that concerns one version of the register.
 * @param content Entities in any order.
 * @param scope Entities to check.
 * @return Every fault, grouped by kind in the order of EntityKind.
 */
[[nodiscard]] std::vector<ContentFault> checkContent(const RegisterContent &content,
                                                     const ContentScope &scope = {});

} // namespace ggv
