#pragma once

#include <ggv/protocol/message/membership.hpp>
#include <ggv/protocol/message/raft_message.hpp>

#include <cstddef>
#include <deque>
#include <functional>

namespace ggv::detail {

//! @return True if the member is a voter.
[[nodiscard]] bool isVoter(const Membership &membership, MemberId member) noexcept;
//! @return True if the member is a learner.
[[nodiscard]] bool isLearner(const Membership &membership, MemberId member) noexcept;
//! @return The membership with the member as a voter.
[[nodiscard]] Membership withVoter(Membership membership, MemberId member);
//! @return The membership with the member as a learner; it must not be a voter.
[[nodiscard]] Membership withLearner(Membership membership, MemberId member);
//! @return The membership without the member.
[[nodiscard]] Membership without(Membership membership, MemberId member);

/**
 * @brief Finds the greatest value that a majority of voters has reached.
 * @param membership The members.
 * @param valueOf Value of a voter.
 * @return The value; 0 if there are no voters.
 */
[[nodiscard]] std::uint64_t majorityValue(const Membership &membership,
                                          const std::function<std::uint64_t(MemberId)> &valueOf);

//! Which membership holds from which entry of the log on; entries that are cut are forgotten.
class MembershipHistory
{
public:
    //! @param index Entry from which the first membership holds; @param membership That one.
    MembershipHistory(LogIndex index, Membership membership);

    //! @return The latest membership, committed or not.
    [[nodiscard]] const Membership &current() const noexcept { return m_changes.back().membership; }
    //! @return Entry of the latest membership.
    [[nodiscard]] LogIndex currentIndex() const noexcept { return m_changes.back().index; }
    //! @return The membership in force at an entry.
    [[nodiscard]] const Membership &at(LogIndex index) const noexcept;
    //! Adds a membership; entries from its index on were cut before.
    void add(LogIndex index, Membership membership);
    //! Forgets memberships of entries from an index on.
    void truncateFrom(LogIndex index);
    //! Forgets memberships that no longer hold at an index.
    void compact(LogIndex index);

private:
    struct Change
    {
        LogIndex index;
        Membership membership;
    };

    std::deque<Change> m_changes; // Never empty.
};

} // namespace ggv::detail
