#pragma once

#include <ggv/state/core/time.hpp>
#include <ggv/state/log/logged_event.hpp>

#include <functional>
#include <string>
#include <vector>

namespace ggv {

//! Gives every line of all logs to a reader, each time that it is called.
using EventSource = std::function<void(const std::function<void(const LoggedEvent &)> &)>;

//! What a process believed when it ended a request.
struct RecordedState
{
    LoggedEvent event; //!< The line that last said so.
    Duration age { 0 }; //!< Before the request's last line; negative: said so afterwards.
};

//! What logs say of one request.
struct RequestExplanation
{
    std::vector<LoggedEvent> lines; //!< Of the request itself, in order.
    std::vector<RecordedState> beliefs; //!< Of the processes and targets that it went through.
    std::string cause; //!< Why it ended as it did; empty if no line of it was found.
    std::vector<std::string> evidence; //!< What in the logs supports or weakens the cause.
};

/**
 * @brief Puts together what the logs of several processes say of a request.
 *
 * Ages within a process come from its steady clock, those between processes from the time of day.
 * Lines of one process must come in the order in which it wrote them.
 * @param requestId The id that the caller has.
 * @param source The logs; read twice.
 * @return The story; without lines if no log mentions the request.
 */
[[nodiscard]] RequestExplanation explainRequest(const std::string &requestId,
                                                const EventSource &source);

} // namespace ggv
