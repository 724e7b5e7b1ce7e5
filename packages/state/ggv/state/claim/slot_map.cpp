#include <ggv/state/claim/slot_map.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace ggv::detail {

namespace {

constexpr std::size_t FirstShardSlots = 8;
constexpr std::uint64_t MaxLoadPercent = 85;
constexpr std::uint64_t GrowthPercent = 125;
constexpr unsigned ShardShift = 56;

__extension__ using Wide = unsigned __int128;

std::size_t next(std::size_t index, std::size_t count) noexcept
{
    return index + 1 == count ? 0 : index + 1;
}

// Returns the distance from one index to another, wrapping around at the end.
std::size_t distance(std::size_t from, std::size_t to, std::size_t count) noexcept
{
    return to >= from ? to - from : to + count - from;
}

} // namespace

SlotMap::Shard &SlotMap::shardOf(const KeyDigest &key) noexcept
{
    return m_shards[key.high >> ShardShift];
}

std::size_t SlotMap::homeIndexOf(const Shard &shard, const KeyDigest &key) noexcept
{
    return static_cast<std::size_t>((static_cast<Wide>(key.low) * shard.slots.size()) >> 64U);
}

std::size_t SlotMap::probe(const Shard &shard, const KeyDigest &key) noexcept
{
    const auto count = shard.slots.size();
    auto it = homeIndexOf(shard, key);
    while (shard.slots[it].state() != KeyState::Empty && shard.slots[it].key != key)
        it = next(it, count);
    return it;
}

void SlotMap::grow(Shard &shard)
{
    const auto wanted = shard.slots.size() * GrowthPercent / 100 + FirstShardSlots;
    Shard larger;
    larger.slots.resize(wanted);
    larger.used = shard.used;
    for (const auto &slot : shard.slots) {
        if (slot.state() != KeyState::Empty)
            larger.slots[probe(larger, slot.key)] = slot;
    }
    shard = std::move(larger);
}

std::vector<Slot> SlotMap::sorted(const Shard &shard)
{
    std::vector<Slot> slots;
    slots.reserve(shard.used);
    std::copy_if(shard.slots.begin(), shard.slots.end(), std::back_inserter(slots),
                 [](const Slot &slot) { return slot.state() != KeyState::Empty; });
    std::sort(slots.begin(), slots.end(),
              [](const Slot &left, const Slot &right) { return left.key < right.key; });
    return slots;
}

Slot *SlotMap::find(const KeyDigest &key) noexcept
{
    auto &shard = shardOf(key);
    if (shard.slots.empty())
        return nullptr;
    auto &slot = shard.slots[probe(shard, key)];
    return slot.state() == KeyState::Empty ? nullptr : &slot;
}

Slot &SlotMap::insert(const KeyDigest &key)
{
    auto &shard = shardOf(key);
    if ((shard.used + 1) * 100 > shard.slots.size() * MaxLoadPercent)
        grow(shard);
    auto &slot = shard.slots[probe(shard, key)];
    slot = Slot {};
    slot.key = key;
    ++shard.used;
    ++m_size;
    return slot;
}

void SlotMap::erase(const KeyDigest &key) noexcept
{
    auto *const found = find(key);
    if (found == nullptr)
        return;
    auto &shard = shardOf(key);
    auto &slots = shard.slots;
    const auto count = slots.size();
    auto hole = static_cast<std::size_t>(found - slots.data());
    // Moves later slots of the probe sequence back, so that no search stops at the hole.
    for (auto it = next(hole, count); slots[it].state() != KeyState::Empty; it = next(it, count)) {
        if (distance(homeIndexOf(shard, slots[it].key), it, count) < distance(hole, it, count))
            continue;
        slots[hole] = slots[it];
        hole = it;
    }
    slots[hole] = Slot {};
    --shard.used;
    --m_size;
}

} // namespace ggv::detail
