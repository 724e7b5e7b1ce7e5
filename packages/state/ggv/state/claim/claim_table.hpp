#pragma once

#include <ggv/state/core/ids.hpp>
#include <ggv/state/core/result_code.hpp>
#include <ggv/state/core/time.hpp>
#include <ggv/state/storage/disk.hpp>

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ggv {

//! Digest of (service, idempotency key); 128 bits make collisions negligible.
struct KeyDigest
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    [[nodiscard]] auto operator<=>(const KeyDigest &) const noexcept = default;
};

//! Identifies one attempt to execute a request; unique across hosts and restarts.
struct ClaimId
{
    std::uint64_t host = 0; //!< Random number that the claiming process generated at start.
    std::uint64_t sequence = 0;

    [[nodiscard]] auto operator<=>(const ClaimId &) const noexcept = default;
};

//! Requests the right to execute a request once.
struct ClaimRequest
{
    KeyDigest key;
    ClaimId claim;
    std::uint64_t fingerprint
        = 0; //!< Hash of method, path and body; a key reused with another one is rejected.
    UnixMillis keyTime = 0; //!< Creation time that the key contains (UUID version 7); 0 if none.
    std::uint64_t seenPosition
        = 0; //!< ClaimTable::position() known to the entry host when the request arrived.

    [[nodiscard]] auto operator<=>(const ClaimRequest &) const noexcept = default;
};

//! Name and value of a header of a stored answer.
using HeaderField = std::pair<std::string, std::string>;

//! Complete answer of a target, stored so that a resent request receives the same answer.
struct StoredAnswer
{
    std::uint16_t status = 0;
    std::vector<HeaderField> headers;
    Bytes body;
    bool complete = true; //!< False if the request ran but its answer was too large to store.

    [[nodiscard]] auto operator<=>(const StoredAnswer &) const = default;
};

//! Records the result of a claim; accepted only from the holder of the claim.
struct ClaimCompletion
{
    KeyDigest key;
    ClaimId claim;
    StoredAnswer answer;

    [[nodiscard]] auto operator<=>(const ClaimCompletion &) const = default;
};

//! Releases a claim because no byte of the request was sent to a target.
struct ClaimRelease
{
    KeyDigest key;
    ClaimId claim;

    [[nodiscard]] auto operator<=>(const ClaimRelease &) const noexcept = default;
};

//! Decision about a claim request.
enum class ClaimDecision : std::uint8_t {
    Granted, //!< Only the requester may execute the request.
    Finished, //!< The request was executed; its stored answer is to be replayed.
    Unresolved, //!< Claimed by another attempt, no result known: verdict "unknown".
    FingerprintMismatch, //!< The key was used for a different request.
    Expired, //!< The key is older than the table's records: verdict "unknown".
    Full, //!< The table cannot store another key; the claim is rejected.
    Stale, //!< The request may have arrived before the last release of the key: ask again.
};

//! Decision about a claim request and, if it is Finished, the stored answer.
struct ClaimOutcome
{
    ClaimDecision decision = ClaimDecision::Unresolved;
    std::optional<StoredAnswer> answer;

    [[nodiscard]] auto operator<=>(const ClaimOutcome &) const = default;
};

//! Bounds of a claim table.
struct ClaimTableLimits
{
    std::uint64_t maxKeys = 4'000'000; //!< Stored answers and tombstones together.
    std::uint64_t maxAnswerBytes = 64ULL * 1024 * 1024; //!< All stored answers together.
    UnixMillis answerRetention = 24LL * 3600 * 1000; //!< How long an answer is replayed.
    UnixMillis maxKeyAge
        = 48LL * 3600 * 1000; //!< Keys with a creation time are rejected beyond this age.
    UnixMillis attemptWindow
        = 3600LL * 1000; //!< Requests that arrived longer ago may be rejected as stale.

    [[nodiscard]] auto operator<=>(const ClaimTableLimits &) const noexcept = default;
};

/**
 * @brief Deterministic state machine of one claim group; every replica applies the same log.
 *
 * Time is the latest time in the log, never the clock of a replica. Keys without a creation time
 * become tombstones after the retention and are never removed. Keys with a creation time are
 * removed once every resend with them is rejected by age.
 *
 * The position is the number of operations applied to the table. When a claim is released, its
 * caller receives the verdict "not run". Requests with the same key that arrived at any entry host
 * before that must therefore not be executed any more: a claim is granted only if its seenPosition
 * is not before the key's last release. Records of releases are pruned after the attempt window;
 * from then on every claim with an older seenPosition is rejected.
 */
class ClaimTable
{
public:
    //! @param limits Bounds of the table; must be the same on every replica of the group.
    explicit ClaimTable(const ClaimTableLimits &limits = {});
    ~ClaimTable();
    ClaimTable(ClaimTable &&) noexcept;
    ClaimTable &operator=(ClaimTable &&) noexcept;

    /**
     * @brief Claims a key or returns its state. A repeated request with the same ClaimId (a retry
     * within the system) is granted again only while it holds the claim and has no result.
     * @param request The claim request.
     * @param now Time that the leader wrote into the log entry.
     */
    [[nodiscard]] ClaimOutcome claim(const ClaimRequest &request, UnixMillis now);
    //! Records a result; ignored unless the claim is held by the same ClaimId.
    //! @return True if this result is now the stored one.
    bool complete(const ClaimCompletion &completion, UnixMillis now);
    //! Releases a claim; a key that is held or finished by another ClaimId is not changed. If the
    //! claim has not arrived yet, it will be rejected on arrival, unless the table is full.
    //! @return True if this claim was held and its key can be claimed again.
    bool release(const ClaimRelease &release, UnixMillis now);

    //! @return Number of operations applied to the table.
    [[nodiscard]] std::uint64_t position() const noexcept;
    //! Counts an operation that changes no key, so that an entry host can obtain the position.
    void advancePosition(UnixMillis now);
    //! @return Number of keys in the table, including tombstones.
    [[nodiscard]] std::uint64_t size() const noexcept;
    //! @return Number of bytes of the stored answers.
    [[nodiscard]] std::uint64_t answerBytes() const noexcept;
    //! @return The serialized table; equal tables yield equal bytes.
    [[nodiscard]] Bytes encode() const;
    //! @return Table decoded from the result of encode(). @throws Error StorageCorrupt.
    [[nodiscard]] static ClaimTable decode(ByteView bytes, const ClaimTableLimits &limits = {});

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

/**
 * @brief Computes the digest of an idempotency key of a service.
 * @param service Name of the service.
 * @param key The key as sent by the caller.
 */
[[nodiscard]] KeyDigest digestKey(const ServiceName &service, std::string_view key) noexcept;

/**
 * @brief Extracts the creation time from an idempotency key.
 * @param key The key as sent by the caller.
 * @return Milliseconds since the Unix epoch if the key is a UUID of version 7, otherwise 0.
 */
[[nodiscard]] UnixMillis timestampOfKey(std::string_view key) noexcept;

} // namespace ggv
