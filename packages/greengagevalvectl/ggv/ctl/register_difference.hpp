#pragma once

#include <ggv/state/model/register.hpp>

#include <string>
#include <vector>

namespace ggv {

//! Kind of difference of an entity.
enum class DifferenceKind : std::uint8_t { Added, Changed, Removed };

//! An entity that differs between two registers.
struct Difference
{
    DifferenceKind kind = DifferenceKind::Added;
    std::string entity; //!< Kind of entity as named in a register file.
    std::string key; //!< Key of the entity, unique among its kind.

    [[nodiscard]] auto operator<=>(const Difference &) const = default;
};

//! @return "added", "changed" or "removed".
[[nodiscard]] const char *differenceName(DifferenceKind kind) noexcept;

/**
 * @brief Lists the differences in the order of the register file's sections.
 * @param from The older register.
 * @param to The newer register.
 * @return The differences; empty if both registers have equal content.
 */
[[nodiscard]] std::vector<Difference> listDifferences(const Register &from, const Register &to);

} // namespace ggv
