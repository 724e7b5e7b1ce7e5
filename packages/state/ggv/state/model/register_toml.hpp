#pragma once

#include <ggv/state/model/register.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace ggv {

//! A fault in a register file and where it is.
struct RegisterFault
{
    std::uint32_t line = 0; //!< From 1.
    std::uint32_t column = 0; //!< From 1.
    std::string message;

    [[nodiscard]] auto operator<=>(const RegisterFault &) const = default;
};

//! What reading a register file gives: content, and the faults found in it.
struct RegisterDocument
{
    RegisterContent content; //!< Meaningful only if there are no faults.
    std::vector<RegisterFault> faults; //!< Every fault, in file order.
};

/**
 * @brief Reads a register from TOML; unknown keys are faults, references are checked.
 * @param text The file.
 * @return The content, or all faults with line and column.
 */
[[nodiscard]] RegisterDocument parseRegisterToml(std::string_view text);

/**
 * @brief Writes a register as TOML that parseRegisterToml() reads back to the same content.
 * @param content The content.
 * @return The text.
 */
[[nodiscard]] std::string formatRegisterToml(const RegisterContent &content);

} // namespace ggv
