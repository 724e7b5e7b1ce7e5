#pragma once

#include <ggv/ctl/command.hpp>

namespace ggv {

/**
 * @brief Sends a change and reports its outcome.
 * @param context Where to report.
 * @param client The operators' interface.
 * @param change The change.
 * @param path Name of the file in messages about faults.
 * @return Ok, Refused, Faults, or Unreachable if the outcome is unknown.
 * @throws Error TargetUnreachable, NotAuthorized.
 */
[[nodiscard]] ExitCode sendChange(const CommandContext &context, const ApiClient &client,
                                  const ChangeRequest &change, const std::string &path);

//! @return A change id that no other change has.
[[nodiscard]] ChangeId randomChangeId();

} // namespace ggv
