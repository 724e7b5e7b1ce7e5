#pragma once

#include <ggv/ctl/command.hpp>

namespace ggv {

/**
 * @brief Submits a change and reports its outcome.
 * @param context Output streams and options of the subcommand.
 * @param client Client of the operators' API.
 * @param change The change.
 * @param path File name to print with validation errors.
 * @return Ok, Refused, Faults, or Unreachable if the outcome is unknown.
 * @throws Error TargetUnreachable, NotAuthorized.
 */
[[nodiscard]] ExitCode sendChange(const CommandContext &context, const ApiClient &client,
                                  const ChangeRequest &change, const std::string &path);

//! @return A random change id, unique among all changes.
[[nodiscard]] ChangeId randomChangeId();

} // namespace ggv
