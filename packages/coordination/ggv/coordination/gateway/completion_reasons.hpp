#pragma once

#include <cstdint>

//! Statuses and values of the log field "reason" of completed requests.
namespace ggv::detail {

inline constexpr std::uint16_t StatusBadRequest = 400;
inline constexpr std::uint16_t StatusNotFound = 404;
inline constexpr std::uint16_t StatusRequestTimeout = 408;
inline constexpr std::uint16_t StatusMisdirected = 421;
inline constexpr std::uint16_t StatusTooManyRequests = 429;
inline constexpr std::uint16_t StatusServerError = 500;
inline constexpr std::uint16_t StatusBadGateway = 502;
inline constexpr std::uint16_t StatusUnavailable = 503;
inline constexpr std::uint16_t StatusGatewayTimeout = 504;

inline constexpr const char *NoConfiguration = "no-configuration";
inline constexpr const char *RoutesOutdated = "routes-outdated";
inline constexpr const char *HostLeaving = "host-leaving";
inline constexpr const char *PathLost = "path-lost";
inline constexpr const char *PeersUnavailable = "peers-unavailable";
inline constexpr const char *TargetsFull = "targets-full";
inline constexpr const char *TargetsBackingOff = "targets-backing-off";
inline constexpr const char *TargetsRateLimited = "targets-rate-limited";
inline constexpr const char *RequestQuarantined = "request-quarantined";
inline constexpr const char *BodyMemoryFull = "body-memory-full";
inline constexpr const char *NoTimeLeft = "no-time-left";
inline constexpr const char *NoTargetListed = "no-target-listed";
inline constexpr const char *TargetsUnreachable = "targets-unreachable";
inline constexpr const char *NotExecuted = "not-executed";
inline constexpr const char *DeadlinePassed = "deadline-passed";
inline constexpr const char *TargetLost = "target-lost";
inline constexpr const char *PeerLost = "forwarding-peer-lost";
inline constexpr const char *TargetFailed = "target-failed";
inline constexpr const char *TargetAnswered = "target-answered";
inline constexpr const char *TargetAnsweredLate = "target-answered-late";

//! @return True if the status promises the caller that the request was not executed.
[[nodiscard]] constexpr bool promisesNotExecuted(std::uint16_t status) noexcept
{
    return status == StatusUnavailable || status == StatusTooManyRequests
        || status == StatusRequestTimeout;
}

} // namespace ggv::detail
