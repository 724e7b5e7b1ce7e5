#pragma once

#include <ggv/ctl/command.hpp>

#include <string>

namespace ggv {

//! @return Usage line of a subcommand.
[[nodiscard]] std::string usageLine(const CommandEntry &command);
//! @return Help text of a subcommand.
[[nodiscard]] std::string commandHelp(const CommandEntry &command);
//! @return General help: subcommands, global options and exit codes.
[[nodiscard]] std::string generalHelp(const std::string &version);

} // namespace ggv
