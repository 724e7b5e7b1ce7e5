#include <ggv/protocol/codec/target_report_codec.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <string_view>
#include <utility>

namespace ggv {

namespace {

constexpr std::string_view RateLimitKind = "rate-limit:";
constexpr std::string_view RateLimitShareKind = "rate-limit-share:";
constexpr std::string_view CrashKind = "request-crash:";
constexpr std::string_view AnswerKind = "request-answer:";
constexpr std::string_view QuarantineKind = "request-quarantine:";
constexpr std::string_view StartsKind = "target-starts:";
constexpr std::string_view DepartureKind = "target-departed:";
constexpr std::array Kinds { RateLimitKind,  RateLimitShareKind, CrashKind,    AnswerKind,
                             QuarantineKind, StartsKind,         DepartureKind };

//! Value of a report that the target states no limit any more.
constexpr std::uint32_t NoLimit = std::numeric_limits<std::uint32_t>::max();
//! Limits are sent in thousandths of a request per second.
constexpr double LimitScale = 1e3;
//! Shares are sent in millionths.
constexpr double ShareScale = 1e6;

std::uint32_t scaled(double value, double scale) noexcept
{
    return static_cast<std::uint32_t>(std::clamp(std::round(value * scale), 0.0, NoLimit - 1.0));
}

TargetStateReport makeRecord(std::string_view kind, const std::string &instance,
                             std::uint32_t value, Duration age)
{
    return { std::string(kind) + instance, value, false, age };
}

//! Name of a kind of report about requests.
struct RequestKind
{
    RequestReportKind kind;
    std::string_view name;
};

constexpr std::array RequestKinds { RequestKind { RequestReportKind::Crash, CrashKind },
                                    RequestKind { RequestReportKind::Answer, AnswerKind },
                                    RequestKind { RequestReportKind::Quarantine, QuarantineKind } };

std::string_view nameOf(RequestReportKind kind) noexcept
{
    return RequestKinds.at(static_cast<std::size_t>(kind)).name;
}

// Parses a fingerprint, followed by a colon and the instance in reports of crashes.
std::optional<RequestReport> parseRequest(RequestReportKind kind, std::string_view text)
{
    constexpr std::size_t Digits = 16;
    constexpr int Base = 16;
    std::uint64_t digest = 0;
    const auto *const begin = text.data();
    const auto length = std::min(text.size(), Digits);
    const auto [end, ec] = std::from_chars(begin, begin + length, digest, Base);
    const bool hasInstance = kind == RequestReportKind::Crash;
    const bool isComplete
        = hasInstance ? text.size() > Digits + 1 && text[Digits] == ':' : text.size() == Digits;
    if (ec != std::errc() || end != begin + Digits || !isComplete)
        return std::nullopt;
    RequestReport report;
    report.kind = kind;
    report.request = RequestFingerprint(digest);
    if (hasInstance)
        report.instance = text.substr(Digits + 1);
    return report;
}

//! Start of a target that departed.
struct DepartedStart
{
    std::string instance;
    UnixMillis startedAt = 0;
};

//! The start of a departed target is sent as text with this base: a record's numbers are too short.
constexpr int StartBase = 36;

// Returns the text of a departure: the start, a colon and the instance.
std::string departureText(const DepartedStart &start)
{
    constexpr std::size_t MaxDigits = 16;
    std::array<char, MaxDigits> digits {};
    auto *const begin = digits.data();
    const auto [end, ec] = std::to_chars(begin, begin + MaxDigits, start.startedAt, StartBase);
    return std::string(DepartureKind) + std::string(begin, end) + ":" + start.instance;
}

std::optional<DepartedStart> parseDeparture(const std::string &text)
{
    if (!text.starts_with(DepartureKind))
        return std::nullopt;
    const auto *const begin = text.data() + DepartureKind.size();
    const auto *const limit = text.data() + text.size();
    DepartedStart start;
    const auto [end, ec] = std::from_chars(begin, limit, start.startedAt, StartBase);
    if (ec != std::errc() || start.startedAt <= 0 || limit - end < 2 || *end != ':')
        return std::nullopt;
    start.instance.assign(end + 1, limit);
    return start;
}

//! Digits of the numbers in a record of starts, 6 bits each; printable, as older builds may log it.
constexpr std::string_view StartDigits
    = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr unsigned BitsPerDigit = 6;
constexpr std::size_t KeyLength = TargetKeyBits / BitsPerDigit;
constexpr std::size_t TimeLength = 7;
//! Latest start that can be sent, in the year 2109.
constexpr UnixMillis MaxStart = (UnixMillis { 1 } << (BitsPerDigit * TimeLength)) - 1;
constexpr std::size_t StartLength = KeyLength + TimeLength;

void appendDigits(std::string &text, std::uint64_t value, std::size_t length)
{
    for (std::size_t n = length; n > 0; --n)
        text += StartDigits[(value >> (BitsPerDigit * (n - 1))) % StartDigits.size()];
}

std::optional<std::uint64_t> parseDigits(std::string_view text)
{
    std::uint64_t value = 0;
    for (const char it : text) {
        const auto digit = StartDigits.find(it);
        if (digit == std::string_view::npos)
            return std::nullopt;
        value = (value << BitsPerDigit) | digit;
    }
    return value;
}

std::optional<TargetStart> parseStart(std::string_view text)
{
    const auto target = parseDigits(text.substr(0, KeyLength));
    const auto startedAt = parseDigits(text.substr(KeyLength));
    if (!target || !startedAt || *startedAt == 0)
        return std::nullopt;
    return TargetStart { *target, static_cast<UnixMillis>(*startedAt) };
}

void appendStarts(std::string_view text, std::vector<TargetStart> &starts)
{
    for (; text.size() >= StartLength; text.remove_prefix(StartLength)) {
        if (const auto start = parseStart(text.substr(0, StartLength)))
            starts.push_back(*start);
    }
}

// Returns the instance without the kind; std::nullopt if the record is of another kind.
std::optional<std::string> instanceOf(const TargetStateReport &record, std::string_view kind)
{
    if (!record.instance.starts_with(kind))
        return std::nullopt;
    return record.instance.substr(kind.size());
}

} // namespace

TargetStateReport encodeRateLimitReport(const TargetRateLimitReport &report)
{
    const std::uint32_t value = report.perSecond ? scaled(*report.perSecond, LimitScale) : NoLimit;
    return makeRecord(RateLimitKind, report.instance, value, report.age);
}

std::optional<TargetRateLimitReport> decodeRateLimitReport(const TargetStateReport &record)
{
    const auto instance = instanceOf(record, RateLimitKind);
    if (!instance)
        return std::nullopt;
    TargetRateLimitReport report { *instance, std::nullopt, record.age };
    if (record.load != NoLimit)
        report.perSecond = record.load / LimitScale;
    return report;
}

TargetStateReport encodeRateLimitShare(const TargetRateLimitShare &share)
{
    return makeRecord(RateLimitShareKind, share.instance, scaled(share.fraction, ShareScale),
                      Duration(0));
}

std::optional<TargetRateLimitShare> decodeRateLimitShare(const TargetStateReport &record)
{
    const auto instance = instanceOf(record, RateLimitShareKind);
    if (!instance)
        return std::nullopt;
    return TargetRateLimitShare { *instance, std::min(record.load / ShareScale, 1.0) };
}

TargetStateReport encodeRequestReport(const RequestReport &report)
{
    std::string subject = report.request.text();
    if (report.kind == RequestReportKind::Crash)
        subject += ":" + report.instance;
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(report.remaining).count();
    return makeRecord(nameOf(report.kind), subject, scaled(static_cast<double>(seconds), 1.0),
                      report.age);
}

std::optional<RequestReport> decodeRequestReport(const TargetStateReport &record)
{
    for (const auto &it : RequestKinds) {
        if (!record.instance.starts_with(it.name))
            continue;
        auto report
            = parseRequest(it.kind, std::string_view(record.instance).substr(it.name.size()));
        if (!report)
            return std::nullopt;
        report->age = record.age;
        if (it.kind == RequestReportKind::Quarantine)
            report->remaining = std::chrono::seconds(record.load);
        return report;
    }
    return std::nullopt;
}

std::vector<TargetStateReport> encodeTargetStarts(const std::vector<TargetStart> &starts)
{
    if (starts.empty())
        return {};
    std::string text(StartsKind);
    text.reserve(text.size() + starts.size() * StartLength);
    for (const auto &it : starts) {
        appendDigits(text, it.target, KeyLength);
        appendDigits(text, static_cast<std::uint64_t>(std::min(it.startedAt, MaxStart)),
                     TimeLength);
    }
    return { { std::move(text), 0, false, Duration(0) } };
}

std::vector<TargetStart> decodeTargetStarts(const std::vector<TargetStateReport> &records)
{
    std::vector<TargetStart> starts;
    for (const auto &it : records) {
        if (isTargetStarts(it))
            appendStarts(std::string_view(it.instance).substr(StartsKind.size()), starts);
    }
    return starts;
}

bool isTargetStarts(const TargetStateReport &record) noexcept
{
    return record.instance.starts_with(StartsKind);
}

TargetStateReport encodeDeparture(const TargetStateReport &report)
{
    return { departureText({ report.instance, report.startedAt }), 0, true, report.age };
}

std::optional<TargetStateReport> decodeDeparture(const TargetStateReport &record)
{
    auto start = parseDeparture(record.instance);
    if (!start)
        return std::nullopt;
    return TargetStateReport { std::move(start->instance), 0, true, record.age, start->startedAt };
}

bool isLoadRecord(const TargetStateReport &record) noexcept
{
    return std::none_of(Kinds.begin(), Kinds.end(), [&record](std::string_view kind) {
        return record.instance.starts_with(kind);
    });
}

} // namespace ggv
