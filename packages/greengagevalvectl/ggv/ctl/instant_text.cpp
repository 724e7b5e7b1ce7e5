#include <ggv/ctl/instant_text.hpp>

#include <chrono>
#include <regex>

namespace ggv {

namespace chrono = std::chrono;

namespace {

constexpr int HoursPerDay = 24;
constexpr int Sixty = 60; // Minutes per hour and seconds per minute.

enum Part { Year = 1, Month, Day, Hour, Minute, Second, Sign, OffsetHour, OffsetMinute };

int numberOf(const std::smatch &match, Part part)
{
    return match[part].matched ? std::stoi(match[part].str()) : 0;
}

chrono::minutes offsetOf(const std::smatch &match)
{
    const chrono::minutes offset = chrono::hours(numberOf(match, OffsetHour))
        + chrono::minutes(numberOf(match, OffsetMinute));
    return match[Sign].str() == "-" ? -offset : offset;
}

bool isValidTime(const std::smatch &match)
{
    return numberOf(match, Hour) < HoursPerDay && numberOf(match, Minute) < Sixty
        && numberOf(match, Second) < Sixty && numberOf(match, OffsetHour) < HoursPerDay
        && numberOf(match, OffsetMinute) < Sixty;
}

} // namespace

std::optional<UnixMillis> parseInstant(const std::string &text)
{
    static const std::regex pattern(
        R"((\d{4})-(\d\d)-(\d\d)T(\d\d):(\d\d):(\d\d)(?:Z|([+-])(\d\d):(\d\d)))");
    std::smatch match;
    if (!std::regex_match(text, match, pattern))
        return std::nullopt;
    const chrono::year_month_day date {
        chrono::year(numberOf(match, Year)),
        chrono::month(static_cast<unsigned>(numberOf(match, Month))),
        chrono::day(static_cast<unsigned>(numberOf(match, Day))),
    };
    if (!date.ok() || !isValidTime(match))
        return std::nullopt;
    const auto local = chrono::sys_days(date) + chrono::hours(numberOf(match, Hour))
        + chrono::minutes(numberOf(match, Minute)) + chrono::seconds(numberOf(match, Second));
    const auto instant = local - offsetOf(match);
    return chrono::duration_cast<chrono::milliseconds>(instant.time_since_epoch()).count();
}

} // namespace ggv
