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

//! Data of a key beyond its slot: holder and result of the claim.
struct KeyRecord
{
    ClaimId holder;
    std::uint64_t position = 0; //!< Position of the table when the key became Finished or Released.
    UnixMillis time = 0; //!< Time of the table when the key became Finished.
    std::unique_ptr<StoredAnswer> answer; //!< Set only in state Finished.
};

/**
 * @brief Returns the size of an answer as counted against ClaimTableLimits::maxAnswerBytes.
 * @param answer The answer.
 * @return Bytes of body and headers plus a fixed overhead for the record.
 */
[[nodiscard]] std::uint64_t sizeOfAnswer(const StoredAnswer &answer) noexcept;

/**
 * @brief Converts the creation time of a key to the minute that its slot stores.
 * @param keyTime Creation time; 0 if the key has none.
 * @return 0 for a key without a creation time, otherwise at least 1.
 */
[[nodiscard]] std::uint32_t keyMinuteOf(UnixMillis keyTime) noexcept;

/**
 * @brief Keys of a claim table, indexed in the orders in which they expire.
 *
 * Its behaviour depends only on its logical content, never on the memory layout, so that a replica
 * restored from a snapshot behaves like one that applied the complete log.
 */
class KeyStore
{
public:
    //! @return Slot of a key, or nullptr; valid until the next change.
    [[nodiscard]] Slot *find(const KeyDigest &key) noexcept { return m_slots.find(key); }
    //! @return Record of a slot in state Held, Finished or Released.
    [[nodiscard]] KeyRecord &recordOf(const Slot &slot) noexcept { return m_records[slot.record]; }
    //! @copydoc recordOf()
    [[nodiscard]] const KeyRecord &recordOf(const Slot &slot) const noexcept
    {
        return m_records[slot.record];
    }

    //! Adds a key that is not in the store. @param keyMinute See keyMinuteOf(). @return Its slot.
    Slot &add(const KeyDigest &key, std::uint32_t keyMinute);
    //! Sets the creation time of a key if it has none yet. @param keyMinute See keyMinuteOf().
    void setMinute(Slot &slot, std::uint32_t keyMinute);
    //! Sets a slot to Held. @param holder The claim that holds the key.
    void hold(Slot &slot, const ClaimId &holder);
    //! Sets a slot to Finished. @param record Holder, position, time and answer.
    void finish(Slot &slot, KeyRecord record);
    //! Sets a slot to Released. @param holder The released claim. @param position Table position.
    void release(Slot &slot, const ClaimId &holder, std::uint64_t position);
    //! Sets a finished slot to Tombstone and frees its answer.
    void convertToTombstone(Slot &slot);

    //! Converts the oldest finished keys to tombstones: all with a time up to @p upTo, and more
    //! until the stored answers fit into @p maxBytes.
    void evictAnswers(UnixMillis upTo, std::uint64_t maxBytes);
    //! Removes released keys whose position is at most @p upTo.
    void pruneReleases(std::uint64_t upTo);
    //! Removes keys whose minute of creation ended at or before @p time.
    void evictKeysBefore(UnixMillis time);

    //! Visits all slots in key order. @param visitor Called with each slot.
    template <typename Visitor>
    void forEachSorted(Visitor visitor) const
    {
        m_slots.forEachSorted(visitor);
    }
    //! @return Number of keys.
    [[nodiscard]] std::uint64_t size() const noexcept { return m_slots.size(); }
    //! @return Number of bytes of the stored answers.
    [[nodiscard]] std::uint64_t answerBytes() const noexcept { return m_answerBytes; }

private:
    [[nodiscard]] Slot *findIn(const KeyDigest &key, KeyState state, std::uint64_t position);
    KeyRecord &acquireRecord(Slot &slot);
    void freeRecord(Slot &slot);
    void erase(const Slot &slot);

    using Ordered = std::deque<std::pair<std::uint64_t, KeyDigest>>; // Sorted by position.

    SlotMap m_slots;
    std::deque<KeyRecord> m_records;
    std::vector<std::uint32_t> m_freeRecords;
    Ordered m_finished;
    Ordered m_released;
    std::map<std::uint32_t, std::vector<KeyDigest>> m_byMinute;
    std::uint64_t m_answerBytes = 0;
};

} // namespace ggv::detail
