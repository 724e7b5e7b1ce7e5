#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace ggv {

//! One line of a process's log, decoded.
struct LoggedEvent
{
    std::int64_t timeMs = 0; //!< Time of day of the process, in milliseconds.
    std::int64_t uptimeUs = 0; //!< Clock of the process that does not jump, in microseconds.
    std::string process;
    std::string event;
    std::map<std::string, std::string> fields; //!< All other values, as text.

    /**
     * @brief Reads a line; whatever stands before its JSON object is skipped.
     * @param line Without its line end.
     * @return The event, or nothing if the line is none.
     */
    [[nodiscard]] static std::optional<LoggedEvent> parse(std::string_view line);
    //! @return A field's text; empty if the event has no such field.
    [[nodiscard]] std::string text(std::string_view name) const;
    //! @return A field as a whole number; 0 if it is none.
    [[nodiscard]] std::int64_t number(std::string_view name) const;
};

} // namespace ggv
