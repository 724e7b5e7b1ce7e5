#pragma once

#include <ggv/coordination/entry/entry_view.hpp>
#include <ggv/state/request/request_event.hpp>
#include <ggv/transport/http/http_types.hpp>

#include <optional>
#include <string>

namespace ggv {

//! Routing parameters taken from the head of a request.
struct RequestPlan
{
    const ServiceRoute *route = nullptr; //!< Null if the service is unknown.
    RequestKind kind = RequestKind::Idempotent;
    std::string key; //!< Idempotency key; empty if there is none.
    Duration remainingTime = DefaultServiceDeadline; //!< From the arrival of the head.
    ResultCode refusal = ResultCode::Ok; //!< Any code but Ok refuses the request.
    std::string message; //!< Reason for the refusal.
};

//! Longest time budget that a caller may request.
inline constexpr Duration MaxDeadline = std::chrono::minutes(10);
//! Maximum length of an idempotency key.
inline constexpr std::size_t MaxKeyBytes = 256;

/**
 * @brief Determines service, kind, idempotency key and deadline of a request.
 * @param view Routing view of the register in force.
 * @param head Head of the request.
 * @return The plan; its refusal is set if the request is invalid.
 */
[[nodiscard]] RequestPlan planRequest(const EntryView &view, const HttpRequestHead &head);

} // namespace ggv
