#pragma once

#include <cstdint>
#include <string_view>

namespace ggv {

//! Tells a caller whether its request was executed.
enum class Verdict : std::uint8_t {
    Done, //!< The target executed the request; its answer is returned.
    NotRun, //!< The request was definitely not executed.
    Unknown, //!< The request may have been executed.
};

//! Result codes, listed in docs/RESULT-CODES.md. Numbers are never reused.
enum class ResultCode : std::uint16_t {
    Ok = 0,

    // 1xx: requests of callers.
    NoSuchService = 101,
    NoWorkingTarget = 102,
    Overloaded = 103,
    ShiftCapReached = 104,
    LinkBudgetReached = 105,
    DeadlineExceededInQueue = 106,
    DeadlineExceededAtTarget = 107,
    TargetConnectionLost = 108,
    TargetAnswerTruncated = 109,
    TargetRefused = 110,
    TargetUnreachable = 111,
    EntryHostLeaving = 112,
    CallerCancelled = 113,
    RetryBudgetSpent = 114,

    // 12x: idempotency keys.
    IdempotencyKeyMissing = 120,
    IdempotencyKeyInvalid = 121,
    IdempotencyKeyReused = 122,
    IdempotencyKeyExpired = 123,
    ClaimUnavailable = 124,
    ClaimUnresolved = 125,
    ClaimStoreFull = 126,
    ResultNotKept = 127,
    ClaimUnconfirmed = 128,

    // 13x: malformed requests.
    MalformedRequest = 130,
    HeaderTooLarge = 131,
    BodyTooLarge = 132,
    RequestTimedOut = 133,
    DeadlineInvalid = 134,

    // 2xx: configuration changes.
    RegisterSyntax = 201,
    RegisterInvalid = 202,
    VersionConflict = 203,
    ChangeOutcomeUnknown = 204,
    NotLeader = 205,
    NoQuorum = 206,
    NotAuthorized = 207,
    UnknownEntity = 208,
    ChangeIdReused = 209,

    // 3xx: settings and connections between hosts.
    SettingsInvalid = 301,
    PeerNotInRegister = 302,
    ProtocolViolation = 303,
    PeerSilent = 304,
    ConnectionLost = 305,
    Timeout = 306,

    // 4xx: storage.
    StorageIo = 401,
    StorageCorrupt = 402,
    StorageIdentityMismatch = 403,
    StorageFull = 404,

    Internal = 500,
};

/**
 * @brief Returns the name of a result code as used in responses, logs and documentation.
 * @param code The result code.
 * @return A stable kebab-case name; "unlisted" for a number without a name.
 */
[[nodiscard]] std::string_view resultCodeName(ResultCode code) noexcept;

/**
 * @brief Returns the name of a verdict as used in responses.
 * @param verdict The verdict.
 * @return "done", "not run" or "unknown".
 */
[[nodiscard]] std::string_view verdictName(Verdict verdict) noexcept;

} // namespace ggv
