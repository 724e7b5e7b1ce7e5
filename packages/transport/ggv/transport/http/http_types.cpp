#include <ggv/transport/http/http_types.hpp>

#include <algorithm>
#include <array>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace ggv {

namespace {

constexpr std::array<std::string_view, 9> HopByHopNames {
    "Connection",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
};

boost::beast::string_view beastView(std::string_view text) noexcept
{
    return { text.data(), text.size() };
}

bool isListedInConnectionHeader(const HttpHeaders &headers, std::string_view name)
{
    return std::any_of(headers.begin(), headers.end(), [name](const HttpHeader &header) {
        return equalsIgnoreCase(header.name, "Connection")
            && boost::beast::http::token_list(beastView(header.value)).exists(beastView(name));
    });
}

} // namespace

bool equalsIgnoreCase(std::string_view one, std::string_view other) noexcept
{
    return boost::beast::iequals(beastView(one), beastView(other));
}

const std::string *findHeader(const HttpHeaders &headers, std::string_view name) noexcept
{
    const auto it = std::find_if(headers.begin(), headers.end(), [name](const HttpHeader &header) {
        return equalsIgnoreCase(header.name, name);
    });
    return it == headers.end() ? nullptr : &it->value;
}

bool isHopByHop(const HttpHeaders &headers, std::string_view name)
{
    const bool isKnownHopByHop
        = std::any_of(HopByHopNames.begin(), HopByHopNames.end(),
                      [name](std::string_view it) { return equalsIgnoreCase(it, name); });
    return isKnownHopByHop || isListedInConnectionHeader(headers, name);
}

} // namespace ggv
