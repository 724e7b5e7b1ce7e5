#pragma once

#include <ggv/state/model/register.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace ggv {

//! A fault in a register file, with its position.
struct RegisterFault
{
    std::uint32_t line = 0; //!< Starts at 1.
    std::uint32_t column = 0; //!< Starts at 1.
    std::string message;

    [[nodiscard]] auto operator<=>(const RegisterFault &) const = default;
};

//! Result of parsing a register file.
struct RegisterDocument
{
    RegisterContent content; //!< Valid only if there are no faults.
    std::vector<RegisterFault> faults; //!< All faults, in file order.
};

/**
 * @brief Parses and validates a register in TOML; unknown keys are faults.
 * @param text Content of the file.
 * @return The content, or all faults with line and column.
 */
[[nodiscard]] RegisterDocument parseRegisterToml(std::string_view text);

/**
 * @brief Formats a register as TOML; parseRegisterToml() returns the same content for it.
 * @param content Content of the register.
 * @return The TOML text.
 */
[[nodiscard]] std::string formatRegisterToml(const RegisterContent &content);

} // namespace ggv
