#include <ggv/state/claim/key_store.hpp>

#include <algorithm>

namespace ggv::detail {

namespace {

constexpr std::uint64_t AnswerOverheadBytes = 64;
constexpr std::uint64_t HeaderOverheadBytes = 16;

} // namespace

std::uint64_t sizeOfAnswer(const StoredAnswer &answer) noexcept
{
    std::uint64_t bytes = AnswerOverheadBytes + answer.body.size();
    for (const auto &[name, value] : answer.headers)
        bytes += name.size() + value.size() + HeaderOverheadBytes;
    return bytes;
}

std::uint32_t keyMinuteOf(UnixMillis keyTime) noexcept
{
    if (keyTime <= 0)
        return 0;
    const auto minute = std::clamp<UnixMillis>(keyTime / MillisPerMinute, 1, MaxKeyMinute);
    return static_cast<std::uint32_t>(minute);
}

Slot &KeyStore::add(const KeyDigest &key, std::uint32_t keyMinute)
{
    auto &slot = m_slots.insert(key);
    slot.setState(KeyState::Tombstone);
    setMinute(slot, keyMinute);
    return slot;
}

void KeyStore::setMinute(Slot &slot, std::uint32_t keyMinute)
{
    if (slot.keyMinute != 0 || keyMinute == 0)
        return;
    slot.keyMinute = keyMinute & MaxKeyMinute;
    m_byMinute[keyMinute].push_back(slot.key);
}

KeyRecord &KeyStore::acquireRecord(Slot &slot)
{
    if (slot.record != NoRecord)
        return m_records[slot.record];
    if (m_freeRecords.empty()) {
        slot.record = static_cast<std::uint32_t>(m_records.size());
        return m_records.emplace_back();
    }
    slot.record = m_freeRecords.back();
    m_freeRecords.pop_back();
    return m_records[slot.record];
}

void KeyStore::freeRecord(Slot &slot)
{
    if (slot.record == NoRecord)
        return;
    auto &record = m_records[slot.record];
    if (record.answer)
        m_answerBytes -= sizeOfAnswer(*record.answer);
    record = KeyRecord {};
    m_freeRecords.push_back(slot.record);
    slot.record = NoRecord;
}

void KeyStore::hold(Slot &slot, const ClaimId &holder)
{
    auto &record = acquireRecord(slot);
    record.holder = holder;
    record.position = 0;
    slot.setState(KeyState::Held);
}

void KeyStore::finish(Slot &slot, KeyRecord record)
{
    auto &stored = acquireRecord(slot);
    stored = std::move(record);
    m_answerBytes += sizeOfAnswer(*stored.answer);
    slot.setState(KeyState::Finished);
    m_finished.emplace_back(stored.position, slot.key);
}

void KeyStore::release(Slot &slot, const ClaimId &holder, std::uint64_t position)
{
    auto &record = acquireRecord(slot);
    record.holder = holder;
    record.position = position;
    slot.setState(KeyState::Released);
    m_released.emplace_back(position, slot.key);
}

void KeyStore::convertToTombstone(Slot &slot)
{
    freeRecord(slot);
    slot.setState(KeyState::Tombstone);
}

// Returns the slot of an entry in m_finished or m_released; nullptr if the key has changed since.
Slot *KeyStore::findIn(const KeyDigest &key, KeyState state, std::uint64_t position)
{
    auto *const slot = m_slots.find(key);
    if (slot == nullptr || slot->state() != state || recordOf(*slot).position != position)
        return nullptr;
    return slot;
}

void KeyStore::evictAnswers(UnixMillis upTo, std::uint64_t maxBytes)
{
    while (!m_finished.empty()) {
        const auto [position, key] = m_finished.front();
        auto *const slot = findIn(key, KeyState::Finished, position);
        if (slot != nullptr && recordOf(*slot).time > upTo && m_answerBytes <= maxBytes)
            return;
        if (slot != nullptr)
            convertToTombstone(*slot);
        m_finished.pop_front();
    }
}

void KeyStore::pruneReleases(std::uint64_t upTo)
{
    while (!m_released.empty() && m_released.front().first <= upTo) {
        const auto [position, key] = m_released.front();
        m_released.pop_front();
        if (auto *const slot = findIn(key, KeyState::Released, position))
            erase(*slot);
    }
}

void KeyStore::evictKeysBefore(UnixMillis time)
{
    while (!m_byMinute.empty()) {
        const auto bucket = m_byMinute.begin();
        if ((static_cast<UnixMillis>(bucket->first) + 1) * MillisPerMinute > time)
            return;
        for (const auto &key : bucket->second) {
            // The key may have been removed and added again without a creation time.
            auto *const slot = m_slots.find(key);
            if (slot != nullptr && slot->keyMinute == bucket->first)
                erase(*slot);
        }
        m_byMinute.erase(bucket);
    }
}

void KeyStore::erase(const Slot &slot)
{
    const auto key = slot.key;
    freeRecord(*m_slots.find(key));
    m_slots.erase(key);
}

} // namespace ggv::detail
