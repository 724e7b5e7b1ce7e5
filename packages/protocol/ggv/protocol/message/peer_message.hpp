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

//! Identifies a process; assigned at its start, higher for each later process of the same host.
using ProcessId = std::uint64_t;

//! First message on a connection, sent by both peers.
struct Hello
{
    std::uint32_t wireVersion = 0;
    HostName host;
    ProcessId process = 0;
    MemberId member = 0; //!< Identity in quorums if the host has a data folder, otherwise 0.
    Bytes nonce; //!< Challenge; the peer computes its proof of the shared secret over it.

    [[nodiscard]] auto operator<=>(const Hello &) const = default;
};

//! Second message on a connection, sent by both peers; answers the nonce in Hello.
struct HelloProof
{
    Bytes proof;

    [[nodiscard]] auto operator<=>(const HelloProof &) const = default;
};

//! A consensus message of one quorum.
struct GroupMessage
{
    std::string group; //!< Name of the claim group; empty for the control quorum.
    RaftMessage message;

    [[nodiscard]] auto operator<=>(const GroupMessage &) const = default;
};

//! Asks a member of a quorum to propose a command; only the leader proposes it.
struct ProposeCall
{
    std::string group;
    std::uint64_t call = 0; //!< Correlation id, echoed in the answer.
    Bytes command;

    [[nodiscard]] auto operator<=>(const ProposeCall &) const = default;
};

//! Answer to ProposeCall.
struct ProposeAnswer
{
    std::uint64_t call = 0;
    ResultCode code = ResultCode::Ok;
    HostName leader; //!< Current leader; empty if unknown.
    Bytes answer; //!< Answer of the state machine.

    [[nodiscard]] auto operator<=>(const ProposeAnswer &) const = default;
};

//! Reports the version in force at a host and requests newer changes.
struct ConfigurationRequest
{
    RegisterVersion version = 0;

    [[nodiscard]] auto operator<=>(const ConfigurationRequest &) const = default;
};

//! Consecutive changes starting at the requested version, or a complete register.
struct ConfigurationUpdate
{
    RegisterVersion from = 0; //!< Base version of the delta; 0 if `content` is a complete register.
    RegisterVersion to = 0;
    Bytes content; //!< Encoded delta or register.
    bool confirmed = false; //!< A majority recently confirmed that none newer was accepted.

    [[nodiscard]] auto operator<=>(const ConfigurationUpdate &) const = default;
};

//! Status that a host reports; relays forward it towards the control leader.
struct HostStatusReport
{
    HostName host;
    ProcessId process = 0;
    std::uint64_t sequence = 0; //!< Increases within a process.
    RegisterVersion version = 0; //!< Register version in force.
    bool leaving = false;

    [[nodiscard]] auto operator<=>(const HostStatusReport &) const = default;
};

//! Reports of a host and of the hosts below it in the relay tree.
struct HostStatusReports
{
    std::vector<HostStatusReport> reports;

    [[nodiscard]] auto operator<=>(const HostStatusReports &) const = default;
};

//! State of a host as seen by the control leader.
enum class HostState : std::uint8_t {
    Live,
    Leaving,
    Unreachable, //!< No recent report.
    Stopped, //!< The host's operating system reports that the process has exited.
};

//! A host that is not live or does not have the newest version in force.
struct HostException
{
    HostName host;
    HostState state = HostState::Live;
    RegisterVersion version = 0; //!< Version last reported to be in force.

    [[nodiscard]] auto operator<=>(const HostException &) const = default;
};

//! The control leader's view of all hosts; every host that is not listed is live and up to date.
struct MembershipView
{
    Term term = 0;
    std::uint64_t sequence = 0; //!< Increases within a term.
    RegisterVersion version = 0; //!< Newest accepted version.
    HostName leader;
    std::vector<HostException> exceptions;

    [[nodiscard]] auto operator<=>(const MembershipView &) const = default;
};

//! Lease request that is forwarded to the control leader.
struct LeaseCall
{
    LeaseRequest request;
    std::uint8_t hops = 0; //!< Number of hosts that forwarded it; limited to prevent loops.

    [[nodiscard]] auto operator<=>(const LeaseCall &) const = default;
};

//! Lease grant that is forwarded back to its holder.
struct LeaseAnswer
{
    HostName holder;
    LeaseGrant grant;
    RegisterVersion version = 0; //!< Newest accepted version when the leader processed the request.

    [[nodiscard]] auto operator<=>(const LeaseAnswer &) const = default;
};

//! Claim command that is forwarded to a member of the claim group.
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

//! Message between hosts; the order of the alternatives is part of the wire format.
using PeerMessage
    = std::variant<Hello, HelloProof, GroupMessage, ProposeCall, ProposeAnswer,
                   ConfigurationRequest, ConfigurationUpdate, HostStatusReports, MembershipView,
                   LeaseCall, LeaseAnswer, ClaimGroupCall, ClaimGroupAnswer>;

} // namespace ggv
