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

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](char it) {
        return it >= 'A' && it <= 'Z' ? static_cast<char>(it - 'A' + 'a') : it;
    });
    return lower;
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

HopByHopHeaders::HopByHopHeaders(const HttpHeaders &headers)
{
    for (const auto &[name, value] : headers) {
        if (!equalsIgnoreCase(name, "Connection"))
            continue;
        for (const auto &token : boost::beast::http::token_list(beastView(value)))
            m_listed.push_back(lowerCase({ token.data(), token.size() }));
    }
    std::sort(m_listed.begin(), m_listed.end());
}

bool HopByHopHeaders::contains(std::string_view name) const
{
    const bool isKnownHopByHop
        = std::any_of(HopByHopNames.begin(), HopByHopNames.end(),
                      [name](std::string_view it) { return equalsIgnoreCase(it, name); });
    return isKnownHopByHop
        || (!m_listed.empty()
            && std::binary_search(m_listed.begin(), m_listed.end(), lowerCase(name)));
}

} // namespace ggv
