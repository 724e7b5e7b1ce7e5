#pragma once

#include <ggv/coordination/entry/entry_view.hpp>
#include <ggv/state/request/request_event.hpp>
#include <ggv/transport/http/http_types.hpp>

#include <optional>
#include <string>

namespace ggv {

//! What the head of a request asks for.
struct RequestPlan
{
    const ServiceRoute *route = nullptr; //!< Null if refused for an unknown service.
    RequestKind kind = RequestKind::Idempotent;
    std::string key; //!< Idempotency key; empty if there is none.
    Duration remainingTime
        = DefaultServiceDeadline; //!< Until the deadline, counted from the arrival of the head.
    ResultCode refusal = ResultCode::Ok; //!< Other than Ok: refuse the request.
    std::string message; //!< Why it is refused.
};

//! Longest deadline that a caller may ask for.
inline constexpr Duration MaxDeadline = std::chrono::minutes(10);
//! Longest idempotency key in bytes.
inline constexpr std::size_t MaxKeyBytes = 256;

/**
 * @brief Reads service, kind, key and deadline from the head of a request.
 * @param view The register in force.
 * @param head The head.
 * @return The plan.
 */
[[nodiscard]] RequestPlan planRequest(const EntryView &view, const HttpRequestHead &head);

} // namespace ggv
