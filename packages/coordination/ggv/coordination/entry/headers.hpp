#pragma once

#include <string_view>

namespace ggv {

//! Name of the requested service; defaults to the host name in the Host header.
inline constexpr std::string_view ServiceHeader = "Ggv-Service";
//! Time budget of the caller in milliseconds; the remaining time is forwarded to the target.
inline constexpr std::string_view TimeoutHeader = "Ggv-Timeout-Ms";
//! Identifies a non-idempotent request, so that a resend of it is recognised.
inline constexpr std::string_view IdempotencyKeyHeader = "Idempotency-Key";
//! Number and name of the result code.
inline constexpr std::string_view ResultHeader = "Ggv-Result";
//! Whether the request was executed: "done", "not run" or "unknown".
inline constexpr std::string_view VerdictHeader = "Ggv-Verdict";
//! Sent by targets: "leaving" if the target no longer wants new requests, otherwise "working".
inline constexpr std::string_view TargetStateHeader = "Ggv-Target-State";
//! Prefix of the paths that the entry host answers itself instead of forwarding.
inline constexpr std::string_view SystemPathPrefix = "/.well-known/greengagevalve/";

} // namespace ggv
