#pragma once

#include <compare>
#include <cstdint>
#include <vector>

namespace ggv {

//! Members of a quorum; both lists are sorted and disjoint.
struct Membership
{
    std::vector<std::uint64_t> voters; //!< Members that count towards the majority.
    std::vector<std::uint64_t> learners; //!< Members that receive the log without voting.

    [[nodiscard]] auto operator<=>(const Membership &) const = default;
};

} // namespace ggv
