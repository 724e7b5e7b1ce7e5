#include <ggv/coordination/consensus/raft_implementation.hpp>
#include <ggv/protocol/codec/raft_codec.hpp>

#include <algorithm>
#include <utility>

namespace ggv {

namespace {

constexpr LogIndex MaxPromotionLag = 16; // Entries by which a learner may lag when it is promoted.

} // namespace

// A membership is in force from its entry on, whether committed or not.
void Raft::Implementation::onMembershipAppended(LogIndex index, ByteView payload)
{
    m_members.add(index, decodeMembership(payload));
    if (isLeader())
        updateProgress();
}

void Raft::Implementation::updateProgress()
{
    for (const auto &[member, progress] : m_progress) {
        if (detail::isVoter(members(), member) || detail::isLearner(members(), member))
            m_removedMembers.erase(member);
        else
            m_removedMembers.try_emplace(member,
                                         RemovedMember { m_members.currentIndex(), std::nullopt });
    }
    const auto add = [this](MemberId member) {
        if (member != m_self)
            m_progress.try_emplace(member, m_log.lastIndex(), m_now);
    };
    std::for_each(members().voters.begin(), members().voters.end(), add);
    std::for_each(members().learners.begin(), members().learners.end(), add);
    refreshLease();
}

// A removed member gets the log until it has confirmed a round that carried the commit of its
// removal: a host that leaves the quorum waits for that, and the member starts no elections later.
void Raft::Implementation::forgetInformedMembers()
{
    for (auto &[member, removed] : m_removedMembers) {
        if (!removed.round && m_commitIndex >= removed.index)
            removed.round = m_rounds.latest() + 1;
    }
    std::erase_if(m_removedMembers, [this](const auto &it) {
        const auto &[member, removed] = it;
        const auto progress = m_progress.find(member);
        const bool isInformed = removed.round && progress->second.match() >= removed.index
            && progress->second.ackedRound() >= *removed.round;
        if (!isInformed && hasRecentContact(member))
            return false;
        m_progress.erase(progress);
        return true;
    });
}

// One change at a time: the majorities of two memberships that differ by one member always overlap.
// A leader's first entry is a membership, so no change starts before an entry of the current term
// is committed.
void Raft::Implementation::advanceMembership()
{
    while (m_members.currentIndex() <= m_commitIndex) {
        const auto next
            = std::find_if(m_changes.begin(), m_changes.end(),
                           [](const MembershipChange &it) { return !it.entryAppended; });
        if (next == m_changes.end()) {
            promoteLearner();
            return;
        }
        if (!startChange(*next))
            m_changes.erase(next);
    }
}

// Returns false if the change completes without a log entry. A removal is rejected if a majority of
// the remaining voters cannot be reached: it could never be committed, and no leader could be
// elected afterwards.
bool Raft::Implementation::startChange(MembershipChange &change)
{
    const bool present
        = detail::isVoter(members(), change.member) || detail::isLearner(members(), change.member);
    const bool done = change.add ? detail::isVoter(members(), change.member) : !present;
    const Membership reduced = detail::withoutMember(members(), change.member);
    if (done || (!change.add && !hasRecentContactWithMajority(reduced))) {
        complete(change.ticket, done ? ResultCode::Ok : ResultCode::NoQuorum);
        return false;
    }
    change.entryAppended = true;
    if (!change.add)
        proposeMembership(reduced);
    else if (!present)
        proposeMembership(detail::withLearner(members(), change.member));
    return true;
}

void Raft::Implementation::promoteLearner()
{
    for (const MemberId learner : members().learners) {
        const Membership extended = detail::withVoter(members(), learner);
        if (isCaughtUp(learner) && hasRecentContactWithMajority(extended)) {
            proposeMembership(extended);
            return;
        }
    }
}

bool Raft::Implementation::isCaughtUp(MemberId learner) const
{
    const auto it = m_progress.find(learner);
    if (it == m_progress.end() || it->second.match() < m_members.currentIndex())
        return false;
    return hasRecentContact(learner) && it->second.match() + MaxPromotionLag >= m_log.lastIndex();
}

void Raft::Implementation::proposeMembership(const Membership &membership)
{
    appendAsLeader(detail::EntryKind::Membership, encodeMembership(membership));
}

void Raft::Implementation::completeMemberChanges()
{
    if (m_changes.empty())
        return;
    const Membership &committed = m_members.at(m_commitIndex);
    std::set<MemberId> removed;
    std::erase_if(m_changes, [&](const MembershipChange &change) {
        const bool voter = detail::isVoter(committed, change.member);
        const bool present = voter || detail::isLearner(committed, change.member);
        const bool done = change.entryAppended && (change.add ? voter : !present);
        if (done)
            complete(change.ticket, ResultCode::Ok);
        if (done && !change.add)
            removed.insert(change.member);
        return done;
    });
    failSuperseded(removed);
}

// Completes additions whose learner was removed before it became a voter.
void Raft::Implementation::failSuperseded(const std::set<MemberId> &removed)
{
    std::erase_if(m_changes, [&](const MembershipChange &change) {
        const bool superseded
            = change.entryAppended && change.add && removed.contains(change.member);
        if (superseded)
            complete(change.ticket, ResultCode::ChangeOutcomeUnknown);
        return superseded;
    });
}

void Raft::Implementation::stepDownIfRemoved()
{
    if (isLeader() && !selfIsVoter() && m_members.currentIndex() <= m_commitIndex)
        becomeFollower(m_hardState.term);
}

void Raft::Implementation::failMemberChanges()
{
    for (const MembershipChange &change : std::exchange(m_changes, {})) {
        const auto code
            = change.entryAppended ? ResultCode::ChangeOutcomeUnknown : ResultCode::NotLeader;
        complete(change.ticket, code);
    }
}

} // namespace ggv
