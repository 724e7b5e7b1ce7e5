#pragma once

#include <ggv/ctl/api_client.hpp>
#include <ggv/ctl/exit_code.hpp>
#include <ggv/ctl/register_file.hpp>

#include <ostream>
#include <vector>

namespace ggv {

//! What a subcommand works with.
struct CommandContext
{
    const Arguments &arguments;
    std::ostream &out; //!< Results.
    std::ostream &err; //!< Messages for people.

    //! @return True if results are written as JSON.
    [[nodiscard]] bool json() const { return arguments.has(Option::Json); }
    //! @return An argument of the subcommand.
    [[nodiscard]] const std::string &operand(std::size_t n) const
    {
        return arguments.operands().at(n);
    }
    //! @return The operators' interface. @throws Error SettingsInvalid.
    [[nodiscard]] ApiClient client() const
    {
        return ApiClient(Access::fromArguments(arguments).value());
    }
};

//! A subcommand.
struct CommandEntry
{
    const char *name;
    std::vector<const char *> operands; //!< Names of the arguments; all are needed.
    std::vector<Option> options; //!< Besides the global ones.
    const char *summary;
    ExitCode (*run)(const CommandContext &context);
    bool repeatsLast = false; //!< The last argument may be given several times.
};

//! @return Every subcommand.
[[nodiscard]] const std::vector<CommandEntry> &commandTable();

//! Reports every fault of a file. @return Ok, or Faults.
[[nodiscard]] ExitCode runCheck(const CommandContext &context);
//! Writes the register in force. @return Ok.
[[nodiscard]] ExitCode runShow(const CommandContext &context);
//! Writes what applying a file would change. @return Ok, or Faults.
[[nodiscard]] ExitCode runDiff(const CommandContext &context);
//! Applies a file. @return Ok, Refused, Faults, or Unreachable if the outcome is unknown.
[[nodiscard]] ExitCode runApply(const CommandContext &context);
//! Waits until a version is in force. @return Ok, or Refused after the longest wait.
[[nodiscard]] ExitCode runWatch(const CommandContext &context);
//! Plans a drain. @return As runApply().
[[nodiscard]] ExitCode runDrain(const CommandContext &context);
//! Removes a drain. @return As runApply().
[[nodiscard]] ExitCode runUndrain(const CommandContext &context);
//! Writes what decides where requests of a service go. @return Ok.
[[nodiscard]] ExitCode runExplain(const CommandContext &context);
//! Writes what logs say of a request. @return Ok, or Faults if none mentions it.
[[nodiscard]] ExitCode runExplainRequest(const CommandContext &context);
//! Writes the status of a host. @return Ok.
[[nodiscard]] ExitCode runStatus(const CommandContext &context);

} // namespace ggv
