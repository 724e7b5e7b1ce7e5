#pragma once

#include <ggv/protocol/codec/detail/pack.hpp>
#include <ggv/protocol/message/membership.hpp>
#include <ggv/protocol/message/raft_message.hpp>

namespace ggv::detail {

template <>
struct Fields<LogEntry>
{
    static constexpr auto List
        = std::tuple(&LogEntry::index, &LogEntry::term, &LogEntry::kind, &LogEntry::payload);
};

template <>
struct Fields<Snapshot>
{
    static constexpr auto List
        = std::tuple(&Snapshot::index, &Snapshot::term, &Snapshot::members, &Snapshot::state);
};

template <>
struct Fields<VoteRequest>
{
    static constexpr auto List = std::tuple(&VoteRequest::term, &VoteRequest::lastIndex,
                                            &VoteRequest::lastTerm, &VoteRequest::preVote);
};

template <>
struct Fields<VoteAnswer>
{
    static constexpr auto List
        = std::tuple(&VoteAnswer::term, &VoteAnswer::granted, &VoteAnswer::preVote);
};

template <>
struct Fields<AppendRequest>
{
    static constexpr auto List = std::tuple(
        &AppendRequest::term, &AppendRequest::previousIndex, &AppendRequest::previousTerm,
        &AppendRequest::commitIndex, &AppendRequest::readRound, &AppendRequest::entries);
};

template <>
struct Fields<AppendAnswer>
{
    static constexpr auto List = std::tuple(&AppendAnswer::term, &AppendAnswer::accepted,
                                            &AppendAnswer::lastIndex, &AppendAnswer::readRound);
};

template <>
struct Fields<InstallSnapshot>
{
    static constexpr auto List = std::tuple(&InstallSnapshot::term, &InstallSnapshot::readRound,
                                            &InstallSnapshot::snapshot);
};

template <>
struct Fields<RaftMessage>
{
    static constexpr auto List
        = std::tuple(&RaftMessage::from, &RaftMessage::to, &RaftMessage::body);
};

template <>
struct Fields<Membership>
{
    static constexpr auto List = std::tuple(&Membership::voters, &Membership::learners);
};

} // namespace ggv::detail
