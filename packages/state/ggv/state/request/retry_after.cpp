#include <ggv/state/request/retry_after.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace ggv {

namespace {

using std::chrono::seconds;

struct RetryRow
{
    ResultCode code;
    seconds base; // Minimum delay without overload.
    bool scales; // True if the delay increases with overload.
};

constexpr std::array RetryRows {
    RetryRow { ResultCode::NoWorkingTarget, seconds(2), true },
    RetryRow { ResultCode::Overloaded, seconds(1), true },
    RetryRow { ResultCode::ShiftCapReached, seconds(2), true },
    RetryRow { ResultCode::LinkBudgetReached, seconds(2), true },
    RetryRow { ResultCode::DeadlineExceededInQueue, seconds(1), true },
    RetryRow { ResultCode::DeadlineExceededAtTarget, seconds(2), true },
    RetryRow { ResultCode::TargetConnectionLost, seconds(1), true },
    RetryRow { ResultCode::TargetAnswerTruncated, seconds(1), true },
    RetryRow { ResultCode::TargetRefused, seconds(1), true },
    RetryRow { ResultCode::TargetUnreachable, seconds(1), true },
    RetryRow { ResultCode::EntryHostLeaving, seconds(1), false },
    RetryRow { ResultCode::RetryBudgetSpent, seconds(2), true },
    RetryRow { ResultCode::ClaimUnavailable, seconds(1), false },
    RetryRow { ResultCode::ClaimUnresolved, seconds(5), false },
    RetryRow { ResultCode::ClaimStoreFull, seconds(60), false },
    RetryRow { ResultCode::ClaimUnconfirmed, seconds(2), false },
    RetryRow { ResultCode::RequestTimedOut, seconds(1), true },
};

constexpr double MaxOverloadFactor = 16.0;
constexpr double JitterSpread = 2.0; // The maximum delay is 1 + JitterSpread times the minimum.
constexpr double RandomRange = 18446744073709551616.0; // 2^64.

} // namespace

std::optional<seconds> retryAfter(ResultCode code, double overload, std::uint64_t random) noexcept
{
    const auto it = std::find_if(RetryRows.begin(), RetryRows.end(),
                                 [code](const RetryRow &row) { return row.code == code; });
    if (it == RetryRows.end())
        return std::nullopt;
    // NaN counts as no overload.
    const double bounded = overload > 1.0 ? std::min(overload, MaxOverloadFactor) : 1.0;
    const double factor = it->scales ? bounded : 1.0;
    const double jitter = 1.0 + JitterSpread * static_cast<double>(random) / RandomRange;
    const double delay = static_cast<double>(it->base.count()) * factor * jitter;
    return seconds(std::llround(delay));
}

} // namespace ggv
