#pragma once

#include <ggv/state/core/result_code.hpp>

namespace ggv {

//! How the command line ends; docs/OPERATORS.md lists the codes.
enum class ExitCode : int {
    Ok = 0,
    Refused = 1, //!< A change was refused, or is not in force everywhere in time.
    Usage = 2,
    Unreachable = 3, //!< No host answered, or the outcome of a change is unknown.
    Faults = 4, //!< The register file has faults, or logs do not mention a request.
    NotAuthorized = 5,
};

/**
 * @brief Maps a result to an exit code.
 * @param code The result.
 * @return The exit code.
 */
[[nodiscard]] ExitCode exitCodeOf(ResultCode code) noexcept;

} // namespace ggv
