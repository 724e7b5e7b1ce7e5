#pragma once

#include <ggv/state/claim/claim_table.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace ggv::detail {

//! What a claim table knows about a key.
enum class KeyState : std::uint8_t {
    Empty, //!< The slot holds no key.
    Held, //!< Claimed, no result.
    Finished, //!< Ran; the answer is kept.
    Tombstone, //!< Ran; the answer is no longer kept.
    Released, //!< Given back; earlier requests with the key are refused.
};

//! Slot index of a record that does not exist.
inline constexpr std::uint32_t NoRecord = 0xffffffff;

//! Length of the unit in which slots keep the time of a key.
inline constexpr UnixMillis MillisPerMinute = 60'000;

//! Latest minute that a slot can hold; later key times count as this one.
inline constexpr std::uint32_t MaxKeyMinute = (1U << 29) - 1;

//! One key in 32 bytes.
struct Slot
{
    KeyDigest key;
    std::uint64_t fingerprint = 0;
    std::uint32_t record = NoRecord; //!< Index of further data; none for a tombstone.
    std::uint32_t keyMinute : 29 = 0; //!< Minute of the key's own time; 0: states none.
    std::uint32_t stateBits : 3 = 0;

    //! @return What is known about the key.
    [[nodiscard]] KeyState state() const noexcept { return static_cast<KeyState>(stateBits); }
    //! @param state What is known about the key from now on.
    void setState(KeyState state) noexcept { stateBits = static_cast<std::uint8_t>(state) & 7U; }
};

static_assert(sizeof(Slot) == 32);

/**
 * @brief Open-addressing hash map from key digests to slots, without a node per key.
 *
 * It consists of shards that grow one at a time, so that growth neither doubles the memory of the
 * whole map nor stops it for long. Pointers to slots are valid until the next insert or erase.
 */
class SlotMap
{
public:
    //! @return The slot of a key, or null.
    [[nodiscard]] Slot *find(const KeyDigest &key) noexcept;
    //! @param key A key that is not in the map. @return Its new slot; the state is to be set.
    Slot &insert(const KeyDigest &key);
    //! Removes a key; no effect if it is not in the map.
    void erase(const KeyDigest &key) noexcept;
    //! @return Number of keys.
    [[nodiscard]] std::uint64_t size() const noexcept { return m_size; }

    /**
     * @brief Visits all slots in the order of their keys.
     * @param visitor Called with each slot.
     */
    template <typename Visitor>
    void forEachSorted(Visitor visitor) const
    {
        // A shard holds a range of keys.
        for (const auto &shard : m_shards) {
            for (const auto &slot : sorted(shard))
                visitor(slot);
        }
    }

private:
    struct Shard
    {
        std::vector<Slot> slots;
        std::uint64_t used = 0;
    };

    static constexpr std::size_t ShardCount = 256;

    [[nodiscard]] Shard &shardOf(const KeyDigest &key) noexcept;
    [[nodiscard]] static std::size_t homeIndexOf(const Shard &shard, const KeyDigest &key) noexcept;
    [[nodiscard]] static std::size_t probe(const Shard &shard, const KeyDigest &key) noexcept;
    static void grow(Shard &shard);
    [[nodiscard]] static std::vector<Slot> sorted(const Shard &shard);

    std::array<Shard, ShardCount> m_shards;
    std::uint64_t m_size = 0;
};

} // namespace ggv::detail
