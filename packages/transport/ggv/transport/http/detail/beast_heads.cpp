#include <ggv/transport/http/detail/beast_heads.hpp>

#include <ggv/state/request/http_status.hpp>

#include <charconv>

namespace ggv::detail {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

std::string toString(beast::string_view view) { return { view.data(), view.size() }; }

template <typename Fields>
HttpHeaders headersOf(const Fields &fields)
{
    HttpHeaders headers;
    for (const auto &field : fields)
        headers.push_back({ toString(field.name_string()), toString(field.value()) });
    return headers;
}

template <typename Fields>
std::optional<std::uint64_t> contentLengthOf(const Fields &fields)
{
    const auto it = fields.find(http::field::content_length);
    if (it == fields.end())
        return std::nullopt;
    const auto text = it->value();
    std::uint64_t length = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), length);
    if (ec != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return length;
}

constexpr beast::string_view AbsoluteScheme = "http://";

constexpr const char *OtherCoding = "Transfer-Encoding other than chunked";

bool isOriginOrAsteriskForm(beast::string_view target)
{
    return !target.empty() && (target.front() == '/' || target == "*");
}

// Returns host and port of an absolute-form target; empty for other forms.
beast::string_view authorityOf(beast::string_view target)
{
    if (!beast::iequals(target.substr(0, AbsoluteScheme.size()), AbsoluteScheme))
        return {};
    const auto rest = target.substr(AbsoluteScheme.size());
    return rest.substr(0, rest.find_first_of("/?#"));
}

// RFC 9112 3.2.2: an absolute-form target is accepted, and its authority replaces the Host header.
void applyAbsoluteForm(HttpRequestHead &head)
{
    const std::string authority = toString(authorityOf(head.target));
    if (authority.empty())
        return;
    head.target.erase(0, AbsoluteScheme.size() + authority.size());
    if (!head.target.starts_with('/'))
        head.target.insert(0, "/");
    for (auto &header : head.headers) {
        if (equalsIgnoreCase(header.name, "Host"))
            header.value = authority;
    }
}

template <typename Fields>
bool hasLengthAndTransferEncoding(const Fields &fields)
{
    return fields.count(http::field::content_length) > 0
        && fields.count(http::field::transfer_encoding) > 0;
}

// The parser removes the chunks of a body but no other coding.
template <typename Fields>
bool hasCodingOtherThanChunked(const Fields &fields)
{
    const auto codings = fields.count(http::field::transfer_encoding);
    return codings > 1
        || (codings == 1 && !beast::iequals(fields[http::field::transfer_encoding], "chunked"));
}

} // namespace

std::string validateRequestHead(const BeastRequestHead &message)
{
    if (hasLengthAndTransferEncoding(message))
        return "both Content-Length and Transfer-Encoding";
    if (message.count(http::field::content_length) > 1)
        return "more than one Content-Length";
    if (message.count(http::field::content_length) == 1 && !contentLengthOf(message))
        return "Content-Length is not one number";
    if (hasCodingOtherThanChunked(message))
        return OtherCoding;
    if (message.count(http::field::host) > 1)
        return "more than one Host";
    if (message.version() >= 11 && message.count(http::field::host) == 0)
        return "Host is missing";
    const bool supportedForm
        = isOriginOrAsteriskForm(message.target()) || !authorityOf(message.target()).empty();
    if (message.method() == http::verb::connect || !supportedForm)
        return "request target is not a path";
    return {};
}

HttpRequestHead requestHeadOf(const BeastRequestHead &message)
{
    HttpRequestHead head;
    head.method = toString(message.method_string());
    head.target = toString(message.target());
    head.headers = headersOf(message);
    head.contentLength = contentLengthOf(message);
    head.chunked = message.count(http::field::transfer_encoding) > 0;
    applyAbsoluteForm(head);
    return head;
}

bool hasFoldedLine(std::string_view lines) noexcept
{
    return lines.find("\n ") != std::string_view::npos
        || lines.find("\n\t") != std::string_view::npos;
}

std::string validateAnswerHead(const BeastAnswerHead &message)
{
    if (!isValidHttpStatus(message.result_int()))
        return "status " + std::to_string(message.result_int()) + " is not valid";
    if (hasLengthAndTransferEncoding(message) || message.count(http::field::content_length) > 1)
        return "conflicting lengths";
    if (hasCodingOtherThanChunked(message))
        return OtherCoding;
    return {};
}

HttpAnswerHead answerHeadOf(const BeastAnswerHead &message, bool toHeadRequest)
{
    HttpAnswerHead head;
    head.status = static_cast<std::uint16_t>(message.result_int());
    head.headers = headersOf(message);
    head.contentLength = contentLengthOf(message);
    head.noBody = toHeadRequest || head.status == 204 || head.status == 304;
    return head;
}

void copyHeaders(http::fields &fields, const HttpHeaders &headers)
{
    const HopByHopHeaders hopByHop(headers);
    for (const auto &[name, value] : headers) {
        if (!hopByHop.contains(name) && !equalsIgnoreCase(name, "Content-Length"))
            fields.insert(name, value);
    }
}

} // namespace ggv::detail
