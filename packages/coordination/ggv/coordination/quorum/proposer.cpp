#include <ggv/coordination/quorum/proposer.hpp>

namespace ggv {

namespace {

//! Delay before a rejected command is sent again, so that an election can finish.
constexpr Duration RetryDelayAfterRejection = std::chrono::milliseconds(50);

} // namespace

Proposer::Proposer(QuorumSet &quorums, SendHandler onSend)
    : m_quorums(quorums)
    , m_onSend(std::move(onSend))
    , m_alive(std::make_shared<Proposer *>(this))
{ }

Proposer::~Proposer() { *m_alive = nullptr; }

void Proposer::propose(const std::string &group, std::vector<HostName> voters, Bytes command,
                       Instant deadline, OutcomeHandler onDone)
{
    const std::uint64_t call = ++m_lastCall;
    Pending pending { group,
                      std::move(voters),
                      std::move(command),
                      deadline,
                      Instant::min(),
                      std::move(onDone),
                      0,
                      false };
    sendAttempt(call, m_pending.emplace(call, std::move(pending)).first->second);
}

HostName Proposer::selectHost(const Pending &pending)
{
    const auto known = m_leaders.find(pending.group);
    if (known != m_leaders.end())
        return known->second;
    HostName local = m_quorums.leaderOf(pending.group);
    if (!local.empty() && pending.attempts == 0)
        return local;
    return pending.voters.empty() ? HostName()
                                  : pending.voters[pending.attempts % pending.voters.size()];
}

void Proposer::sendAttempt(std::uint64_t call, Pending &pending)
{
    pending.sentAt = monotonicNow();
    if (m_quorums.leads(pending.group)) {
        pending.mayBeAccepted = true;
        m_quorums.find(pending.group)
            ->propose(pending.command, [alive = m_alive, call](const Completion &completion) {
                if (*alive != nullptr)
                    (*alive)->onAnswer(call, completion.code, {}, completion.answer);
            });
        return;
    }
    const HostName host = selectHost(pending);
    ++pending.attempts;
    if (host.empty())
        return;
    pending.mayBeAccepted = true;
    m_onSend(host, ProposeCall { pending.group, call, pending.command });
}

void Proposer::receive(const HostName &from, const ProposeCall &call)
{
    auto *quorum = m_quorums.find(call.group);
    if (quorum == nullptr || !m_quorums.leads(call.group)) {
        m_onSend(
            from,
            ProposeAnswer { call.call, ResultCode::NotLeader, m_quorums.leaderOf(call.group), {} });
        return;
    }
    quorum->propose(call.command,
                    [onSend = m_onSend, from, id = call.call](const Completion &completion) {
                        onSend(from, ProposeAnswer { id, completion.code, {}, completion.answer });
                    });
}

void Proposer::receive(const ProposeAnswer &answer)
{
    onAnswer(answer.call, answer.code, answer.leader, answer.answer);
}

void Proposer::onAnswer(std::uint64_t call, ResultCode code, const HostName &leader, Bytes answer)
{
    const auto it = m_pending.find(call);
    if (it == m_pending.end())
        return;
    auto &pending = it->second;
    if (code == ResultCode::Ok) {
        finish(call, { ResultCode::Ok, std::move(answer) });
        return;
    }
    if (leader.empty())
        m_leaders.erase(pending.group);
    else
        m_leaders[pending.group] = leader;
    if (!leader.empty() && pending.attempts <= pending.voters.size()) {
        sendAttempt(call, pending);
        return;
    }
    pending.sentAt = monotonicNow() - ResendAfter + RetryDelayAfterRejection;
}

void Proposer::finish(std::uint64_t call, const ProposalOutcome &outcome)
{
    const auto it = m_pending.find(call);
    auto onDone = std::move(it->second.onDone);
    m_pending.erase(it);
    onDone(outcome);
}

void Proposer::tick(Instant now)
{
    std::vector<std::uint64_t> due;
    std::vector<std::uint64_t> expired;
    for (const auto &[call, pending] : m_pending) {
        if (now >= pending.deadline)
            expired.push_back(call);
        else if (now - pending.sentAt >= ResendAfter)
            due.push_back(call);
    }
    for (const auto call : expired) {
        const bool unknown = m_pending.at(call).mayBeAccepted;
        finish(call, { unknown ? ResultCode::ChangeOutcomeUnknown : ResultCode::NoQuorum, {} });
    }
    for (const auto call : due) {
        const auto it = m_pending.find(call);
        if (it == m_pending.end())
            continue;
        m_leaders.erase(it->second.group);
        sendAttempt(call, it->second);
    }
}

} // namespace ggv
