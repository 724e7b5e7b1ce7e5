#pragma once

#include <ggv/state/model/register.hpp>

#include <optional>
#include <string>

namespace ggv {

/**
 * @brief Reads what a drain empties.
 * @param text "target", "failure-domain" or "region".
 * @return The scope, or nothing for another text.
 */
[[nodiscard]] std::optional<DrainScope> parseDrainScope(const std::string &text);

/**
 * @brief Adds a drain, or replaces the one of the same target, failure domain or region.
 * @param content Content of the register in force.
 * @param drain The drain.
 * @return The new content.
 */
[[nodiscard]] RegisterContent withDrain(RegisterContent content, const Drain &drain);

/**
 * @brief Removes a drain.
 * @param content Content of the register in force.
 * @param scope What the drain empties.
 * @param name Name of the target, failure domain or region.
 * @return The new content, or UnknownEntity if there is no such drain.
 */
[[nodiscard]] Result<RegisterContent> withoutDrain(RegisterContent content, DrainScope scope,
                                                   const std::string &name);

} // namespace ggv
