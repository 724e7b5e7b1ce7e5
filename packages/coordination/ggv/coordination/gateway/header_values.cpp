#include <ggv/coordination/gateway/header_values.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <utility>

namespace ggv {

namespace {

//! Upper bound of a parsed number of seconds: one day.
constexpr double MaxParsedSeconds = 86400.0;

} // namespace

std::optional<std::int64_t> parseInteger(std::string_view text)
{
    std::int64_t number = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (ec != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

std::optional<std::string_view> findCookie(const HttpHeaders &headers, std::string_view name)
{
    for (const auto &header : headers) {
        if (!equalsIgnoreCase(header.name, "Cookie"))
            continue;
        std::string_view rest = header.value;
        while (!rest.empty()) {
            const auto end = rest.find(';');
            std::string_view pair = rest.substr(0, end);
            rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
            pair.remove_prefix(std::min(pair.find_first_not_of(' '), pair.size()));
            if (pair.size() > name.size() && pair.starts_with(name) && pair[name.size()] == '=')
                return pair.substr(name.size() + 1);
        }
    }
    return std::nullopt;
}

std::optional<ReportedLoad> parseLoad(std::string_view text)
{
    std::array<std::uint32_t, 3> numbers {};
    for (std::size_t n = 0; n < numbers.size(); ++n) {
        const auto end = text.find(',');
        const auto number = parseInteger(text.substr(0, end));
        if (!number || !std::in_range<std::uint32_t>(*number))
            return std::nullopt;
        numbers.at(n) = static_cast<std::uint32_t>(*number);
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    }
    return ReportedLoad { numbers[0], numbers[1], numbers[2] };
}

std::optional<double> parseNonNegative(std::string_view text)
{
    double number = 0.0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool isNumber = ec == std::errc() && end == text.data() + text.size();
    if (!isNumber || !std::isfinite(number) || number < 0.0)
        return std::nullopt;
    return number;
}

std::optional<Duration> parseSeconds(std::string_view text)
{
    const auto seconds = parseNonNegative(text);
    if (!seconds)
        return std::nullopt;
    const double bounded = std::min(*seconds, MaxParsedSeconds);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(bounded));
}

std::string formatSeconds(Duration duration)
{
    std::array<char, 32> text {};
    (void)std::snprintf(text.data(), text.size(), "%.3f",
                        std::chrono::duration<double>(duration).count());
    return text.data();
}

} // namespace ggv
