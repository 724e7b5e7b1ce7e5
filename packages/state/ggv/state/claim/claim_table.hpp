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

//! Digest of (service, idempotency key); 128 bits so that two keys never meet in practice.
struct KeyDigest
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    [[nodiscard]] auto operator<=>(const KeyDigest &) const noexcept = default;
};

//! One attempt to run one request; unique over hosts and their restarts.
struct ClaimId
{
    std::uint64_t host = 0; //!< Random number that the claiming process drew when it started.
    std::uint64_t sequence = 0;

    [[nodiscard]] auto operator<=>(const ClaimId &) const noexcept = default;
};

//! Asks for the right to run a request once.
struct ClaimRequest
{
    KeyDigest key;
    ClaimId claim;
    std::uint64_t fingerprint
        = 0; //!< Of method, path and body; the same key with another one is refused.
    UnixMillis keyTime = 0; //!< When the key was made, if it says so (UUID version 7); else 0.
    std::uint64_t seenPosition
        = 0; //!< ClaimTable::position() that the entry host knew when the request arrived.

    [[nodiscard]] auto operator<=>(const ClaimRequest &) const noexcept = default;
};

//! A header of a kept answer.
using HeaderField = std::pair<std::string, std::string>;

//! A target's answer, kept whole so that a resent request gets the same one.
struct StoredAnswer
{
    std::uint16_t status = 0;
    std::vector<HeaderField> headers;
    Bytes body;
    bool complete = true; //!< False: the request ran, but its answer was too large to keep.

    [[nodiscard]] auto operator<=>(const StoredAnswer &) const = default;
};

//! Records the result of a claim; only the holder of the claim may.
struct ClaimCompletion
{
    KeyDigest key;
    ClaimId claim;
    StoredAnswer answer;

    [[nodiscard]] auto operator<=>(const ClaimCompletion &) const = default;
};

//! Gives a claim back because certainly no byte of the request went to a target.
struct ClaimRelease
{
    KeyDigest key;
    ClaimId claim;

    [[nodiscard]] auto operator<=>(const ClaimRelease &) const noexcept = default;
};

//! Result of asking for a claim.
enum class ClaimDecision : std::uint8_t {
    Granted, //!< The asker alone may run the request.
    Finished, //!< It ran; the kept answer is to be replayed.
    Unresolved, //!< It was claimed and no result is known: unknown.
    FingerprintMismatch, //!< The key was used for another request.
    Expired, //!< The key is older than the table remembers: unknown.
    Full, //!< The table cannot take a further key; this claim is refused.
    Stale, //!< The request may have arrived before the key was last given back: ask again.
};

//! Decision and, for Finished, the answer.
struct ClaimOutcome
{
    ClaimDecision decision = ClaimDecision::Unresolved;
    std::optional<StoredAnswer> answer;

    [[nodiscard]] auto operator<=>(const ClaimOutcome &) const = default;
};

//! Bounds of a claim table.
struct ClaimTableLimits
{
    std::uint64_t maxKeys = 4'000'000; //!< Kept answers and tombstones together.
    std::uint64_t maxAnswerBytes = 64ULL * 1024 * 1024; //!< All kept answers together.
    UnixMillis answerRetention = 24LL * 3600 * 1000; //!< A finished answer is replayed this long.
    UnixMillis maxKeyAge
        = 48LL * 3600 * 1000; //!< Keys that state their time are refused after this age.
    UnixMillis attemptWindow
        = 3600LL * 1000; //!< Requests that arrived longer ago may be refused as stale.

    [[nodiscard]] auto operator<=>(const ClaimTableLimits &) const noexcept = default;
};

/**
 * @brief Deterministic state machine of one claim group; every replica applies the same log.
 *
 * Time is the largest time seen in the log, never the clock of a replica. Keys without a time of
 * their own shrink to a tombstone after the retention and are never forgotten; keys that state
 * their time are forgotten once every resend with them is refused by age.
 *
 * The position counts the operations of the table. A caller is told "not run" when its claim is
 * given back, so requests with the same key that arrived at any entry host
 * before that must not run any more: a claim is granted only if its seenPosition is not before the
 * key's last release. The records of releases are dropped after the attempt window; from then on
 * every claim with an older seenPosition is refused.
 */
class ClaimTable
{
public:
    //! @param limits Bounds; the same on every replica of the group.
    explicit ClaimTable(const ClaimTableLimits &limits = {});
    ~ClaimTable();
    ClaimTable(ClaimTable &&) noexcept;
    ClaimTable &operator=(ClaimTable &&) noexcept;

    /**
     * @brief Claims a key, or tells what became of it. The same ClaimId asked twice (a retry inside
     * the system) is granted again only while it is the holder and has not finished.
     * @param request The claim.
     * @param now Time that the leader wrote into the log entry.
     */
    [[nodiscard]] ClaimOutcome claim(const ClaimRequest &request, UnixMillis now);
    //! Records a result; ignored unless the claim is held by the same ClaimId.
    //! @return True if the result is now the kept one.
    bool complete(const ClaimCompletion &completion, UnixMillis now);
    //! Gives a claim back; a key that another ClaimId holds or finished is left alone. If the claim
    //! has not arrived yet, it is refused when it does, unless the table is full.
    //! @return True if this claim was held and the key is free again.
    bool release(const ClaimRelease &release, UnixMillis now);

    //! @return Number of operations that the table has seen.
    [[nodiscard]] std::uint64_t position() const noexcept;
    //! Counts an operation that changes no key; lets an entry host learn the position.
    void advancePosition(UnixMillis now);
    //! @return Number of keys held, tombstones included.
    [[nodiscard]] std::uint64_t size() const noexcept;
    //! @return Bytes of kept answers.
    [[nodiscard]] std::uint64_t answerBytes() const noexcept;
    //! @return The table as bytes; equal tables give equal bytes.
    [[nodiscard]] Bytes encode() const;
    //! @return A table from encode()d bytes. @throws Error StorageCorrupt.
    [[nodiscard]] static ClaimTable decode(ByteView bytes, const ClaimTableLimits &limits = {});

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

/**
 * @brief Digest of an idempotency key within a service.
 * @param service The service.
 * @param key The key as the caller sent it.
 */
[[nodiscard]] KeyDigest digestKey(const ServiceName &service, std::string_view key) noexcept;

/**
 * @brief Time that a key states about itself.
 * @param key The key as the caller sent it.
 * @return Milliseconds since the Unix epoch for a UUID of version 7, else 0.
 */
[[nodiscard]] UnixMillis timestampOfKey(std::string_view key) noexcept;

} // namespace ggv
