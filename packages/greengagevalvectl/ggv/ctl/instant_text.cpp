#include <ggv/ctl/instant_text.hpp>

#include <chrono>
#include <regex>

namespace ggv {

namespace chrono = std::chrono;

namespace {

constexpr int HoursOfDay = 24;
constexpr int Sixty = 60; // Minutes of an hour, seconds of a minute.

enum Part { Year = 1, Month, Day, Hour, Minute, Second, Sign, OffsetHour, OffsetMinute };

int numberOf(const std::smatch &match, Part part)
{
    return match[part].matched ? std::stoi(match[part].str()) : 0;
}

chrono::minutes offsetOf(const std::smatch &match)
{
    const chrono::minutes length = chrono::hours(numberOf(match, OffsetHour))
        + chrono::minutes(numberOf(match, OffsetMinute));
    return match[Sign].str() == "-" ? -length : length;
}

bool timeIsValid(const std::smatch &match)
{
    return numberOf(match, Hour) < HoursOfDay && numberOf(match, Minute) < Sixty
        && numberOf(match, Second) < Sixty && numberOf(match, OffsetHour) < HoursOfDay
        && numberOf(match, OffsetMinute) < Sixty;
}

} // namespace

std::optional<UnixMillis> parseInstant(const std::string &text)
{
    static const std::regex form(
        R"((\d{4})-(\d\d)-(\d\d)T(\d\d):(\d\d):(\d\d)(?:Z|([+-])(\d\d):(\d\d)))");
    std::smatch match;
    if (!std::regex_match(text, match, form))
        return std::nullopt;
    const chrono::year_month_day date {
        chrono::year(numberOf(match, Year)),
        chrono::month(static_cast<unsigned>(numberOf(match, Month))),
        chrono::day(static_cast<unsigned>(numberOf(match, Day))),
    };
    if (!date.ok() || !timeIsValid(match))
        return std::nullopt;
    const auto local = chrono::sys_days(date) + chrono::hours(numberOf(match, Hour))
        + chrono::minutes(numberOf(match, Minute)) + chrono::seconds(numberOf(match, Second));
    const auto instant = local - offsetOf(match);
    return chrono::duration_cast<chrono::milliseconds>(instant.time_since_epoch()).count();
}

} // namespace ggv
