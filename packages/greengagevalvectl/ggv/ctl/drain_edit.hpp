#pragma once

#include <ggv/state/model/register.hpp>

#include <optional>
#include <string>

namespace ggv {

/**
 * @brief Parses the scope of a drain.
 * @param text "target", "failure-domain" or "region".
 * @return The scope, or std::nullopt if the text is none of these.
 */
[[nodiscard]] std::optional<DrainScope> parseDrainScope(const std::string &text);

/**
 * @brief Adds a drain, replacing an existing drain with the same scope and name.
 * @param content Content of the register in force.
 * @param drain The drain.
 * @return The edited content.
 */
[[nodiscard]] RegisterContent withDrain(RegisterContent content, const Drain &drain);

/**
 * @brief Removes a drain.
 * @param content Content of the register in force.
 * @param scope Scope of the drain.
 * @param name Name of the target, failure domain or region.
 * @return The edited content, or UnknownEntity if there is no such drain.
 */
[[nodiscard]] Result<RegisterContent> withoutDrain(RegisterContent content, DrainScope scope,
                                                   const std::string &name);

} // namespace ggv
