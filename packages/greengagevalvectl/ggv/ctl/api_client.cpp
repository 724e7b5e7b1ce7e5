#include <ggv/ctl/api_client.hpp>

#include <ggv/ctl/http_call.hpp>
#include <ggv/state/model/endpoint_text.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace ggv {

namespace {

using nlohmann::json;

// Longer than a host waits for a majority.
constexpr Duration CallTimeout = std::chrono::seconds(10);
constexpr std::uint16_t StatusOk = 200;
constexpr std::uint16_t StatusUnauthorized = 401;
constexpr std::uint16_t StatusForbidden = 403;
constexpr std::uint16_t StatusServerFault = 500;
const char *const VersionHeader = "Ggv-Version";

json parseBody(const HttpAnswer &answer)
{
    json body = json::parse(answer.body, nullptr, false);
    if (body.is_discarded() || !body.is_object())
        throw Error(ResultCode::ProtocolViolation,
                    "the answer with status " + std::to_string(answer.status) + " is not JSON");
    return body;
}

ResultCode codeOf(const json &body)
{
    return static_cast<ResultCode>(
        body.value("result", static_cast<int>(ResultCode::ProtocolViolation)));
}

bool refusesToken(const HttpAnswer &answer)
{
    return answer.status == StatusUnauthorized || answer.status == StatusForbidden;
}

void requireOk(const HttpAnswer &answer)
{
    if (refusesToken(answer))
        throw Error(ResultCode::NotAuthorized, "the token is not accepted");
    if (answer.status == StatusOk)
        return;
    const json body = parseBody(answer);
    throw Error(codeOf(body), body.value("message", "status " + std::to_string(answer.status)));
}

std::vector<RegisterFault> faultsOf(const json &body)
{
    std::vector<RegisterFault> faults;
    for (const auto &fault : body.value("faults", json::array()))
        faults.push_back({ fault.value("line", 0U), fault.value("column", 0U),
                           fault.value("message", std::string()) });
    return faults;
}

ChangeOutcome outcomeOf(const HttpAnswer &answer)
{
    const json body = parseBody(answer);
    return { codeOf(body), body.value("version", RegisterVersion { 0 }),
             body.value("message", std::string()), faultsOf(body) };
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
        throw Error(ResultCode::ProtocolViolation, "the host's register cannot be read");
    return Register::create(version, document.content).value();
}

ApiClient::ApiClient(Access access)
    : m_access(std::move(access))
{ }

HttpRequestHead ApiClient::head(const std::string &method, const std::string &target) const
{
    HttpRequestHead head;
    head.method = method;
    head.target = target;
    head.headers = { { "Authorization", "Bearer " + m_access.token } };
    return head;
}

HttpAnswer ApiClient::get(const std::string &target) const
{
    HttpCall call { head("GET", target), {} };
    std::optional<HttpAnswer> last;
    std::string failures;
    for (const auto &host : m_access.hosts) {
        try {
            call.head.headers.resize(1);
            call.head.headers.push_back({ "Host", formatEndpoint(host) });
            last = callHttp(host, call, CallTimeout);
            if (last->status < StatusServerFault)
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
        throw Error(ResultCode::ProtocolViolation, "the answer states no version");
    const char *last = header->data() + header->size();
    const auto parsed = std::from_chars(header->data(), last, fetched.version);
    if (parsed.ec != std::errc() || parsed.ptr != last)
        throw Error(ResultCode::ProtocolViolation, "the answer's version is not a number");
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
    bool mayHaveRun = false;
    std::string failures;
    for (const auto &host : m_access.hosts) {
        try {
            call.head.headers.resize(1);
            call.head.headers.push_back({ "Host", formatEndpoint(host) });
            const HttpAnswer answer = callHttp(host, call, CallTimeout);
            if (refusesToken(answer) && !mayHaveRun)
                requireOk(answer);
            // A host that answers without a majority may still get one later.
            if (answer.status < StatusServerFault && !refusesToken(answer))
                return outcomeOf(answer);
            mayHaveRun = true;
            addFailure(failures, host, "status " + std::to_string(answer.status));
        } catch (const Error &error) {
            if (error.code() == ResultCode::NotAuthorized)
                throw;
            mayHaveRun = mayHaveRun || error.code() != ResultCode::TargetUnreachable;
            addFailure(failures, host, error.what());
        }
    }
    if (!mayHaveRun)
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
