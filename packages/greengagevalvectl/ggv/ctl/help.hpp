#pragma once

#include <ggv/ctl/command.hpp>

#include <string>

namespace ggv {

//! @return How a subcommand is written.
[[nodiscard]] std::string usageLine(const CommandEntry &command);
//! @return Help of a subcommand.
[[nodiscard]] std::string commandHelp(const CommandEntry &command);
//! @return The list of subcommands, global options and exit codes.
[[nodiscard]] std::string generalHelp(const std::string &version);

} // namespace ggv
