#pragma once

#include <ggv/protocol/message/fleet_message.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ggv {

/**
 * @brief The newest known reading of the platform's list, whoever read it.
 */
class SharedTargetList
{
public:
    //! Takes in an own reading that began at an instant. A target whose cold time just runs down
    //! keeps the time that was read first, so that it is no change.
    void replace(std::vector<ListedTarget> targets, Instant readAt, Instant now);
    //! Takes in a report; a change to a list that is not known here is left out.
    //! @return True if the content changed.
    bool apply(const TargetListReport &report, Instant now);
    //! @return True if a report is news here, but changes a list that is not known.
    [[nodiscard]] bool needsFullList(const TargetListReport &report, Instant now) const;
    //! @return Report for a host that has the content with that digest.
    [[nodiscard]] TargetListReport report(std::uint64_t knownDigest, Instant now) const;
    //! @return Time since the list was read; the largest duration if it never was.
    [[nodiscard]] Duration age(Instant now) const noexcept;
    //! @return Time since the newest reading became known here; the largest one if none did.
    [[nodiscard]] Duration timeSinceUpdate(Instant now) const noexcept;
    //! @return Digest of the content; 0: never read.
    [[nodiscard]] std::uint64_t digest() const noexcept { return m_list.digest; }
    //! @return The content.
    [[nodiscard]] const TargetList &list() const noexcept { return m_list; }

private:
    //! What the list said of a cold target when it was read first.
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
    std::deque<TargetList> m_previousLists; //!< Newest last, as bases of changes.
    std::map<std::string, ColdReading> m_cold; //!< By instance, of own readings.
    Instant m_readAt = Instant::min();
    Instant m_updatedAt = Instant::min();
};

} // namespace ggv
