#pragma once

#include <ggv/state/core/time.hpp>
#include <ggv/state/quarantine/request_fingerprint.hpp>

#include <compare>
#include <cstdint>
#include <string>

namespace ggv {

//! What a report about a request says.
enum class RequestReportKind : std::uint8_t {
    Crash, //!< The request was lost when a target crashed.
    Answer, //!< A target survived the request.
    Quarantine, //!< The request crashes targets and is refused.
};

//! What entry hosts tell each other about requests that may crash targets.
struct RequestReport
{
    RequestReportKind kind = RequestReportKind::Crash;
    RequestFingerprint request;
    std::string instance; //!< Target that crashed; empty for other kinds.
    Duration age { 0 }; //!< Time since the crash or the answer.
    Duration remaining { 0 }; //!< Time until the quarantine ends; 0 for other kinds.

    [[nodiscard]] auto operator<=>(const RequestReport &) const = default;
};

} // namespace ggv
