#include <ggv/coordination/claims/claim_client.hpp>

#include <ggv/state/request/http_status.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace ggv {

namespace {

// A command without a reply yet.
struct PendingCall
{
    ClaimCommand command;
    Instant end; // Time at which the call is abandoned.
    Instant nextSend;
    bool refused = false; // The last attempt was rejected, so the member is reachable.

    [[nodiscard]] Instant due() const noexcept { return std::min(end, nextSend); }
};

const ClaimRequest *claimOf(const PendingCall &call) noexcept
{
    return std::get_if<ClaimRequest>(&call.command);
}

// Hosts of an earlier version stored whatever status a target sent; a response with an invalid one
// doesn't show that the request was executed.
ClaimOutcome withoutInvalidAnswer(const ClaimOutcome &outcome)
{
    const auto &answer = outcome.answer;
    const bool isInvalid = answer && answer->complete && !isValidHttpStatus(answer->status);
    return isInvalid ? ClaimOutcome { ClaimDecision::Unresolved, {} } : outcome;
}

} // namespace

class ClaimClient::Implementation
{
public:
    Implementation(std::uint64_t claimant, std::vector<MemberId> members,
                   const ClaimClientOptions &options)
        : m_options(options)
        , m_claimant(claimant)
        , m_members(std::move(members))
    { }

    void setMembers(std::vector<MemberId> members);
    [[nodiscard]] std::optional<ClaimId> claim(ClaimRequest request, Instant deadline, Instant now);
    void abandon(const ClaimId &claim, Instant now);
    void sendSettlement(ClaimCommand command, Instant now);
    void sendUntil(ClaimCommand command, Instant end, Instant now);
    void receive(const ClaimCallAnswer &answer, Instant now);
    void tick(Instant now);

    [[nodiscard]] std::uint64_t seenPosition() const noexcept { return m_seenPosition; }
    [[nodiscard]] Instant nextDeadline() const noexcept;
    [[nodiscard]] ClaimClientOutput takeOutput() { return std::exchange(m_output, {}); }
    [[nodiscard]] std::uint64_t pendingCalls() const noexcept { return m_calls.size(); }

private:
    // Keyed by sequence number; for a claim it is also the sequence number of its ClaimId.
    using Calls = std::map<std::uint64_t, PendingCall>;

    Calls::iterator addCall(std::uint64_t sequence, ClaimCommand command, Instant end, Instant now);
    void send(Calls::iterator call, Instant now);
    void resend(const std::vector<Calls::iterator> &calls, Instant now);
    void probeIfIdle(Instant now);
    [[nodiscard]] std::vector<Calls::iterator> takeDueCalls(Instant now);
    void schedule(Calls::iterator call, Instant nextSend);
    void expire(Calls::iterator call, Instant now);
    void abandonCall(Calls::iterator call, Instant now);
    void handleReply(Calls::iterator call, const ClaimReply &reply);
    void updateLeader(MemberId leader, Instant now);
    void erase(Calls::iterator call);

    ClaimClientOptions m_options;
    std::uint64_t m_claimant;
    std::vector<MemberId> m_members;
    std::size_t m_leaderIndex = 0; // Index of the presumed leader.
    std::uint64_t m_nextSequence = 1;
    std::uint64_t m_seenPosition = 0;
    std::uint64_t m_pendingClaims = 0;
    Instant m_nextProbe;
    Instant m_nextRotation;
    Calls m_calls;
    std::set<std::pair<Instant, std::uint64_t>> m_schedule; // When each call is resent or expires.
    ClaimClientOutput m_output;
};

void ClaimClient::Implementation::setMembers(std::vector<MemberId> members)
{
    const auto leader = m_members.empty() ? 0 : m_members[m_leaderIndex];
    m_members = std::move(members);
    const auto it = std::find(m_members.begin(), m_members.end(), leader);
    m_leaderIndex = it == m_members.end() ? 0 : static_cast<std::size_t>(it - m_members.begin());
}

