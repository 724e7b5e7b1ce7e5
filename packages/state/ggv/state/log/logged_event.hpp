#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace ggv {

//! Decoded line of a process log.
struct LoggedEvent
{
    std::int64_t timeMs = 0; //!< Wall-clock time in milliseconds since the Unix epoch.
    std::int64_t uptimeUs = 0; //!< Monotonic clock of the process in microseconds.
    std::string process;
    std::string event;
    std::map<std::string, std::string> fields; //!< All other values as strings.

    /**
     * @brief Parses a line; text before its JSON object is skipped.
     * @param line The line without line terminator.
     * @return The event; std::nullopt if the line contains no event.
     */
    [[nodiscard]] static std::optional<LoggedEvent> parse(std::string_view line);
    //! @return Value of a field; empty if the event has no such field.
    [[nodiscard]] std::string text(std::string_view name) const;
    //! @return Value of a field as an integer; 0 if it is missing or not a number.
    [[nodiscard]] std::int64_t number(std::string_view name) const;
};

} // namespace ggv
