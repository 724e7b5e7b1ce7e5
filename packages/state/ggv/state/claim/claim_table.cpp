#include <ggv/state/claim/claim_table.hpp>

#include <ggv/state/claim/key_store.hpp>
#include <ggv/state/claim/table_codec.hpp>

#include <algorithm>
#include <utility>

namespace ggv {

using detail::KeyState;
using detail::Slot;

class ClaimTable::Implementation
{
public:
    explicit Implementation(const ClaimTableLimits &limits)
        : m_limits(limits)
    { }

    void advance(UnixMillis now);
    [[nodiscard]] ClaimOutcome claim(const ClaimRequest &request);
    bool complete(const ClaimCompletion &completion);
    bool release(const ClaimRelease &release);
    void restore(ByteView bytes) { detail::decodeTable(bytes, m_clock, m_keys); }

    [[nodiscard]] const detail::TableClock &clock() const noexcept { return m_clock; }
    [[nodiscard]] const detail::KeyStore &keys() const noexcept { return m_keys; }

private:
    void advanceFloor();
    [[nodiscard]] ClaimOutcome claimKnown(Slot &slot, const ClaimRequest &request);
    [[nodiscard]] ClaimOutcome claimReleased(Slot &slot, const ClaimRequest &request);
    [[nodiscard]] ClaimOutcome claimNew(const ClaimRequest &request);
    [[nodiscard]] ClaimOutcome grant(Slot &slot, const ClaimRequest &request);
    [[nodiscard]] ClaimOutcome finishedOutcome(const Slot &slot) const;
    [[nodiscard]] bool isExpired(UnixMillis keyTime) const noexcept;
    [[nodiscard]] bool isFull() const noexcept { return m_keys.size() >= m_limits.maxKeys; }
    void rejectLateClaim(const ClaimRelease &release);

