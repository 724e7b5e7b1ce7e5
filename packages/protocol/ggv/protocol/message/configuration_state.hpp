#pragma once

#include <ggv/protocol/message/change_message.hpp>

#include <compare>
#include <vector>

namespace ggv {

//! An answered change, retained so that a resent change receives the same answer.
struct AnsweredChange
{
    ChangeId id;
    std::uint64_t digest = 0;
    ChangeAnswer answer;

    [[nodiscard]] auto operator<=>(const AnsweredChange &) const = default;
};

//! Complete state of the control quorum's state machine.
struct ConfigurationState
{
    Bytes content; //!< Encoded Register.
    std::vector<AnsweredChange> answered; //!< Ordered from oldest to newest.

    [[nodiscard]] auto operator<=>(const ConfigurationState &) const = default;
};

} // namespace ggv
