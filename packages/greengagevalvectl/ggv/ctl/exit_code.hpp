#pragma once

#include <ggv/state/core/result_code.hpp>

namespace ggv {

//! Exit codes of the process; documented in docs/OPERATORS.md.
enum class ExitCode : int {
    Ok = 0,
    Refused = 1, //!< A change was rejected, or was not in force on all hosts in time.
    Usage = 2, //!< Invalid command line, or a file cannot be read.
    Unreachable = 3, //!< No host answered, or the outcome of a change is unknown.
    Faults = 4, //!< The register file has errors, or no log mentions the request.
    NotAuthorized = 5,
};

/**
 * @brief Maps a result code to an exit code.
 * @param code The result code.
 * @return The exit code.
 */
[[nodiscard]] ExitCode exitCodeOf(ResultCode code) noexcept;

} // namespace ggv
