#pragma once

#include <ggv/protocol/message/raft_message.hpp>
#include <ggv/state/budget/budget.hpp>
#include <ggv/state/core/ids.hpp>
#include <ggv/state/core/result_code.hpp>

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace ggv {

//! Drawn when a process starts; a later process of the same host has a higher one.
using ProcessId = std::uint64_t;

//! First message on a connection, from both ends.
struct Hello
{
    std::uint32_t wireVersion = 0;
    HostName host;
    ProcessId process = 0;
    MemberId member = 0; //!< Its identity in quorums if it has a data folder, else 0.
    Bytes nonce; //!< The peer proves the shared secret over it.

    [[nodiscard]] auto operator<=>(const Hello &) const = default;
};

//! Second message on a connection, from both ends.
struct HelloProof
{
    Bytes proof;

    [[nodiscard]] auto operator<=>(const HelloProof &) const = default;
};

//! A consensus message of one quorum.
struct GroupMessage
{
    std::string group; //!< Empty: the control quorum; else the name of a claim group.
    RaftMessage message;

    [[nodiscard]] auto operator<=>(const GroupMessage &) const = default;
};

//! Asks a member of a quorum to propose a command; only the leader does.
struct ProposeCall
{
    std::string group;
    std::uint64_t call = 0; //!< Echoed in the answer.
    Bytes command;

    [[nodiscard]] auto operator<=>(const ProposeCall &) const = default;
};

//! Answer to ProposeCall.
struct ProposeAnswer
{
    std::uint64_t call = 0;
    ResultCode code = ResultCode::Ok;
    HostName leader; //!< Known leader; may be empty.
    Bytes answer; //!< Of the state machine.

    [[nodiscard]] auto operator<=>(const ProposeAnswer &) const = default;
};

//! Tells what a host has in force and asks for what is newer.
struct ConfigurationRequest
{
    RegisterVersion version = 0;

    [[nodiscard]] auto operator<=>(const ConfigurationRequest &) const = default;
};

//! Consecutive changes from the version that was asked about, or a whole register.
struct ConfigurationUpdate
{
    RegisterVersion from = 0; //!< 0: whole register.
    RegisterVersion to = 0;
    Bytes content; //!< Encoded delta or register.
    bool confirmed
        = false; //!< A majority confirmed recently that nothing newer was accepted before.

    [[nodiscard]] auto operator<=>(const ConfigurationUpdate &) const = default;
};

//! What a host says about itself; relays pass it on towards the control leader.
struct HostReport
{
    HostName host;
    ProcessId process = 0;
    std::uint64_t sequence = 0; //!< Rises within one process.
    RegisterVersion version = 0; //!< In force.
    bool leaving = false;

    [[nodiscard]] auto operator<=>(const HostReport &) const = default;
};

//! Reports of a host and of those below it.
struct HostReports
{
    std::vector<HostReport> reports;

    [[nodiscard]] auto operator<=>(const HostReports &) const = default;
};

//! How the control leader sees a host.
enum class HostState : std::uint8_t {
    Live,
    Leaving,
    Unreachable, //!< No report for a while.
    Stopped, //!< Its own operating system says that its process is gone.
};

//! A host that is not simply live with the newest version.
struct HostException
{
    HostName host;
    HostState state = HostState::Live;
    RegisterVersion version = 0; //!< Last one reported to be in force.

    [[nodiscard]] auto operator<=>(const HostException &) const = default;
};

//! The control leader's view of all hosts; every host that is not listed is live and up to date.
struct MembershipView
{
    Term term = 0;
    std::uint64_t sequence = 0; //!< Rises within a term.
    RegisterVersion version = 0; //!< Newest accepted version.
    HostName leader;
    std::vector<HostException> exceptions;

    [[nodiscard]] auto operator<=>(const MembershipView &) const = default;
};

//! Lease request on its way to the control leader.
struct LeaseCall
{
    LeaseRequest request;
    std::uint8_t hops = 0; //!< Hosts that passed it on; bounded so that it cannot circulate.

    [[nodiscard]] auto operator<=>(const LeaseCall &) const = default;
};

//! Lease grant on its way back to its holder.
struct LeaseAnswer
{
    HostName holder;
    LeaseGrant grant;
    RegisterVersion version = 0; //!< Newest accepted when the leader read the request.

    [[nodiscard]] auto operator<=>(const LeaseAnswer &) const = default;
};

//! Command for a claim group on its way to a member of the group.
struct ClaimGroupCall
{
    std::string group;
    Bytes call; //!< Encoded ClaimCall.

    [[nodiscard]] auto operator<=>(const ClaimGroupCall &) const = default;
};

//! Answer to ClaimGroupCall.
struct ClaimGroupAnswer
{
    std::string group;
    Bytes answer; //!< Encoded ClaimCallAnswer.

    [[nodiscard]] auto operator<=>(const ClaimGroupAnswer &) const = default;
};

//! Every message between hosts of the system; the order is part of the wire format.
using PeerMessage
    = std::variant<Hello, HelloProof, GroupMessage, ProposeCall, ProposeAnswer,
                   ConfigurationRequest, ConfigurationUpdate, HostReports, MembershipView,
                   LeaseCall, LeaseAnswer, ClaimGroupCall, ClaimGroupAnswer>;

} // namespace ggv
