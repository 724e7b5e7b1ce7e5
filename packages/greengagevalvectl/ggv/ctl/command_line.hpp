#pragma once

#include <ggv/ctl/exit_code.hpp>

#include <ostream>
#include <string>
#include <vector>

namespace ggv {

/**
 * @brief Parses the command line and runs the subcommand.
 * @param words Words after the program name.
 * @param version Software version, shown in the help.
 * @param out Receives results.
 * @param err Receives diagnostics.
 * @return Exit code of the process.
 */
[[nodiscard]] ExitCode runCommandLine(const std::vector<std::string> &words,
                                      const std::string &version, std::ostream &out,
                                      std::ostream &err);

} // namespace ggv
