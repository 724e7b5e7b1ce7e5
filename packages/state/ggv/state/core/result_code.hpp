#pragma once

#include <cstdint>
#include <string_view>

namespace ggv {

//! What a caller may conclude about its request.
enum class Verdict : std::uint8_t {
    Done, //!< The target executed the request and its answer is returned.
    NotRun, //!< The request certainly was not executed.
    Unknown, //!< The request may have been executed.
};

//! Numbered results; docs/RESULT-CODES.md lists them. Numbers are never reused.
enum class ResultCode : std::uint16_t {
    Ok = 0,

    // 1xx: a caller's request.
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

    // 3xx: settings and the system's own connections.
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

    Internal = 500,
};

/**
 * @brief Name of a result code as it appears in answers, logs and the docs.
 * @param code The code.
 * @return A stable kebab-case name; "unlisted" for a number that is not in the table.
 */
[[nodiscard]] std::string_view resultCodeName(ResultCode code) noexcept;

/**
 * @brief Name of a verdict as it appears in answers.
 * @param verdict The verdict.
 * @return "done", "not run" or "unknown".
 */
[[nodiscard]] std::string_view verdictName(Verdict verdict) noexcept;

} // namespace ggv
