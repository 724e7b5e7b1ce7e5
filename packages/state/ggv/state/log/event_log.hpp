#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace ggv {

//! Severity of an event.
enum class LogLevel : std::uint8_t { Info, Warning, Error };

//! Named value of an event.
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
 * @brief Starts the writer thread. Events logged before are written directly to standard output.
 * @param process Name of this process, written to every line.
 */
void startEventLog(std::string process);

/**
 * @brief Writes an event to standard output as one line of JSON; never blocks.
 *
 * Lines are queued in a bounded queue; when it is full, the oldest line is dropped and counted.
 * @param level Severity of the event.
 * @param event Stable name of the event, listed in docs/OPERATIONS.md.
 * @param fields Values of the event.
 */
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

//! @return Number of lines dropped since the start because standard output was read too slowly.
[[nodiscard]] std::uint64_t droppedLogLines() noexcept;

/**
 * @brief Waits for a bounded time until queued lines are written. Call right before the process
 * exits.
 */
void flushEventLog() noexcept;

} // namespace ggv
