#pragma once

#include <ggv/coordination/quorum/quorum_set.hpp>

#include <functional>
#include <map>

namespace ggv {

//! Result of a proposed command.
struct ProposalOutcome
{
    ResultCode code
        = ResultCode::Ok; //!< Ok, NoQuorum (certainly not accepted), ChangeOutcomeUnknown.
    Bytes answer; //!< Reply of the state machine.

    [[nodiscard]] auto operator<=>(const ProposalOutcome &) const = default;
};

/**
 * @brief Forwards commands to the leader of a quorum, on this or another host, and retries until
 * their deadline.
 *
 * A command may be applied more than once; state machines deduplicate by the id that it contains.
 * All functions must be called on the control loop, tick() at regular intervals.
 */
class Proposer
{
public:
    using OutcomeHandler = std::function<void(const ProposalOutcome &)>;
    using SendHandler = std::function<void(const HostName &, const PeerMessage &)>;

    //! Time without a reply after which a command is sent again.
    static constexpr Duration ResendAfter = std::chrono::milliseconds(600);

    /**
     * @brief Creates a proposer without pending commands.
     * @param quorums Quorums of this host.
     * @param onSend Sends a message to another host.
     */
    Proposer(QuorumSet &quorums, SendHandler onSend);
    ~Proposer();

    /**
     * @brief Proposes a command.
     * @param group Name of the quorum.
     * @param voters Hosts of the quorum.
     * @param command The command, which contains an id that makes it idempotent.
     * @param deadline Time after which the command is no longer sent.
     * @param onDone Called once, with the result.
     */
    void propose(const std::string &group, std::vector<HostName> voters, Bytes command,
                 Instant deadline, OutcomeHandler onDone);
    //! Handles a call from another host: proposes the command if this host leads the quorum, else
    //! replies with the leader.
    void receive(const HostName &from, const ProposeCall &call);
    //! Handles a reply from another host.
    void receive(const ProposeAnswer &answer);
    //! Advances timers: resends commands without a reply and fails those past their deadline.
    void tick(Instant now);

private:
    struct Pending
    {
        std::string group;
        std::vector<HostName> voters;
        Bytes command;
        Instant deadline {};
        Instant sentAt = Instant::min();
        OutcomeHandler onDone;
        std::size_t attempts = 0;
        bool mayBeAccepted = false;
    };

    void sendAttempt(std::uint64_t call, Pending &pending);
    void finish(std::uint64_t call, const ProposalOutcome &outcome);
    void onAnswer(std::uint64_t call, ResultCode code, const HostName &leader, Bytes answer);
    [[nodiscard]] HostName selectHost(const Pending &pending);

    QuorumSet &m_quorums;
    SendHandler m_onSend;
    std::map<std::uint64_t, Pending> m_pending;
    std::map<std::string, HostName> m_leaders; //!< Last known leaders on other hosts, by quorum.
    std::uint64_t m_lastCall = 0;
    std::shared_ptr<Proposer *>
        m_alive; //!< Reset to null by the destructor; completions may run later.
};

} // namespace ggv
