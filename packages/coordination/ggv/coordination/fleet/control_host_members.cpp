#include <ggv/coordination/fleet/control_host_implementation.hpp>
#include <ggv/coordination/node/host_identity.hpp>
#include <ggv/protocol/codec/fleet_codec.hpp>
#include <ggv/state/log/event_log.hpp>

#include <algorithm>
#include <utility>

namespace ggv {

// Every control host is told: any of them may lead before the removal is committed.
void ControlHost::Implementation::beginShutdown()
{
    m_isLeaving = true;
    observeSelf();
    sendToControlHosts(ownReport());
}

bool ControlHost::Implementation::awaitsRemoval() const
{
    return m_isLeaving
        && ggv::awaitsRemoval(m_quorum->status(), m_setup.self.member, m_setup.toleratedFailures);
}

// Heartbeats wait behind a large configuration or snapshot on the same connection.
void ControlHost::Implementation::observeTransfers()
{
    for (const auto &[id, session] : m_sessions) {
        if (session.report && session.connection->isReceivingFrame())
            m_quorum->observeTransfer(session.report->host.member);
    }
    const auto status = m_quorum->status();
    if (status.role != RaftRole::Leader)
        return;
    for (const auto &members : { status.voters, status.learners }) {
        for (const MemberId member : members) {
            const auto endpoint = endpointOf(member);
            if (endpoint && m_mesh.isSending(*endpoint))
                m_quorum->observeTransfer(member);
        }
    }
}

std::set<Endpoint> ControlHost::Implementation::peers(Instant now) const
{
    std::set<Endpoint> endpoints(m_setup.seeds.begin(), m_setup.seeds.end());
    for (const auto &host : m_directory.alive(HostRole::Control, now))
        endpoints.insert(host.internal);
    for (const auto &it : m_stateMachine.state().members) {
        if (isMember(it.member))
            endpoints.insert(it.internal);
    }
    endpoints.erase(m_setup.self.internal);
    return endpoints;
}

bool ControlHost::Implementation::isMember(MemberId member) const
{
    const auto status = m_quorum->status();
    return std::find(status.voters.begin(), status.voters.end(), member) != status.voters.end()
        || std::find(status.learners.begin(), status.learners.end(), member)
        != status.learners.end();
}

std::optional<Endpoint> ControlHost::Implementation::endpointOf(MemberId member) const
{
    if (const auto seen = m_directory.findMember(member, monotonicNow()))
        return seen->host.internal;
    for (const auto &it : m_stateMachine.state().members) {
        if (it.member == member)
            return it.internal;
    }
    for (const auto &seed : m_setup.seeds) {
        if (memberIdOf(HostName(seed.address), FirstIncarnation) == member)
            return seed;
    }
    return std::nullopt;
}

void ControlHost::Implementation::sendRaftMessage(RaftMessage message)
{
    if (const auto endpoint = endpointOf(message.to))
        m_mesh.send(*endpoint, QuorumEnvelope { std::move(message) });
}

void ControlHost::Implementation::reconcileMembers(Instant now)
{
    auto status = m_quorum->status();
    m_reconciler.observeLeader(status.leader, m_pauses.runningSince(), now);
    if (!m_quorum->hasLeaderLease())
        return;
    const MembershipSize size { status.voters.size(), status.learners.size() };
    const auto step = m_reconciler.nextStep(std::move(status), m_stateMachine.state().members,
                                            m_directory.reportingHosts(now), now);
    if (!step)
        return;
    logMembershipStep(*step, size);
    carryOut(*step);
}

void ControlHost::Implementation::logMembershipStep(const MembershipStep &step,
                                                    const MembershipSize &size)
{
    logEvent(LogLevel::Info, "membership-step",
             { { "step", membershipStepName(step.kind) },
               { "reason", membershipStepReasonName(step.reason) },
               { "member", step.member },
               { "address", step.internal.address },
               { "voters", size.voters },
               { "learners", size.learners } });
}

void ControlHost::Implementation::carryOut(const MembershipStep &step)
{
    switch (step.kind) {
    case MembershipStepKind::Register:
        m_quorum->propose(encodeFleetCommand(RegisterMember { step.member, step.internal }),
                          [](const Completion &) {});
        break;
    case MembershipStepKind::Add:
        m_quorum->addMember(step.member);
        break;
    case MembershipStepKind::Remove:
        m_quorum->removeMember(step.member);
        break;
    }
}

} // namespace ggv
