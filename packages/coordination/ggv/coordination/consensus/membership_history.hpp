#pragma once

#include <ggv/protocol/message/membership.hpp>
#include <ggv/protocol/message/raft_message.hpp>

#include <cstddef>
#include <deque>
#include <functional>

namespace ggv::detail {

[[nodiscard]] bool isVoter(const Membership &membership, MemberId member) noexcept;
[[nodiscard]] bool isLearner(const Membership &membership, MemberId member) noexcept;
//! Returns the membership with the member as a voter; a learner is promoted.
[[nodiscard]] Membership withVoter(Membership membership, MemberId member);
//! Returns the membership with the member added as a learner. The member must not be a voter.
[[nodiscard]] Membership withLearner(Membership membership, MemberId member);
//! Returns the membership without the member, voter or learner.
[[nodiscard]] Membership withoutMember(Membership membership, MemberId member);

/**
 * @brief Returns the greatest value that a majority of the voters has reached.
 * @param membership The membership whose voters are counted.
 * @param valueOf Returns the value of a voter.
 * @return The majority value, or 0 if there are no voters.
 */
[[nodiscard]] std::uint64_t majorityValue(const Membership &membership,
                                          const std::function<std::uint64_t(MemberId)> &valueOf);

//! Memberships by the index of the log entry that introduced them.
class MembershipHistory
{
public:
    /**
     * @brief Creates the history with its first membership.
     * @param index Index of the log entry from which the membership is in force.
     * @param membership The first membership.
     */
    MembershipHistory(LogIndex index, Membership membership);

    //! Returns the latest membership, whether committed or not.
    [[nodiscard]] const Membership &current() const noexcept { return m_changes.back().membership; }
    //! Returns the index of the entry that introduced the latest membership.
    [[nodiscard]] LogIndex currentIndex() const noexcept { return m_changes.back().index; }
    //! Returns the membership in force at a log entry.
    [[nodiscard]] const Membership &at(LogIndex index) const noexcept;
    //! Adds a membership. Entries from its index on must have been truncated before.
    void add(LogIndex index, Membership membership);
    //! Removes the memberships introduced by entries from an index on.
    void truncateFrom(LogIndex index);
    //! Removes memberships that were superseded at or before an index.
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
