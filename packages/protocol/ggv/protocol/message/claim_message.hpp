#pragma once

#include <ggv/protocol/message/raft_message.hpp>
#include <ggv/state/claim/claim_table.hpp>

#include <compare>
#include <cstdint>
#include <variant>

namespace ggv {

//! Asks a member of a claim group for the position that it has applied; needs no log entry.
struct ClaimProbe
{
    [[nodiscard]] auto operator<=>(const ClaimProbe &) const noexcept = default;
};

//! What an entry host asks of a claim group.
using ClaimCommand = std::variant<ClaimRequest, ClaimCompletion, ClaimRelease, ClaimProbe>;

//! A command as it stands in the group's log.
struct ClaimLogEntry
{
    UnixMillis time = 0; //!< Of the leader that proposed it.
    ClaimCommand command;

    [[nodiscard]] auto operator<=>(const ClaimLogEntry &) const = default;
};

//! Answer to a completion, release or probe.
struct ClaimSettlement
{
    bool accepted = false; //!< Return value of ClaimTable::complete() or release().

    [[nodiscard]] auto operator<=>(const ClaimSettlement &) const noexcept = default;
};

//! What a claim group answers to a committed command.
struct ClaimReply
{
    std::uint64_t position = 0; //!< ClaimTable::position() after the command.
    std::variant<ClaimOutcome, ClaimSettlement> content;

    [[nodiscard]] auto operator<=>(const ClaimReply &) const = default;
};

//! Names a call; unique over processes, so that no answer is taken for another call's.
struct ClaimCallId
{
    std::uint64_t process = 0; //!< Random number that the calling process drew when it started.
    std::uint64_t sequence = 0;

    [[nodiscard]] auto operator<=>(const ClaimCallId &) const noexcept = default;
};

//! Sends a command to a member of a claim group; sent again unchanged, it has the same id.
struct ClaimCall
{
    ClaimCallId id;
    ClaimCommand command;

    [[nodiscard]] auto operator<=>(const ClaimCall &) const = default;
};

//! Answer to a call.
struct ClaimCallAnswer
{
    ClaimCallId id;
    ResultCode code = ResultCode::Ok; //!< Ok, NotLeader or ChangeOutcomeUnknown.
    MemberId leader = 0; //!< NotLeader: who leads; 0: not known.
    ClaimReply reply; //!< Ok only.

    [[nodiscard]] auto operator<=>(const ClaimCallAnswer &) const = default;
};

} // namespace ggv
