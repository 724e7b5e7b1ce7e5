#include <ggv/coordination/entry/request_plan.hpp>

#include <ggv/coordination/entry/headers.hpp>

#include <algorithm>
#include <charconv>
#include <string_view>

namespace ggv {

namespace {

// Returns the service header or, without one, the Host header without its port.
std::string serviceNameOf(const HttpRequestHead &head)
{
    if (const auto *name = findHeader(head.headers, ServiceHeader))
        return *name;
    const auto *host = findHeader(head.headers, "Host");
    if (host == nullptr)
        return {};
    return host->substr(0, host->rfind(':'));
}

bool isBelow(std::string_view path, std::string_view prefix)
{
    if (!path.starts_with(prefix))
        return false;
    return path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/';
}

bool isNonIdempotent(const Service &service, const HttpRequestHead &head)
{
    const std::string_view path = std::string_view(head.target).substr(0, head.target.find('?'));
    const auto &routes = service.nonIdempotent;
    return std::any_of(routes.begin(), routes.end(), [&](const NonIdempotentRoute &route) {
        return route.method == head.method && isBelow(path, route.pathPrefix);
    });
}

bool isVisibleAscii(const std::string &text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

void refuse(RequestPlan &plan, ResultCode code, std::string message)
{
    plan.refusal = code;
    plan.message = std::move(message);
}

void readIdempotencyKey(RequestPlan &plan, const HttpRequestHead &head)
{
    if (const auto *key = findHeader(head.headers, IdempotencyKeyHeader))
        plan.key = *key;
    if (plan.kind == RequestKind::Idempotent)
        return;
    if (plan.key.empty())
        refuse(plan, ResultCode::IdempotencyKeyMissing,
               "this request runs at most once and needs an Idempotency-Key");
    else if (plan.key.size() > MaxKeyBytes || !isVisibleAscii(plan.key))
        refuse(plan, ResultCode::IdempotencyKeyInvalid,
               "Idempotency-Key must be 1 to 256 visible ASCII characters");
    else if (!plan.route->service->claimGroup)
        refuse(plan, ResultCode::ClaimUnavailable, "the service has no claim group");
}

void readDeadline(RequestPlan &plan, const HttpRequestHead &head)
{
    const auto *text = findHeader(head.headers, TimeoutHeader);
    if (text == nullptr)
        return;
    std::int64_t milliseconds = 0;
    const char *last = text->data() + text->size();
    const auto [end, status] = std::from_chars(text->data(), last, milliseconds);
    const auto limit = std::chrono::duration_cast<std::chrono::milliseconds>(MaxDeadline).count();
    if (status != std::errc() || end != last || milliseconds < 1 || milliseconds > limit)
        refuse(plan, ResultCode::DeadlineInvalid,
               "Ggv-Timeout-Ms must be a whole number from 1 to " + std::to_string(limit));
    else
        plan.remainingTime = std::chrono::milliseconds(milliseconds);
}

} // namespace

RequestPlan planRequest(const EntryView &view, const HttpRequestHead &head)
{
    RequestPlan plan;
    const std::string name = serviceNameOf(head);
    plan.route = view.service(name);
    if (plan.route == nullptr) {
        const bool hasKey = findHeader(head.headers, IdempotencyKeyHeader) != nullptr;
        plan.kind = hasKey ? RequestKind::NonIdempotent : RequestKind::Idempotent;
        refuse(plan, ResultCode::NoSuchService, "no service is named '" + name + "'");
        return plan;
    }
    plan.remainingTime = plan.route->service->defaultDeadline;
    if (isNonIdempotent(*plan.route->service, head))
        plan.kind = RequestKind::NonIdempotent;
    readIdempotencyKey(plan, head);
    if (plan.refusal == ResultCode::Ok)
        readDeadline(plan, head);
    return plan;
}

} // namespace ggv
