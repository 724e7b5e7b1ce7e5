#include <ggv/coordination/entry/system_answer.hpp>

#include <ggv/coordination/entry/headers.hpp>

#include <nlohmann/json.hpp>

namespace ggv {

HttpAnswer systemAnswer(const FinalAnswer &answer, const std::string &message)
{
    const auto number = static_cast<std::uint16_t>(answer.code);
    const std::string name(resultCodeName(answer.code));
    nlohmann::json body { { "result", number },
                          { "name", name },
                          { "verdict", verdictName(answer.verdict) },
                          { "message", message } };
    HttpAnswer http;
    http.status = answer.status;
    http.headers = { { "Content-Type", "application/json" },
                     { std::string(ResultHeader), std::to_string(number) + " " + name },
                     { std::string(VerdictHeader), std::string(verdictName(answer.verdict)) } };
    if (answer.retryAfter) {
        body["retry_after_s"] = answer.retryAfter->count();
        http.headers.push_back({ "Retry-After", std::to_string(answer.retryAfter->count()) });
    }
    // The message may quote request bytes that are not valid UTF-8; these are replaced.
    http.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    return http;
}

HttpAnswer faultAnswer(ResultCode code, const std::string &message)
{
    RequestStateMachine outcome(Instant::max());
    RequestEvent event { RequestEventKind::Refused };
    event.code = code;
    return systemAnswer(*outcome.apply(event, {}).answer, message);
}

} // namespace ggv
