#pragma once

#include <ggv/protocol/message/fleet_message.hpp>

#include <vector>

namespace ggv {

/**
 * @brief The newest known reading of the platform's list, whoever read it.
 */
class SharedTargetList
{
public:
    //! Takes in an own reading that began at an instant.
    void replace(std::vector<ListedTarget> targets, Instant readAt);
    //! Takes in a report. @return True if the content changed.
    bool adopt(const TargetListReport &report, Instant now);
    //! @return Report for a host that has the content with that digest.
    [[nodiscard]] TargetListReport report(std::uint64_t knownDigest, Instant now) const;
    //! @return Time since the list was read; the largest duration if it never was.
    [[nodiscard]] Duration age(Instant now) const noexcept;
    //! @return Digest of the content; 0: never read.
    [[nodiscard]] std::uint64_t digest() const noexcept { return m_list.digest; }
    //! @return The content.
    [[nodiscard]] const TargetList &list() const noexcept { return m_list; }

private:
    TargetList m_list;
    Instant m_readAt = Instant::min();
};

} // namespace ggv