    ClaimTableLimits m_limits;
    detail::TableClock m_clock;
    detail::KeyStore m_keys;
};

// Counts an operation, advances the time of the log and evicts expired keys, answers and releases.
void ClaimTable::Implementation::advance(UnixMillis now)
{
    ++m_clock.position;
    m_clock.now = std::max(m_clock.now, now);
    advanceFloor();
    m_keys.pruneReleases(m_clock.floor);
    m_keys.evictAnswers(m_clock.now - m_limits.answerRetention, m_limits.maxAnswerBytes);
    m_keys.evictKeysBefore(m_clock.now - m_limits.maxKeyAge);
}

// A position becomes the floor once it is at least attemptWindow old.
void ClaimTable::Implementation::advanceFloor()
{
    if (m_clock.now - m_clock.nextFloorTime < m_limits.attemptWindow)
        return;
    m_clock.floor = std::max(m_clock.floor, m_clock.nextFloor);
    m_clock.nextFloor = m_clock.position;
    m_clock.nextFloorTime = m_clock.now;
}

bool ClaimTable::Implementation::isExpired(UnixMillis keyTime) const noexcept
{
    return keyTime > 0 && keyTime < m_clock.now - m_limits.maxKeyAge;
}

ClaimOutcome ClaimTable::Implementation::claim(const ClaimRequest &request)
{
    auto *const slot = m_keys.find(request.key);
    if (slot == nullptr)
        return claimNew(request);
    if (slot->state() == KeyState::Released)
        return claimReleased(*slot, request);
    return claimKnown(*slot, request);
}

ClaimOutcome ClaimTable::Implementation::claimNew(const ClaimRequest &request)
{
    if (isExpired(request.keyTime))
        return { ClaimDecision::Expired, {} };
    if (request.seenPosition < m_clock.floor)
        return { ClaimDecision::Stale, {} };
    if (isFull())
        return { ClaimDecision::Full, {} };
    return grant(m_keys.add(request.key, 0), request);
}

ClaimOutcome ClaimTable::Implementation::claimReleased(Slot &slot, const ClaimRequest &request)
{
    if (isExpired(request.keyTime))
        return { ClaimDecision::Expired, {} };
    if (request.seenPosition < m_keys.recordOf(slot).position)
        return { ClaimDecision::Stale, {} };
    return grant(slot, request);
}

ClaimOutcome ClaimTable::Implementation::claimKnown(Slot &slot, const ClaimRequest &request)
{
    if (slot.fingerprint != request.fingerprint)
        return { ClaimDecision::FingerprintMismatch, {} };
    if (slot.state() != KeyState::Held)
        return finishedOutcome(slot);
    const bool isHolder = m_keys.recordOf(slot).holder == request.claim;
    return { isHolder ? ClaimDecision::Granted : ClaimDecision::Unresolved, {} };
}

ClaimOutcome ClaimTable::Implementation::grant(Slot &slot, const ClaimRequest &request)
{
    slot.fingerprint = request.fingerprint;
    m_keys.setMinute(slot, detail::keyMinuteOf(request.keyTime));
    m_keys.hold(slot, request.claim);
    return { ClaimDecision::Granted, {} };
}

ClaimOutcome ClaimTable::Implementation::finishedOutcome(const Slot &slot) const
{
    if (slot.state() == KeyState::Tombstone)
        return { ClaimDecision::Finished, {} };
    return { ClaimDecision::Finished, *m_keys.recordOf(slot).answer };
}

bool ClaimTable::Implementation::complete(const ClaimCompletion &completion)
{
    auto *const slot = m_keys.find(completion.key);
    if (slot == nullptr || slot->state() == KeyState::Tombstone)
        return false;
    const auto &record = m_keys.recordOf(*slot);
    if (record.holder != completion.claim)
        return false;
    if (slot->state() != KeyState::Held)
        return slot->state() == KeyState::Finished;
    auto answer = std::make_unique<StoredAnswer>(completion.answer);
    m_keys.finish(*slot, { completion.claim, m_clock.position, m_clock.now, std::move(answer) });
    m_keys.evictAnswers(m_clock.now - m_limits.answerRetention, m_limits.maxAnswerBytes);
    return slot->state() == KeyState::Finished;
}

bool ClaimTable::Implementation::release(const ClaimRelease &release)
{
    auto *const slot = m_keys.find(release.key);
    if (slot == nullptr) {
        rejectLateClaim(release);
        return false;
    }
    if (slot->state() == KeyState::Tombstone)
        return false;
    const auto &record = m_keys.recordOf(*slot);
    const bool isHolder = record.holder == release.claim;
    if (slot->state() == KeyState::Released) {
        if (!isHolder)
            m_keys.release(*slot, record.holder, m_clock.position);
        return isHolder;
    }
    if (!isHolder || slot->state() != KeyState::Held)
        return false;
    m_keys.release(*slot, release.claim, m_clock.position);
    return true;
}

// Records the release of a claim that has not arrived yet, so that the claim is not granted on
// arrival. A full table records nothing; if it has space again when the claim arrives, the claim is
// granted and its key stays without a result.
void ClaimTable::Implementation::rejectLateClaim(const ClaimRelease &release)
{
    if (!isFull())
        m_keys.release(m_keys.add(release.key, 0), ClaimId {}, m_clock.position);
}

ClaimTable::ClaimTable(const ClaimTableLimits &limits)
    : m_implementation(std::make_unique<Implementation>(limits))
{ }

ClaimTable::~ClaimTable() = default;
ClaimTable::ClaimTable(ClaimTable &&) noexcept = default;
ClaimTable &ClaimTable::operator=(ClaimTable &&) noexcept = default;

ClaimOutcome ClaimTable::claim(const ClaimRequest &request, UnixMillis now)
{
    m_implementation->advance(now);
    return m_implementation->claim(request);
}

bool ClaimTable::complete(const ClaimCompletion &completion, UnixMillis now)
{
    m_implementation->advance(now);
    return m_implementation->complete(completion);
}

bool ClaimTable::release(const ClaimRelease &release, UnixMillis now)
{
    m_implementation->advance(now);
    return m_implementation->release(release);
}

void ClaimTable::advancePosition(UnixMillis now) { m_implementation->advance(now); }

std::uint64_t ClaimTable::position() const noexcept { return m_implementation->clock().position; }

std::uint64_t ClaimTable::size() const noexcept { return m_implementation->keys().size(); }

std::uint64_t ClaimTable::answerBytes() const noexcept
{
    return m_implementation->keys().answerBytes();
}

Bytes ClaimTable::encode() const
{
    return detail::encodeTable(m_implementation->clock(), m_implementation->keys());
}

ClaimTable ClaimTable::decode(ByteView bytes, const ClaimTableLimits &limits)
{
    ClaimTable table(limits);
    table.m_implementation->restore(bytes);
    return table;
}

} // namespace ggv
