#pragma once

#include <ggv/ctl/api_client.hpp>
#include <ggv/ctl/exit_code.hpp>
#include <ggv/ctl/register_file.hpp>

#include <ostream>
#include <vector>

namespace ggv {

//! Arguments and output streams of a subcommand.
struct CommandContext
{
    const Arguments &arguments;
    std::ostream &out; //!< Receives results.
    std::ostream &err; //!< Receives diagnostics.

    //! @return True if results are to be written as JSON.
    [[nodiscard]] bool json() const { return arguments.has(Option::Json); }
    //! @return The n-th argument of the subcommand.
    [[nodiscard]] const std::string &operand(std::size_t n) const
    {
        return arguments.operands().at(n);
    }
    //! @return Client of the operators' API.
    //! @throws Error SettingsInvalid if connection options are missing or malformed.
    [[nodiscard]] ApiClient client() const
    {
        return ApiClient(ConnectionOptions::fromArguments(arguments).value());
    }
};

//! Entry of the subcommand table.
struct CommandEntry
{
    const char *name;
    std::vector<const char *> operands; //!< Names of the arguments; all are required.
    std::vector<Option> options; //!< Accepted in addition to the global options.
    const char *summary;
    ExitCode (*run)(const CommandContext &context);
    bool repeatsLast = false; //!< True if the last argument may be repeated.
};

//! @return All subcommands, in the order of the help text.
[[nodiscard]] const std::vector<CommandEntry> &commandTable();

//! Validates a register file and prints all errors. @return Ok, or Faults.
[[nodiscard]] ExitCode runCheck(const CommandContext &context);
//! Prints the register in force. @return Ok.
[[nodiscard]] ExitCode runShow(const CommandContext &context);
//! Prints the changes that applying a register file would make. @return Ok, or Faults.
[[nodiscard]] ExitCode runDiff(const CommandContext &context);
//! Applies a register file. @return Ok, Refused, Faults, or Unreachable if the outcome is unknown.
[[nodiscard]] ExitCode runApply(const CommandContext &context);
//! Waits until a version is in force. @return Ok, or Refused on time-out.
[[nodiscard]] ExitCode runWatch(const CommandContext &context);
//! Schedules a drain. @return The same codes as runApply().
[[nodiscard]] ExitCode runDrain(const CommandContext &context);
//! Removes a drain. @return The same codes as runApply().
[[nodiscard]] ExitCode runUndrain(const CommandContext &context);
//! Prints the routing inputs of a service's targets. @return Ok.
[[nodiscard]] ExitCode runExplain(const CommandContext &context);
//! Prints the log events of a request and the cause of its outcome.
//! @return Ok, or Faults if no log mentions the request.
[[nodiscard]] ExitCode runExplainRequest(const CommandContext &context);
//! Prints the status of a host. @return Ok.
[[nodiscard]] ExitCode runStatus(const CommandContext &context);

} // namespace ggv
