#include <ggv/state/core/result_code.hpp>

namespace ggv {

std::string_view resultCodeName(ResultCode code) noexcept
{
    switch (code) {
    case ResultCode::Ok:
        return "ok";
    case ResultCode::NoSuchService:
        return "no-such-service";
    case ResultCode::NoWorkingTarget:
        return "no-working-target";
    case ResultCode::Overloaded:
        return "overloaded";
    case ResultCode::ShiftCapReached:
        return "shift-cap-reached";
    case ResultCode::LinkBudgetReached:
        return "link-budget-reached";
    case ResultCode::DeadlineExceededInQueue:
        return "deadline-exceeded-in-queue";
    case ResultCode::DeadlineExceededAtTarget:
        return "deadline-exceeded-at-target";
    case ResultCode::TargetConnectionLost:
        return "target-connection-lost";
    case ResultCode::TargetAnswerTruncated:
        return "target-answer-truncated";
    case ResultCode::TargetRefused:
        return "target-refused";
    case ResultCode::TargetUnreachable:
        return "target-unreachable";
    case ResultCode::EntryHostLeaving:
        return "entry-host-leaving";
    case ResultCode::CallerCancelled:
        return "caller-cancelled";
    case ResultCode::RetryBudgetSpent:
        return "retry-budget-spent";
    case ResultCode::IdempotencyKeyMissing:
        return "idempotency-key-missing";
    case ResultCode::IdempotencyKeyInvalid:
        return "idempotency-key-invalid";
    case ResultCode::IdempotencyKeyReused:
        return "idempotency-key-reused";
    case ResultCode::IdempotencyKeyExpired:
        return "idempotency-key-expired";
    case ResultCode::ClaimUnavailable:
        return "claim-unavailable";
    case ResultCode::ClaimUnresolved:
        return "claim-unresolved";
    case ResultCode::ClaimStoreFull:
        return "claim-store-full";
    case ResultCode::ResultNotKept:
        return "result-not-kept";
    case ResultCode::ClaimUnconfirmed:
        return "claim-unconfirmed";
    case ResultCode::MalformedRequest:
        return "malformed-request";
    case ResultCode::HeaderTooLarge:
        return "header-too-large";
    case ResultCode::BodyTooLarge:
        return "body-too-large";
    case ResultCode::RequestTimedOut:
        return "request-timed-out";
    case ResultCode::DeadlineInvalid:
        return "deadline-invalid";
    case ResultCode::RegisterSyntax:
        return "register-syntax";
    case ResultCode::RegisterInvalid:
        return "register-invalid";
    case ResultCode::VersionConflict:
        return "version-conflict";
    case ResultCode::ChangeOutcomeUnknown:
        return "change-outcome-unknown";
    case ResultCode::NotLeader:
        return "not-leader";
    case ResultCode::NoQuorum:
        return "no-quorum";
    case ResultCode::NotAuthorized:
        return "not-authorized";
    case ResultCode::UnknownEntity:
        return "unknown-entity";
    case ResultCode::ChangeIdReused:
        return "change-id-reused";
    case ResultCode::SettingsInvalid:
        return "settings-invalid";
    case ResultCode::PeerNotInRegister:
        return "peer-not-in-register";
    case ResultCode::ProtocolViolation:
        return "protocol-violation";
    case ResultCode::PeerSilent:
        return "peer-silent";
    case ResultCode::ConnectionLost:
        return "connection-lost";
    case ResultCode::Timeout:
        return "timeout";
    case ResultCode::StorageIo:
        return "storage-io";
    case ResultCode::StorageCorrupt:
        return "storage-corrupt";
    case ResultCode::StorageFull:
        return "storage-full";
    case ResultCode::StorageIdentityMismatch:
        return "storage-identity-mismatch";
    case ResultCode::Internal:
        return "internal";
    }
    return "unlisted";
}

std::string_view verdictName(Verdict verdict) noexcept
{
    switch (verdict) {
    case Verdict::Done:
        return "done";
    case Verdict::NotRun:
        return "not run";
    case Verdict::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace ggv
