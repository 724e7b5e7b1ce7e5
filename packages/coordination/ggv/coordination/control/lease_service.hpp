#pragma once

#include <ggv/coordination/quorum/quorum_set.hpp>
#include <ggv/protocol/message/peer_message.hpp>
#include <ggv/state/budget/budget_ledger.hpp>
#include <ggv/state/core/time.hpp>

#include <functional>
#include <map>
#include <memory>

namespace ggv {

/**
 * @brief Passes lease calls towards the control leader, answers them there, and brings the answers
 * back the same way. Belongs to the control loop.
 */
class LeaseService
{
public:
    using SendHandler = std::function<void(const HostName &, const PeerMessage &)>;
    using GrantHandler = std::function<void(const LeaseAnswer &)>;

    //! Most hosts that may pass a call on.
    static constexpr std::uint8_t MaxHops = 4;

    /**
     * @brief Creates the desk.
     * @param self This host.
     * @param quorums Quorums of this host.
     * @param onSend Sends to another host.
     * @param onGrant Takes answers to this host's own requests.
     */
    LeaseService(HostName self, QuorumSet &quorums, SendHandler onSend, GrantHandler onGrant);

    //! Puts the limits of a register version in force.
    void setLimits(const BudgetLimits &limits);
    //! Takes evidence that a host's process has stopped.
    void recordStopped(const HostName &host, Instant probeSentAt, Instant answeredAt);
    //! Handles a call of this host or of one that has attached to it.
    void receive(const HostName &from, const LeaseCall &call, const HostName &upstream,
                 RegisterVersion newest);
    //! Handles an answer on its way to the holder.
    void receive(const LeaseAnswer &answer);
    //! @return What the ledger counts for a budget.
    [[nodiscard]] BudgetUsage use(const BudgetKey &key, Instant now) const;

private:
    void answer(const HostName &from, const LeaseCall &call, RegisterVersion newest);
    void deliver(const HostName &to, const LeaseAnswer &answer);

    HostName m_self;
    QuorumSet &m_quorums;
    SendHandler m_onSend;
    GrantHandler m_onGrant;
    BudgetLedger m_ledger;
    std::map<HostName, HostName> m_routes; //!< Holder to the host that its last call came from.
};

} // namespace ggv
