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
 * @brief Forwards lease requests towards the control leader, answers them there, and routes the
 * replies back along the same path. All functions must be called on the control loop.
 */
class LeaseService
{
public:
    using SendHandler = std::function<void(const HostName &, const PeerMessage &)>;
    using GrantHandler = std::function<void(const LeaseAnswer &)>;

    //! Maximum number of hosts that forward a request.
    static constexpr std::uint8_t MaxHops = 4;

    /**
     * @brief Creates the service with an empty ledger.
     * @param self Name of this host.
     * @param quorums Quorums of this host.
     * @param onSend Sends a message to another host.
     * @param onGrant Called with replies to this host's own requests.
     */
    LeaseService(HostName self, QuorumSet &quorums, SendHandler onSend, GrantHandler onGrant);

    //! Applies the budget limits of a register version.
    void setLimits(const BudgetLimits &limits);
    //! Records evidence that a host's process has stopped.
    void recordStopped(const HostName &host, Instant probeSentAt, Instant answeredAt);
    //! Handles a request of this host or of a host that has it as upstream: answers it on the
    //! control leader, else forwards it upstream. Requests without an upstream are dropped.
    void receive(const HostName &from, const LeaseCall &call, const HostName &upstream,
                 RegisterVersion newest);
    //! Forwards a reply towards the holder, or applies it if this host is the holder.
    void receive(const LeaseAnswer &answer);
    //! Returns the use of a budget according to the ledger.
    [[nodiscard]] BudgetUsage use(const BudgetKey &key, Instant now) const;

private:
    void answer(const HostName &from, const LeaseCall &call, RegisterVersion newest);
    void sendReply(const HostName &to, const LeaseAnswer &answer);

    HostName m_self;
    QuorumSet &m_quorums;
    SendHandler m_onSend;
    GrantHandler m_onGrant;
    BudgetLedger m_ledger;
    std::map<HostName, HostName>
        m_routes; //!< Holder to the host from which its last request arrived.
};

} // namespace ggv
