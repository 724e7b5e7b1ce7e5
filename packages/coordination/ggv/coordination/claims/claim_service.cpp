#include <ggv/coordination/claims/claim_service.hpp>

#include <ggv/coordination/claims/claim_state_machine.hpp>
#include <ggv/protocol/codec/claim_codec.hpp>

namespace ggv {

ClaimService::ClaimService(std::uint64_t claimant, QuorumSet &quorums, SendHandler onSend)
    : m_claimant(claimant)
    , m_quorums(quorums)
    , m_onSend(std::move(onSend))
    , m_positions(std::make_shared<const Positions>())
    , m_alive(std::make_shared<ClaimService *>(this))
{ }

std::vector<MemberId> ClaimService::membersOf(const std::vector<HostName> &voters) const
{
    std::vector<MemberId> members;
    members.reserve(voters.size());
    for (const auto &host : voters)
        members.push_back(m_quorums.memberOf(host));
    return members;
}

void ClaimService::setGroups(const std::vector<ClaimGroup> &groups)
{
    auto positions = std::make_shared<Positions>(*m_positions.load());
    for (const auto &it : groups) {
        auto &group = m_groups[it.name.text()];
        group.voters = it.voters;
        if (!group.client)
            group.client = std::make_unique<ClaimClient>(m_claimant, membersOf(it.voters));
        auto &position = (*positions)[it.name.text()];
        if (!position)
            position = std::make_shared<std::atomic<std::uint64_t>>(0);
    }
    m_positions.store(std::move(positions));
}

std::uint64_t ClaimService::seenPosition(const std::string &group) const
{
    const auto positions = m_positions.load();
    const auto it = positions->find(group);
    return it == positions->end() ? 0 : it->second->load(std::memory_order_relaxed);
}

void ClaimService::claim(const std::string &group, const ClaimRequest &request, Instant deadline,
                         OutcomeHandler onOutcome)
{
    const auto it = m_groups.find(group);
    if (it == m_groups.end()) {
        onOutcome({}, std::nullopt);
        return;
    }
    const auto id = it->second.client->claim(request, deadline, monotonicNow());
    if (!id) {
        onOutcome({}, std::nullopt);
        return;
    }
    it->second.outcomeHandlers.emplace(*id, std::move(onOutcome));
    processOutput(group, it->second);
}

void ClaimService::release(const std::string &group, const ClaimRelease &release)
{
    const auto it = m_groups.find(group);
    if (it == m_groups.end())
        return;
    it->second.client->release(release, monotonicNow());
    processOutput(group, it->second);
}

void ClaimService::complete(const std::string &group, ClaimCompletion completion)
{
    const auto it = m_groups.find(group);
    if (it == m_groups.end())
        return;
    it->second.client->complete(std::move(completion), monotonicNow());
    processOutput(group, it->second);
}

void ClaimService::processOutput(const std::string &name, Group &group)
{
    ClaimClientOutput output = group.client->takeOutput();
    const auto positions = m_positions.load();
    positions->at(name)->store(group.client->seenPosition(), std::memory_order_relaxed);
    for (const auto &it : output.outgoingCalls)
        send(name, it);
    for (auto &notification : output.notifications) {
        auto handler = group.outcomeHandlers.extract(notification.claim);
        if (!handler.empty())
            handler.mapped()(notification.claim, std::move(notification.outcome));
    }
}

void ClaimService::send(const std::string &group, const OutgoingClaimCall &send)
{
    if (send.to != m_quorums.self()) {
        const HostName host = m_quorums.hostOf(send.to);
        if (!host.empty())
            m_onSend(host, ClaimGroupCall { group, encodeClaimCall(send.call) });
        return;
    }
    handleCall(group, send.call, [alive = m_alive, group](const ClaimCallAnswer &answer) {
        if (*alive != nullptr)
            (*alive)->receive(ClaimGroupAnswer { group, encodeClaimCallAnswer(answer) });
    });
}

// Every member answers a probe from its applied state; only the leader accepts commands.
void ClaimService::handleCall(const std::string &group, const ClaimCall &call,
                              const std::function<void(ClaimCallAnswer)> &onAnswer)
{
    const auto *machine = dynamic_cast<const ClaimStateMachine *>(m_quorums.machineOf(group));
    if (machine != nullptr && std::holds_alternative<ClaimProbe>(call.command))
        onAnswer({ call.id, ResultCode::Ok, 0, machine->probeReply() });
    else
        propose(group, call, onAnswer);
}

void ClaimService::propose(const std::string &group, const ClaimCall &call,
                           std::function<void(ClaimCallAnswer)> onAnswer)
{
    auto *quorum = m_quorums.find(group);
    if (quorum == nullptr || !m_quorums.leads(group)) {
        const MemberId leader = quorum == nullptr ? 0 : quorum->status().leader;
        onAnswer({ call.id, ResultCode::NotLeader, leader, {} });
        return;
    }
    auto command = ClaimStateMachine::encodeProposal(call.command, wallClockNow());
    quorum->propose(std::move(command),
                    [id = call.id, onAnswer = std::move(onAnswer)](const Completion &completion) {
                        ClaimCallAnswer answer { id, completion.code, 0, {} };
                        if (completion.code == ResultCode::Ok)
                            answer.reply = decodeClaimReply(completion.answer);
                        onAnswer(std::move(answer));
                    });
}

void ClaimService::receive(const HostName &from, const ClaimGroupCall &call)
{
    handleCall(call.group, decodeClaimCall(call.call),
               [onSend = m_onSend, from, group = call.group](const ClaimCallAnswer &answer) {
                   onSend(from, ClaimGroupAnswer { group, encodeClaimCallAnswer(answer) });
               });
}

void ClaimService::receive(const ClaimGroupAnswer &answer)
{
    const auto it = m_groups.find(answer.group);
    if (it == m_groups.end())
        return;
    it->second.client->receive(decodeClaimCallAnswer(answer.answer), monotonicNow());
    processOutput(answer.group, it->second);
}

void ClaimService::tick(Instant now)
{
    for (auto &[name, group] : m_groups) {
        group.client->setMembers(membersOf(group.voters));
        if (group.client->nextDeadline() <= now)
            group.client->tick(now);
        processOutput(name, group);
    }
}

} // namespace ggv
