#pragma once

#include <ggv/state/core/time.hpp>
#include <ggv/state/log/logged_event.hpp>

#include <functional>
#include <string>
#include <vector>

namespace ggv {

//! Passes every line of all logs to a reader; may be called repeatedly.
using EventSource = std::function<void(const std::function<void(const LoggedEvent &)> &)>;

//! State of a target or process as recorded in the logs when the request ended.
struct RecordedState
{
    LoggedEvent event; //!< Latest line that reported the state.
    Duration age { 0 }; //!< Age at the request's last line; negative if reported later.
};

//! Explains the outcome of one request from the logs.
struct RequestExplanation
{
    std::vector<LoggedEvent> lines; //!< Lines about the request, in chronological order.
    std::vector<RecordedState> recordedStates; //!< State of its processes and targets.
    std::string cause; //!< Why it ended this way; empty if no log line mentions the request.
    std::vector<std::string> evidence; //!< Log findings that support or weaken the cause.
};

/**
 * @brief Combines the log lines of several processes about one request.
 *
 * Ages within a process are computed from its monotonic clock, ages between processes from the wall
 * clock. Lines of one process must be passed in the order in which it wrote them.
 * @param requestId Request id as known to the caller.
 * @param source The logs; read twice.
 * @return The explanation; without lines if no log mentions the request.
 */
[[nodiscard]] RequestExplanation explainRequest(const std::string &requestId,
                                                const EventSource &source);

} // namespace ggv
