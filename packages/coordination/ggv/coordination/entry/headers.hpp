#pragma once

#include <string_view>

namespace ggv {

//! Service that a request is for; without it the Host header names the service.
inline constexpr std::string_view ServiceHeader = "Ggv-Service";
//! Time in milliseconds that the caller still waits; passed on with what is left.
inline constexpr std::string_view TimeoutHeader = "Ggv-Timeout-Ms";
//! Makes a non-idempotent request recognisable when it is sent again.
inline constexpr std::string_view IdempotencyKeyHeader = "Idempotency-Key";
//! Number and name of the result.
inline constexpr std::string_view ResultHeader = "Ggv-Result";
//! "done", "not run" or "unknown".
inline constexpr std::string_view VerdictHeader = "Ggv-Verdict";
//! By which a target says that it is leaving ("leaving") or not ("working").
inline constexpr std::string_view TargetStateHeader = "Ggv-Target-State";
//! Paths below this one are answered by the system itself.
inline constexpr std::string_view SystemPathPrefix = "/.well-known/greengagevalve/";

} // namespace ggv
