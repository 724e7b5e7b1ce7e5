#pragma once

#include <ggv/protocol/message/raft_message.hpp>
#include <ggv/state/claim/claim_table.hpp>

#include <compare>
#include <cstdint>
#include <variant>

namespace ggv {

//! Queries the applied position of a claim group member; does not create a log entry.
struct ClaimProbe
{
    [[nodiscard]] auto operator<=>(const ClaimProbe &) const noexcept = default;
};

//! Command that an entry host sends to a claim group.
using ClaimCommand = std::variant<ClaimRequest, ClaimCompletion, ClaimRelease, ClaimProbe>;

//! Log entry of a claim group.
struct ClaimLogEntry
{
    UnixMillis time = 0; //!< Clock of the leader that proposed the entry.
    ClaimCommand command;

    [[nodiscard]] auto operator<=>(const ClaimLogEntry &) const = default;
};

//! Answer to a completion, release or probe.
struct ClaimSettlement
{
    bool accepted = false; //!< Return value of ClaimTable::complete() or release().

    [[nodiscard]] auto operator<=>(const ClaimSettlement &) const noexcept = default;
};

//! Result of a committed claim command.
struct ClaimReply
{
    std::uint64_t position = 0; //!< ClaimTable::position() after the command.
    std::variant<ClaimOutcome, ClaimSettlement> content;

    [[nodiscard]] auto operator<=>(const ClaimReply &) const = default;
};

//! Identifies a call; unique across processes, so that an answer cannot match another call.
struct ClaimCallId
{
    std::uint64_t process = 0; //!< Random number generated when the calling process starts.
    std::uint64_t sequence = 0;

    [[nodiscard]] auto operator<=>(const ClaimCallId &) const noexcept = default;
};

//! Sends a command to a member of a claim group; a retransmission carries the same id.
struct ClaimCall
{
    ClaimCallId id;
    ClaimCommand command;

    [[nodiscard]] auto operator<=>(const ClaimCall &) const = default;
};

//! Answer to a ClaimCall.
struct ClaimCallAnswer
{
    ClaimCallId id;
    ResultCode code = ResultCode::Ok; //!< Ok, NotLeader or ChangeOutcomeUnknown.
    MemberId leader = 0; //!< Current leader if the code is NotLeader; 0 if unknown.
    ClaimReply reply; //!< Valid only if the code is Ok.

    [[nodiscard]] auto operator<=>(const ClaimCallAnswer &) const = default;
};

} // namespace ggv
