#pragma once

#include <ggv/ctl/exit_code.hpp>

#include <ostream>
#include <string>
#include <vector>

namespace ggv {

/**
 * @brief Runs the operators' command line.
 * @param words The words after the program's name.
 * @param version Version of the software, shown in the help.
 * @param out Results.
 * @param err Messages for people.
 * @return How it ended.
 */
[[nodiscard]] ExitCode runCommandLine(const std::vector<std::string> &words,
                                      const std::string &version, std::ostream &out,
                                      std::ostream &err);

} // namespace ggv
