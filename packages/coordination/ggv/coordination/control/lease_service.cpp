#include <ggv/coordination/control/lease_service.hpp>

namespace ggv {

LeaseService::LeaseService(HostName self, QuorumSet &quorums, SendHandler onSend,
                           GrantHandler onGrant)
    : m_self(std::move(self))
    , m_quorums(quorums)
    , m_onSend(std::move(onSend))
    , m_onGrant(std::move(onGrant))
    , m_ledger(BudgetLedger::create(BudgetTiming {}).value())
{ }

void LeaseService::setLimits(const BudgetLimits &limits) { m_ledger.setLimits(limits); }

void LeaseService::recordStopped(const HostName &host, Instant probeSentAt, Instant answeredAt)
{
    m_ledger.recordStopped({ host, probeSentAt, answeredAt });
}

void LeaseService::receive(const HostName &from, const LeaseCall &call, const HostName &upstream,
                           RegisterVersion newest)
{
    if (m_quorums.leads(std::string(ControlGroup))) {
        answer(from, call, newest);
        return;
    }
    if (upstream.empty() || upstream == from || call.hops >= MaxHops)
        return;
    m_routes[call.request.holder] = from;
    LeaseCall forwarded = call;
    ++forwarded.hops;
    m_onSend(upstream, forwarded);
}

void LeaseService::answer(const HostName &from, const LeaseCall &call, RegisterVersion newest)
{
    const auto *quorum = m_quorums.find(std::string(ControlGroup));
    // The clock is read before the leader lease is checked: a process that was suspended in between
    // must not grant leases.
    const Instant receivedAt = monotonicNow();
    const GrantorAuthority authority { quorum->hasLeaderLease(), quorum->status().term };
    if (auto grant = m_ledger.answer(call.request, receivedAt, authority))
        sendReply(from, { call.request.holder, std::move(*grant), newest });
}

void LeaseService::receive(const LeaseAnswer &answer)
{
    if (answer.holder == m_self) {
        m_onGrant(answer);
        return;
    }
    if (const auto it = m_routes.find(answer.holder); it != m_routes.end())
        sendReply(it->second, answer);
}

void LeaseService::sendReply(const HostName &to, const LeaseAnswer &answer)
{
    if (to == m_self)
        m_onGrant(answer);
    else
        m_onSend(to, answer);
}

BudgetUsage LeaseService::use(const BudgetKey &key, Instant now) const
{
    return m_ledger.use(key, now);
}

} // namespace ggv
