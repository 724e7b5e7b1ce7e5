#include <ggv/coordination/consensus/membership_history.hpp>

#include <algorithm>
#include <utility>

namespace ggv::detail {

namespace {

void insertSorted(std::vector<MemberId> &list, MemberId member)
{
    list.insert(std::lower_bound(list.begin(), list.end(), member), member);
}

} // namespace

bool isVoter(const Membership &membership, MemberId member) noexcept
{
    return std::binary_search(membership.voters.begin(), membership.voters.end(), member);
}

bool isLearner(const Membership &membership, MemberId member) noexcept
{
    return std::binary_search(membership.learners.begin(), membership.learners.end(), member);
}

Membership withVoter(Membership membership, MemberId member)
{
    membership = withoutMember(std::move(membership), member);
    insertSorted(membership.voters, member);
    return membership;
}

Membership withLearner(Membership membership, MemberId member)
{
    insertSorted(membership.learners, member);
    return membership;
}

Membership withoutMember(Membership membership, MemberId member)
{
    std::erase(membership.voters, member);
    std::erase(membership.learners, member);
    return membership;
}

std::uint64_t majorityValue(const Membership &membership,
                            const std::function<std::uint64_t(MemberId)> &valueOf)
{
    if (membership.voters.empty())
        return 0;
    std::vector<std::uint64_t> values;
    for (const MemberId member : membership.voters)
        values.push_back(valueOf(member));
    std::sort(values.begin(), values.end(), std::greater<> {});
    return values[values.size() / 2];
}

MembershipHistory::MembershipHistory(LogIndex index, Membership membership)
    : m_changes { { index, std::move(membership) } }
{ }

const Membership &MembershipHistory::at(LogIndex index) const noexcept
{
    auto it = std::prev(m_changes.end());
    while (it != m_changes.begin() && it->index > index)
        --it;
    return it->membership;
}

void MembershipHistory::add(LogIndex index, Membership membership)
{
    m_changes.push_back({ index, std::move(membership) });
}

void MembershipHistory::truncateFrom(LogIndex index)
{
    while (m_changes.size() > 1 && m_changes.back().index >= index)
        m_changes.pop_back();
}

void MembershipHistory::compact(LogIndex index)
{
    while (m_changes.size() > 1 && m_changes[1].index <= index)
        m_changes.pop_front();
}

} // namespace ggv::detail
