#pragma once

#include <ggv/state/claim/slot_map.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace ggv::detail {

//! Data of a key beyond its slot: who claimed it and what came of it.
struct KeyRecord
{
    ClaimId holder;
    std::uint64_t position = 0; //!< Finished, Released: table position when that happened.
    UnixMillis time = 0; //!< Finished: table time when that happened.
    std::unique_ptr<StoredAnswer> answer; //!< Finished only.
};

/**
 * @brief Size of a kept answer against ClaimTableLimits::maxAnswerBytes.
 * @param answer The answer.
 * @return Bytes of body and headers and a fixed amount for the record.
 */
[[nodiscard]] std::uint64_t sizeOfAnswer(const StoredAnswer &answer) noexcept;

/**
 * @brief Minute under which a slot keeps the time of a key.
 * @param keyTime Time that the key states; 0: none.
 * @return 0 for a key without a time, never 0 for one with a time.
 */
[[nodiscard]] std::uint32_t keyMinuteOf(UnixMillis keyTime) noexcept;

/**
 * @brief The keys of a claim table with the orders in which they change by age.
 *
 * What it does depends only on its logical content, never on the layout of memory, so that a
 * replica restored from a snapshot behaves like one that applied the whole log.
 */
class KeyStore
{
public:
    //! @return The slot of a key, or null; valid until the next change.
    [[nodiscard]] Slot *find(const KeyDigest &key) noexcept { return m_slots.find(key); }
    //! @return The record of a slot that is held, finished or released.
    [[nodiscard]] KeyRecord &recordOf(const Slot &slot) noexcept { return m_records[slot.record]; }
    //! @copydoc recordOf()
    [[nodiscard]] const KeyRecord &recordOf(const Slot &slot) const noexcept
    {
        return m_records[slot.record];
    }

    //! Adds a key that is not there. @param keyMinute See keyMinuteOf(). @return Its slot.
    Slot &add(const KeyDigest &key, std::uint32_t keyMinute);
    //! Gives a key its own time if it has none yet. @param keyMinute See keyMinuteOf().
    void setMinute(Slot &slot, std::uint32_t keyMinute);
    //! Makes a slot held. @param holder Who claimed it.
    void hold(Slot &slot, const ClaimId &holder);
    //! Makes a slot finished. @param record Holder, position, time and answer.
    void finish(Slot &slot, KeyRecord record);
    //! Makes a slot released. @param holder Who gave it back. @param position When.
    void release(Slot &slot, const ClaimId &holder, std::uint64_t position);
    //! Makes a finished slot a tombstone.
    void convertToTombstone(Slot &slot);

    //! Buries the oldest finished answers: all up to a time, and more until the bytes fit.
    void evictAnswers(UnixMillis upTo, std::uint64_t maxBytes);
    //! Removes released keys whose position is not after the given one.
    void pruneReleases(std::uint64_t upTo);
    //! Removes keys whose own time lies whole minutes before the given one.
    void evictKeysBefore(UnixMillis time);

    //! Visits all slots in the order of their keys. @param visitor Called with each slot.
    template <typename Visitor>
    void forEachSorted(Visitor visitor) const
    {
        m_slots.forEachSorted(visitor);
    }
    //! @return Number of keys.
    [[nodiscard]] std::uint64_t size() const noexcept { return m_slots.size(); }
    //! @return Bytes of kept answers.
    [[nodiscard]] std::uint64_t answerBytes() const noexcept { return m_answerBytes; }

private:
    [[nodiscard]] Slot *findIn(const KeyDigest &key, KeyState state, std::uint64_t position);
    KeyRecord &acquireRecord(Slot &slot);
    void freeRecord(Slot &slot);
    void erase(const Slot &slot);

    using Ordered = std::deque<std::pair<std::uint64_t, KeyDigest>>; // By position.

    SlotMap m_slots;
    std::deque<KeyRecord> m_records;
    std::vector<std::uint32_t> m_freeRecords;
    Ordered m_finished;
    Ordered m_released;
    std::map<std::uint32_t, std::vector<KeyDigest>> m_byMinute;
    std::uint64_t m_answerBytes = 0;
};

} // namespace ggv::detail
