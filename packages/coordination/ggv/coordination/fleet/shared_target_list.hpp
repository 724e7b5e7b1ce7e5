#pragma once

#include <ggv/protocol/message/fleet_message.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ggv {

/**
 * @brief Newest known reading of the platform's target list, made by this or another host.
 */
class SharedTargetList
{
public:
    //! Replaces the content with a reading by this host that started at @p readAt. The cold time of
    //! a target that merely counts down keeps its first value, so that the content does not change.
    void replace(std::vector<ListedTarget> targets, Instant readAt, Instant now);
    //! Applies a report of another host. A delta whose base list is not held here is ignored.
    //! @return True if the content changed.
    bool apply(const TargetListReport &report, Instant now);
    //! @return True if the report is newer but its base list is not held here.
    [[nodiscard]] bool needsFullList(const TargetListReport &report, Instant now) const;
    //! @return Report for a host that holds the content with the given digest.
    [[nodiscard]] TargetListReport report(std::uint64_t knownDigest, Instant now) const;
    //! @return Time since the list was read; 24 hours if it was never read.
    [[nodiscard]] Duration age(Instant now) const noexcept;
    //! @return Time since this host obtained its newest reading; 24 hours if it has none.
    [[nodiscard]] Duration timeSinceUpdate(Instant now) const noexcept;
    //! @return Digest of the content; 0 if the list was never read.
    [[nodiscard]] std::uint64_t digest() const noexcept { return m_list.digest; }
    [[nodiscard]] const TargetList &list() const noexcept { return m_list; }

private:
    //! Cold time of a target when it was first read, and the time of that reading.
    struct ColdReading
    {
        Duration coldDuration { 0 };
        Instant readAt;
    };

    void retainColdTimes(std::vector<ListedTarget> &targets, Instant readAt);
    void setContent(TargetList list);
    [[nodiscard]] bool isNewer(const TargetListReport &report, Instant now) const noexcept;
    [[nodiscard]] std::optional<TargetList> resolveContent(const TargetListReport &report) const;
    [[nodiscard]] std::optional<TargetListDelta> deltaFrom(std::uint64_t knownDigest) const;

    TargetList m_list;
    std::deque<TargetList> m_previousLists; //!< Newest last; base lists of deltas.
    std::map<std::string, ColdReading> m_cold; //!< By instance, from this host's readings.
    Instant m_readAt = Instant::min();
    Instant m_updatedAt = Instant::min();
};

} // namespace ggv
