#pragma once

#include <ggv/protocol/message/fleet_message.hpp>
#include <ggv/state/routing/target_starts.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ggv {

/**
 * @brief Newest known reading of the platform's target list, made by this or another host.
 *
 * A list that was received is a base of later deltas even if it is not newer than the known one, so
 * that the sender never has to know which of its lists were put in force.
 */
class SharedTargetList
{
public:
    //! Replaces the content with a reading by this host that started at @p readAt. The cold time of
    //! a target that merely counts down keeps its first value, so that the content does not change.
    void replace(std::vector<ListedTarget> targets, Instant readAt, Instant now);
    /**
     * @brief Applies a report of another host if it may be newer than the known reading.
     * @param report Report; ignored if it refers to a list that is not held here.
     * @param notSentBefore Earliest time at which the report was sent; @p now if it was not
     * delayed.
     * @param now Time of arrival.
     * @return True if the content changed.
     */
    bool apply(const TargetListReport &report, Instant notSentBefore, Instant now);
    //! @return False if the report, already applied, refers to a list that is not held here.
    [[nodiscard]] bool hasReceived(const TargetListReport &report) const noexcept;
    //! @return Report for a host that holds the content with the given digest.
    [[nodiscard]] TargetListReport report(std::uint64_t knownDigest, Instant now);
    //! @return Time since the list was read; 24 hours if it was never read.
    [[nodiscard]] Duration age(Instant now) const noexcept;
    //! @return Time since this host obtained its newest reading; 24 hours if it has none.
    [[nodiscard]] Duration timeSinceUpdate(Instant now) const noexcept;
    //! @return Digest of the content; 0 if the list was never read.
    [[nodiscard]] std::uint64_t digest() const noexcept { return m_list.digest; }
    //! @return Digest of the last received list, which a delta for this host may be based on.
    [[nodiscard]] std::uint64_t receivedDigest() const noexcept { return m_receivedDigest; }
    //! @return The list; the starts of the targets are not part of it.
    [[nodiscard]] const TargetList &list() const noexcept { return m_list; }
    //! @return The list with the known starts of the targets.
    [[nodiscard]] TargetList listWithStarts() const;
    //! Records starts of targets that another host sent with a list, once that list was received.
    //! @return True if a known start changed.
    bool applyStarts(const std::vector<TargetStart> &starts);
    //! @return Known starts of targets.
    [[nodiscard]] const TargetStarts &starts() const noexcept { return m_starts; }

private:
    //! Cold time of a target when it was first read, and the time of that reading.
    struct ColdReading
    {
        Duration coldDuration { 0 };
        Instant readAt;
    };

    //! An earlier list, as a delta that its successor is the base of.
    struct EarlierList
    {
        std::uint64_t digest = 0;
        TargetListDelta fromSuccessor;
    };

    void retainColdTimes(std::vector<ListedTarget> &targets, Instant readAt);
    void setContent(TargetList list);
    [[nodiscard]] bool mayBeNewer(const TargetListReport &report, Instant now) const noexcept;
    [[nodiscard]] const TargetList *findList(std::uint64_t digest, TargetList &storage) const;
    [[nodiscard]] std::optional<TargetList> resolveContent(const TargetListReport &report) const;
    [[nodiscard]] const std::optional<TargetListDelta> &deltaFrom(std::uint64_t knownDigest);
    [[nodiscard]] std::optional<TargetListDelta> makeDelta(std::uint64_t knownDigest) const;

    TargetStarts m_starts;
    TargetList m_list;
    TargetList m_olderList; //!< Last received list that was not newer than the known one.
    std::uint64_t m_receivedDigest = 0;
    std::deque<EarlierList> m_earlierLists; //!< Newest last.
    //! Deltas to the known list by base; empty if a complete list is smaller.
    std::map<std::uint64_t, std::optional<TargetListDelta>> m_deltas;
    std::map<std::string, ColdReading> m_cold; //!< By instance, from this host's readings.
    Instant m_readAt = Instant::min(); //!< Earliest time at which the list was read.
    Instant m_updatedAt = Instant::min();
};

} // namespace ggv
