#pragma once

#include <ggv/coordination/quorum/quorum_set.hpp>

#include <functional>
#include <map>

namespace ggv {

//! What became of a command.
struct ProposalOutcome
{
    ResultCode code
        = ResultCode::Ok; //!< Ok, NoQuorum (certainly not accepted), ChangeOutcomeUnknown.
    Bytes answer; //!< Of the state machine.

    [[nodiscard]] auto operator<=>(const ProposalOutcome &) const = default;
};

/**
 * @brief Brings commands to the leader of a quorum, wherever it is, until their deadline.
 *
 * A command may arrive more than once; state machines recognise it by the id in it. Belongs to the
 * control loop; tick() is called regularly.
 */
class Proposer
{
public:
    using OutcomeHandler = std::function<void(const ProposalOutcome &)>;
    using SendHandler = std::function<void(const HostName &, const PeerMessage &)>;

    //! A command without an answer is sent again after this long.
    static constexpr Duration ResendAfter = std::chrono::milliseconds(600);

    //! @param quorums Quorums of this host. @param onSend Sends to another host.
    Proposer(QuorumSet &quorums, SendHandler onSend);
    ~Proposer();

    /**
     * @brief Proposes a command.
     * @param group The quorum.
     * @param voters Hosts of the quorum.
     * @param command The command; it carries an id that makes it idempotent.
     * @param deadline When to give up.
     * @param onDone Called once.
     */
    void propose(const std::string &group, std::vector<HostName> voters, Bytes command,
                 Instant deadline, OutcomeHandler onDone);
    //! Handles a call from another host, as leader.
    void receive(const HostName &from, const ProposeCall &call);
    //! Handles an answer from another host.
    void receive(const ProposeAnswer &answer);
    //! Sends again and gives up what is due.
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

    void attempt(std::uint64_t call, Pending &pending);
    void finish(std::uint64_t call, const ProposalOutcome &outcome);
    void answered(std::uint64_t call, ResultCode code, const HostName &leader, Bytes answer);
    [[nodiscard]] HostName nextHost(const Pending &pending);

    QuorumSet &m_quorums;
    SendHandler m_onSend;
    std::map<std::uint64_t, Pending> m_pending;
    std::map<std::string, HostName> m_leaders; //!< Last known leader of quorums elsewhere.
    std::uint64_t m_lastCall = 0;
    std::shared_ptr<Proposer *> m_alive; //!< Completions may outlive this object.
};

} // namespace ggv
