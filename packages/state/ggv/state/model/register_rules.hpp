#pragma once

#include <ggv/state/model/register.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ggv {

//! Kinds of entities in a register.
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

//! Number of entity kinds.
inline constexpr std::size_t EntityKindCount = static_cast<std::size_t>(EntityKind::Platform) + 1;

//! Entities to validate: for each kind either all entities or those at given positions.
class ContentScope
{
public:
    /**
     * @brief Restricts validation of a kind to some of its entities.
     * @param kind The kind; its list must not contain duplicate keys.
     * @param positions Positions of the entities to validate.
     */
    void limit(EntityKind kind, std::vector<std::size_t> positions);

    //! Removes the restriction for a kind, so that all of its entities are validated.
    void includeAll(EntityKind kind) noexcept;

    //! @return Positions of the entities to validate; std::nullopt to validate all of this kind.
    [[nodiscard]] const std::optional<std::vector<std::size_t>> &
    positions(EntityKind kind) const noexcept;

private:
    std::array<std::optional<std::vector<std::size_t>>, EntityKindCount> m_positions;
};

//! Violation of a validation rule by an entity.
struct ContentFault
{
    EntityKind kind = EntityKind::Region;
    std::size_t index = 0; //!< Position in the list of this kind.
    std::string_view field; //!< Key in the register file; empty if it concerns the whole entity.
    std::string message;

    [[nodiscard]] auto operator<=>(const ContentFault &) const = default;
};

//! Maximum number of voters of a quorum.
inline constexpr std::size_t MaximumVoters = 9;
//! Maximum length of a name.
inline constexpr std::size_t MaximumNameLength = 64;
//! Maximum default deadline of a service.
inline constexpr Duration MaximumDeadline = std::chrono::hours(1);
//! Maximum one-way delay of a link.
inline constexpr Duration MaximumLinkDelay = std::chrono::seconds(10);
//! Maximum number of slots and connections, and maximum value of rates.
inline constexpr std::uint32_t MaximumCount = 10'000'000;
//! Maximum of body and exchange sizes.
inline constexpr std::uint64_t MaximumBodyBytes = std::uint64_t { 1 } << 40U;

/**
 * @brief Checks all rules that apply within one version of the register.
 * @param content Content to validate; lists may be in any order.
 * @param scope Entities to validate.
 * @return All faults, grouped by kind in the order of EntityKind.
 */
[[nodiscard]] std::vector<ContentFault> checkContent(const RegisterContent &content,
                                                     const ContentScope &scope = {});

} // namespace ggv
