#include <ggv/ctl/api_client.hpp>

#include <ggv/ctl/http_call.hpp>
#include <ggv/state/model/endpoint_text.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace ggv {

namespace {

using nlohmann::json;

// Exceeds the time that a host waits for a quorum.
constexpr Duration CallTimeout = std::chrono::seconds(10);
constexpr std::uint16_t StatusOk = 200;
constexpr std::uint16_t StatusUnauthorized = 401;
constexpr std::uint16_t StatusForbidden = 403;
constexpr std::uint16_t StatusServerError = 500;
const char *const VersionHeader = "Ggv-Version";

json parseBody(const HttpAnswer &answer)
{
    json body = json::parse(answer.body, nullptr, false);
    if (body.is_discarded() || !body.is_object())
        throw Error(ResultCode::ProtocolViolation,
                    "the response with status " + std::to_string(answer.status)
                        + " is not a JSON object");
    return body;
}

ResultCode resultCodeOf(const json &body)
{
    return static_cast<ResultCode>(
        body.value("result", static_cast<int>(ResultCode::ProtocolViolation)));
}

bool isTokenRejected(const HttpAnswer &answer)
{
    return answer.status == StatusUnauthorized || answer.status == StatusForbidden;
}

void requireOk(const HttpAnswer &answer)
{
    if (isTokenRejected(answer))
        throw Error(ResultCode::NotAuthorized, "the host rejected the token");
    if (answer.status == StatusOk)
        return;
    const json body = parseBody(answer);
    throw Error(resultCodeOf(body),
                body.value("message", "status " + std::to_string(answer.status)));
}

std::vector<RegisterFault> parseFaults(const json &body)
{
    std::vector<RegisterFault> faults;
    for (const auto &fault : body.value("faults", json::array()))
        faults.push_back({ fault.value("line", 0U), fault.value("column", 0U),
                           fault.value("message", std::string()) });
    return faults;
}

ChangeOutcome parseOutcome(const HttpAnswer &answer)
{
    const json body = parseBody(answer);
    try {
        return { resultCodeOf(body), body.value("version", RegisterVersion { 0 }),
                 body.value("message", std::string()), parseFaults(body) };
    } catch (const json::exception &error) {
        throw Error(ResultCode::ProtocolViolation,
                    std::string("the response has a member of another type: ") + error.what());
    }
}

void addFailure(std::string &failures, const Endpoint &host, const std::string &message)
{
    if (!failures.empty())
        failures += "; ";
    failures += formatEndpoint(host) + ": " + message;
}

} // namespace

Register FetchedRegister::parse() const
{
    const RegisterDocument document = parseRegisterToml(text);
    if (!document.faults.empty())
        throw Error(ResultCode::ProtocolViolation,
                    "the register sent by the host cannot be parsed");
    return Register::create(version, document.content).value();
}

ApiClient::ApiClient(ConnectionOptions options)
    : m_options(std::move(options))
{ }

HttpRequestHead ApiClient::head(const std::string &method, const std::string &target) const
{
    HttpRequestHead head;
    head.method = method;
    head.target = target;
    head.headers = { { "Authorization", "Bearer " + m_options.token } };
    return head;
}

HttpAnswer ApiClient::get(const std::string &target) const
{
    HttpCall call { head("GET", target), {} };
    std::optional<HttpAnswer> last;
    std::string failures;
    for (const auto &host : m_options.hosts) {
        try {
            call.head.headers.resize(1);
            call.head.headers.push_back({ "Host", formatEndpoint(host) });
            last = callHttp(host, call, CallTimeout);
            if (last->status < StatusServerError)
                return *last;
        } catch (const Error &error) {
            addFailure(failures, host, error.what());
        }
    }
    if (!last)
        throw Error(ResultCode::TargetUnreachable, failures);
    return *last;
}

FetchedRegister ApiClient::fetchRegister() const
{
    const HttpAnswer answer = get("/v1/register");
    requireOk(answer);
    const std::string *header = findHeader(answer.headers, VersionHeader);
    FetchedRegister fetched;
    fetched.text = answer.body;
    if (header == nullptr)
        throw Error(ResultCode::ProtocolViolation,
                    "the register response has no Ggv-Version header");
    const char *last = header->data() + header->size();
    const auto parsed = std::from_chars(header->data(), last, fetched.version);
    if (parsed.ec != std::errc() || parsed.ptr != last)
        throw Error(ResultCode::ProtocolViolation,
                    "the Ggv-Version header of the register response is not a number");
    return fetched;
}

json ApiClient::fetchJson(const std::string &target) const
{
    const HttpAnswer answer = get(target);
    requireOk(answer);
    return parseBody(answer);
}

ChangeOutcome ApiClient::apply(const ChangeRequest &change) const
{
    HttpCall call { head("POST",
                         "/v1/register?change=" + encodeQueryValue(change.id.text())
                             + "&expected=" + std::to_string(change.expected)),
                    change.text };
    call.head.contentLength = change.text.size();
    bool mayHaveExecuted = false;
    std::string failures;
    for (const auto &host : m_options.hosts) {
        try {
            call.head.headers.resize(1);
            call.head.headers.push_back({ "Host", formatEndpoint(host) });
            const HttpAnswer answer = callHttp(host, call, CallTimeout);
            if (isTokenRejected(answer) && !mayHaveExecuted)
                requireOk(answer);
            // After a server error, such as a missing quorum, the change may still be committed.
            if (answer.status < StatusServerError && !isTokenRejected(answer))
                return parseOutcome(answer);
            mayHaveExecuted = true;
            addFailure(failures, host, "status " + std::to_string(answer.status));
        } catch (const Error &error) {
            if (error.code() == ResultCode::NotAuthorized)
                throw;
            mayHaveExecuted = mayHaveExecuted || error.code() != ResultCode::TargetUnreachable;
            addFailure(failures, host, error.what());
        }
    }
    if (!mayHaveExecuted)
        throw Error(ResultCode::TargetUnreachable, failures);
    return { ResultCode::ChangeOutcomeUnknown, 0, failures, {} };
}

std::string encodeQueryValue(const std::string &text)
{
    constexpr std::string_view Digits = "0123456789ABCDEF";
    constexpr unsigned HexBits = 4;
    constexpr unsigned HexMask = 0xF;
    constexpr std::string_view Plain = "-._~";
    std::string encoded;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || Plain.find(c) != std::string_view::npos) {
            encoded += c;
            continue;
        }
        encoded += '%';
        encoded += Digits[byte >> HexBits];
        encoded += Digits[byte & HexMask];
    }
    return encoded;
}

} // namespace ggv
