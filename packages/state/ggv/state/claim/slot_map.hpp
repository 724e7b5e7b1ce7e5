#pragma once

#include <ggv/state/claim/claim_table.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace ggv::detail {

//! State of a key in a claim table.
enum class KeyState : std::uint8_t {
    Empty, //!< The slot is unused.
    Held, //!< Claimed; no result is recorded yet.
    Finished, //!< Executed; the answer is stored.
    Tombstone, //!< Executed; the answer is no longer stored.
    Released, //!< Released; earlier requests with the key are rejected.
};

//! Record index of a slot without a record.
inline constexpr std::uint32_t NoRecord = 0xffffffff;

//! Resolution of the creation time that slots store.
inline constexpr UnixMillis MillisPerMinute = 60'000;

//! Largest minute that a slot can store; later creation times are clamped to it.
inline constexpr std::uint32_t MaxKeyMinute = (1U << 29) - 1;

//! State of one key, packed into 32 bytes.
struct Slot
{
    KeyDigest key;
    std::uint64_t fingerprint = 0;
    std::uint32_t record = NoRecord; //!< Index of the KeyRecord; NoRecord for a tombstone.
    std::uint32_t keyMinute : 29 = 0; //!< Minute of the key's creation time; 0 if it has none.
    std::uint32_t stateBits : 3 = 0;

    //! @return State of the key.
    [[nodiscard]] KeyState state() const noexcept { return static_cast<KeyState>(stateBits); }
    //! @param state New state of the key.
    void setState(KeyState state) noexcept { stateBits = static_cast<std::uint8_t>(state) & 7U; }
};

static_assert(sizeof(Slot) == 32);

/**
 * @brief Open-addressing hash map from key digests to slots, without an allocation per key.
 *
 * The map is divided into shards that grow one at a time, so that growth neither doubles the memory
 * of the entire map nor blocks it for long. Pointers to slots are valid until the next insert or
 * erase.
 */
class SlotMap
{
public:
    //! @return Slot of a key, or nullptr.
    [[nodiscard]] Slot *find(const KeyDigest &key) noexcept;
    //! @param key A key that is not in the map. @return Its new slot; the caller must set the
    //! state.
    Slot &insert(const KeyDigest &key);
    //! Removes a key; no effect if it is not in the map.
    void erase(const KeyDigest &key) noexcept;
    //! @return Number of keys.
    [[nodiscard]] std::uint64_t size() const noexcept { return m_size; }

    /**
     * @brief Visits all slots in key order.
     * @param visitor Called with each slot.
     */
    template <typename Visitor>
    void forEachSorted(Visitor visitor) const
    {
        // Each shard holds a contiguous range of keys, so that visiting the shards in turn keeps
        // the order.
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