std::optional<ClaimId> ClaimClient::Implementation::claim(ClaimRequest request, Instant deadline,
                                                          Instant now)
{
    if (m_pendingClaims >= m_options.maxPendingClaims)
        return std::nullopt;
    const auto sequence = m_nextSequence++;
    request.claim = { m_claimant, sequence };
    ++m_pendingClaims;
    send(addCall(sequence, request, deadline, now), now);
    return request.claim;
}

void ClaimClient::Implementation::abandon(const ClaimId &claim, Instant now)
{
    const auto it = claim.host == m_claimant ? m_calls.find(claim.sequence) : m_calls.end();
    if (it != m_calls.end() && claimOf(it->second) != nullptr)
        abandonCall(it, now);
}

void ClaimClient::Implementation::sendSettlement(ClaimCommand command, Instant now)
{
    // Dropping a settlement leaves its key without a known result, which is safe.
    if (m_calls.size() - m_pendingClaims >= m_options.maxPendingSettlements)
        return;
    sendUntil(std::move(command), now + m_options.settlementTimeout, now);
}

void ClaimClient::Implementation::sendUntil(ClaimCommand command, Instant end, Instant now)
{
    send(addCall(m_nextSequence++, std::move(command), end, now), now);
}

void ClaimClient::Implementation::receive(const ClaimCallAnswer &answer, Instant now)
{
    const auto it
        = answer.id.process == m_claimant ? m_calls.find(answer.id.sequence) : m_calls.end();
    if (it == m_calls.end())
        return;
    if (it->second.end <= now) {
        expire(it, now);
        return;
    }
    if (answer.code == ResultCode::Ok) {
        m_nextProbe = now + m_options.probeInterval;
        handleReply(it, answer.reply);
        return;
    }
    // The command is resent unchanged, so that resending is safe whether or not it was accepted.
    updateLeader(answer.leader, now);
    it->second.refused = true;
    schedule(it, std::min(it->second.nextSend, now + m_options.notLeaderDelay));
}

void ClaimClient::Implementation::handleReply(Calls::iterator call, const ClaimReply &reply)
{
    const auto *const request = claimOf(call->second);
    const auto *const outcome = std::get_if<ClaimOutcome>(&reply.content);
    if ((request != nullptr) != (outcome != nullptr))
        return;
    m_seenPosition = std::max(m_seenPosition, reply.position);
    if (request != nullptr)
        m_output.notifications.push_back({ request->claim, withoutInvalidAnswer(*outcome) });
    erase(call);
}

void ClaimClient::Implementation::tick(Instant now)
{
    std::vector<Calls::iterator> unanswered;
    for (const auto it : takeDueCalls(now)) {
        if (it->second.end <= now)
            expire(it, now);
        else
            unanswered.push_back(it);
    }
    resend(unanswered, now);
    probeIfIdle(now);
}

std::vector<ClaimClient::Implementation::Calls::iterator>
ClaimClient::Implementation::takeDueCalls(Instant now)
{
    std::vector<Calls::iterator> due;
    while (!m_schedule.empty() && m_schedule.begin()->first <= now) {
        due.push_back(m_calls.find(m_schedule.begin()->second));
        m_schedule.erase(m_schedule.begin());
    }
    return due;
}

void ClaimClient::Implementation::expire(Calls::iterator call, Instant now)
{
    if (const auto *const request = claimOf(call->second))
        m_output.notifications.push_back({ request->claim, std::nullopt });
    abandonCall(call, now);
}

void ClaimClient::Implementation::abandonCall(Calls::iterator call, Instant now)
{
    const auto *const request = claimOf(call->second);
    if (request == nullptr) {
        erase(call);
        return;
    }
    const ClaimRelease release { request->key, request->claim };
    erase(call);
    sendSettlement(release, now);
}

void ClaimClient::Implementation::resend(const std::vector<Calls::iterator> &calls, Instant now)
{
    const bool timedOut = std::any_of(calls.begin(), calls.end(),
                                      [](const auto &it) { return !it->second.refused; });
    if (timedOut)
        updateLeader(0, now);
    for (const auto it : calls)
        send(it, now);
}

