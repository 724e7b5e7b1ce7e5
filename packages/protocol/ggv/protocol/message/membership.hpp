#pragma once

#include <compare>
#include <cstdint>
#include <vector>

namespace ggv {

//! Members of a quorum; both lists are sorted and have no member in common.
struct Membership
{
    std::vector<std::uint64_t> voters; //!< Members whose majority decides.
    std::vector<std::uint64_t> learners; //!< Members that only receive the log.

    [[nodiscard]] auto operator<=>(const Membership &) const = default;
};

} // namespace ggv
