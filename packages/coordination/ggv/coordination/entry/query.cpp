#include <ggv/coordination/entry/query.hpp>

#include <charconv>

namespace ggv {

namespace {

std::optional<std::string> decode(std::string_view text)
{
    std::string decoded;
    for (std::size_t n = 0; n < text.size(); ++n) {
        if (text[n] != '%') {
            decoded.push_back(text[n] == '+' ? ' ' : text[n]);
            continue;
        }
        unsigned value = 0;
        const char *digits = text.data() + n + 1;
        if (n + 2 >= text.size()
            || std::from_chars(digits, digits + 2, value, 16).ptr != digits + 2)
            return std::nullopt;
        decoded.push_back(static_cast<char>(value));
        n += 2;
    }
    return decoded;
}

} // namespace

std::string_view pathOf(std::string_view target) noexcept
{
    return target.substr(0, target.find('?'));
}

std::optional<std::string> queryParameter(std::string_view target, std::string_view name)
{
    const auto start = target.find('?');
    std::string_view rest = start == std::string_view::npos ? "" : target.substr(start + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const std::string_view pair = rest.substr(0, end);
        rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
            return decode(pair.substr(equals + 1));
    }
    return std::nullopt;
}

} // namespace ggv