void ClaimClient::Implementation::probeIfIdle(Instant now)
{
    if (now < m_nextProbe)
        return;
    m_nextProbe = now + m_options.probeInterval;
    sendUntil(ClaimProbe {}, m_nextProbe, now);
}

ClaimClient::Implementation::Calls::iterator
ClaimClient::Implementation::addCall(std::uint64_t sequence, ClaimCommand command, Instant end,
                                     Instant now)
{
    return m_calls.emplace(sequence, PendingCall { std::move(command), end, now, false }).first;
}

void ClaimClient::Implementation::send(Calls::iterator call, Instant now)
{
    call->second.refused = false;
    schedule(call, now + m_options.resendAfter);
    if (m_members.empty())
        return;
    const ClaimCallId id { m_claimant, call->first };
    m_output.outgoingCalls.push_back({ m_members[m_leaderIndex], { id, call->second.command } });
}

void ClaimClient::Implementation::schedule(Calls::iterator call, Instant nextSend)
{
    m_schedule.erase({ call->second.due(), call->first });
    call->second.nextSend = nextSend;
    m_schedule.emplace(call->second.due(), call->first);
}

// Adopts the named leader; without a name it switches to the next member, at most once per
// notLeaderDelay.
void ClaimClient::Implementation::updateLeader(MemberId leader, Instant now)
{
    const auto it = std::find(m_members.begin(), m_members.end(), leader);
    if (it != m_members.end()) {
        m_leaderIndex = static_cast<std::size_t>(it - m_members.begin());
        return;
    }
    if (now < m_nextRotation || m_members.empty())
        return;
    m_nextRotation = now + m_options.notLeaderDelay;
    m_leaderIndex = (m_leaderIndex + 1) % m_members.size();
}

void ClaimClient::Implementation::erase(Calls::iterator call)
{
    if (claimOf(call->second) != nullptr)
        --m_pendingClaims;
    m_schedule.erase({ call->second.due(), call->first });
    m_calls.erase(call);
}

Instant ClaimClient::Implementation::nextDeadline() const noexcept
{
    return m_schedule.empty() ? m_nextProbe : std::min(m_nextProbe, m_schedule.begin()->first);
}

ClaimClient::ClaimClient(std::uint64_t claimant, std::vector<MemberId> members,
                         const ClaimClientOptions &options)
    : m_implementation(std::make_unique<Implementation>(claimant, std::move(members), options))
{ }

ClaimClient::~ClaimClient() = default;

void ClaimClient::setMembers(std::vector<MemberId> members)
{
    m_implementation->setMembers(std::move(members));
}

std::uint64_t ClaimClient::seenPosition() const noexcept
{
    return m_implementation->seenPosition();
}

std::optional<ClaimId> ClaimClient::claim(ClaimRequest request, Instant deadline, Instant now)
{
    return m_implementation->claim(request, deadline, now);
}

void ClaimClient::abandon(const ClaimId &claim, Instant now)
{
    m_implementation->abandon(claim, now);
}

void ClaimClient::release(const ClaimRelease &release, Instant now)
{
    m_implementation->sendSettlement(release, now);
}

void ClaimClient::complete(ClaimCompletion completion, Instant now)
{
    m_implementation->sendSettlement(std::move(completion), now);
}

void ClaimClient::receive(const ClaimCallAnswer &answer, Instant now)
{
    m_implementation->receive(answer, now);
}

void ClaimClient::tick(Instant now) { m_implementation->tick(now); }

Instant ClaimClient::nextDeadline() const noexcept { return m_implementation->nextDeadline(); }

ClaimClientOutput ClaimClient::takeOutput() { return m_implementation->takeOutput(); }

std::uint64_t ClaimClient::pendingCalls() const noexcept
{
    return m_implementation->pendingCalls();
}

} // namespace ggv
