#include <ggv/state/request/http_status.hpp>

namespace ggv {

std::uint16_t httpStatusOf(ResultCode code) noexcept
{
    switch (code) {
    case ResultCode::Ok:
        return 200;
    case ResultCode::IdempotencyKeyMissing:
    case ResultCode::IdempotencyKeyInvalid:
    case ResultCode::MalformedRequest:
    case ResultCode::DeadlineInvalid:
    case ResultCode::RegisterSyntax:
        return 400;
    case ResultCode::NotAuthorized:
        return 403;
    case ResultCode::NoSuchService:
    case ResultCode::UnknownEntity:
        return 404;
    case ResultCode::RequestTimedOut:
        return 408;
    case ResultCode::ClaimUnresolved:
    case ResultCode::VersionConflict:
    case ResultCode::ChangeIdReused:
        return 409;
    case ResultCode::IdempotencyKeyExpired:
    case ResultCode::ResultNotKept:
        return 410;
    case ResultCode::BodyTooLarge:
        return 413;
    case ResultCode::IdempotencyKeyReused:
    case ResultCode::RegisterInvalid:
        return 422;
    case ResultCode::HeaderTooLarge:
        return 431;
    case ResultCode::CallerCancelled:
        return 499;
    case ResultCode::TargetConnectionLost:
    case ResultCode::TargetAnswerTruncated:
    case ResultCode::TargetUnreachable:
        return 502;
    case ResultCode::NoWorkingTarget:
    case ResultCode::Overloaded:
    case ResultCode::ShiftCapReached:
    case ResultCode::LinkBudgetReached:
    case ResultCode::TargetRefused:
    case ResultCode::EntryHostLeaving:
    case ResultCode::RetryBudgetSpent:
    case ResultCode::ClaimUnavailable:
    case ResultCode::ClaimStoreFull:
    case ResultCode::ClaimUnconfirmed:
    case ResultCode::NotLeader:
    case ResultCode::NoQuorum:
        return 503;
    case ResultCode::DeadlineExceededInQueue:
    case ResultCode::DeadlineExceededAtTarget:
    case ResultCode::ChangeOutcomeUnknown:
        return 504;
    default:
        return 500;
    }
}

} // namespace ggv
