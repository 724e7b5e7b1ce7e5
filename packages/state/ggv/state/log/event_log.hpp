#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace ggv {

//! How much an event matters.
enum class LogLevel : std::uint8_t { Info, Warning, Error };

//! One named value of an event.
struct LogField
{
    using Value = std::variant<std::int64_t, std::uint64_t, double, bool, std::string>;

    std::string_view name;
    Value value;

    LogField(std::string_view fieldName, std::string_view text)
        : name(fieldName)
        , value(std::string(text))
    { }
    LogField(std::string_view fieldName, const std::string &text)
        : name(fieldName)
        , value(text)
    { }
    LogField(std::string_view fieldName, const char *text)
        : name(fieldName)
        , value(std::string(text))
    { }
    LogField(std::string_view fieldName, bool truth)
        : name(fieldName)
        , value(truth)
    { }
    LogField(std::string_view fieldName, double number)
        : name(fieldName)
        , value(number)
    { }
    template <typename Integer>
    requires std::is_integral_v<Integer> LogField(std::string_view fieldName, Integer number)
        : name(fieldName)
    {
        if constexpr (std::is_signed_v<Integer>)
            value = static_cast<std::int64_t>(number);
        else
            value = static_cast<std::uint64_t>(number);
    }
};

/**
 * @brief Starts the writer thread; events before that are written to standard output directly.
 * @param process Name of this process, a field of every line.
 */
void startEventLog(std::string process);

/**
 * @brief Writes one JSON object as a line to standard output, without ever waiting for it.
 *
 * Lines wait in a bounded queue; when it is full the oldest one is dropped and counted.
 * @param level How much it matters.
 * @param event Stable name of the event, listed in docs/OPERATIONS.md.
 * @param fields Its values.
 */
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

//! @return Lines dropped since the start because nobody read them in time.
[[nodiscard]] std::uint64_t droppedLogLines() noexcept;

/**
 * @brief Gives the writer a bounded time to write what waits. Call right before the process ends.
 */
void flushEventLog() noexcept;

} // namespace ggv
