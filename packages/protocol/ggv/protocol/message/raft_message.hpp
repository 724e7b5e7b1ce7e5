#pragma once

#include <ggv/state/storage/log_store.hpp>

#include <compare>
#include <cstdint>
#include <variant>
#include <vector>

namespace ggv {

//! Identifies a quorum member: digest of host name and incarnation, so that a host that lost its
//! disk joins as a new member.
using MemberId = std::uint64_t;

//! Requests a vote, or in a pre-vote asks whether the member would grant one.
struct VoteRequest
{
    Term term = 0; //!< Term of the election; in a pre-vote, the term that the election would have.
    LogIndex lastIndex = 0;
    Term lastTerm = 0;
    bool preVote = false;

    [[nodiscard]] auto operator<=>(const VoteRequest &) const = default;
};

//! Answer to VoteRequest.
struct VoteAnswer
{
    Term term = 0;
    bool granted = false;
    bool preVote = false;

    [[nodiscard]] auto operator<=>(const VoteAnswer &) const = default;
};

//! Heartbeat and log replication from the leader.
struct AppendRequest
{
    Term term = 0;
    LogIndex previousIndex = 0;
    Term previousTerm = 0;
    LogIndex commitIndex = 0;
    std::uint64_t readRound = 0; //!< Echoed; confirms leadership for reads and leases.
    std::vector<LogEntry> entries;

    [[nodiscard]] auto operator<=>(const AppendRequest &) const = default;
};

//! Answer to AppendRequest and InstallSnapshot.
struct AppendAnswer
{
    Term term = 0;
    bool accepted = false;
    LogIndex lastIndex = 0; //!< Last replicated index if accepted, else the index to retry from.
    std::uint64_t readRound = 0;

    [[nodiscard]] auto operator<=>(const AppendAnswer &) const = default;
};

//! Transfers a complete snapshot to a member whose log is too far behind.
struct InstallSnapshot
{
    Term term = 0;
    std::uint64_t readRound = 0;
    Snapshot snapshot;

    [[nodiscard]] auto operator<=>(const InstallSnapshot &) const = default;
};

using RaftBody
    = std::variant<VoteRequest, VoteAnswer, AppendRequest, AppendAnswer, InstallSnapshot>;

//! A consensus message between two members of one quorum.
struct RaftMessage
{
    MemberId from = 0;
    MemberId to = 0;
    RaftBody body;

    [[nodiscard]] auto operator<=>(const RaftMessage &) const = default;
};

} // namespace ggv
