#pragma once

#include <ggv/protocol/message/change_message.hpp>

#include <compare>
#include <vector>

namespace ggv {

//! A change that was answered, kept so that a resent one gets the same answer.
struct AnsweredChange
{
    ChangeId id;
    std::uint64_t digest = 0;
    ChangeAnswer answer;

    [[nodiscard]] auto operator<=>(const AnsweredChange &) const = default;
};

//! Whole content of the control quorum's state machine.
struct ConfigurationState
{
    Bytes content; //!< Encoded register.
    std::vector<AnsweredChange> answered; //!< Oldest first.

    [[nodiscard]] auto operator<=>(const ConfigurationState &) const = default;
};

} // namespace ggv
