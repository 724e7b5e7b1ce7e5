#pragma once

#include <ggv/ctl/option.hpp>
#include <ggv/state/core/result.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ggv {

//! The words of a command line: a subcommand, its arguments and options.
class Arguments
{
public:
    /**
     * @brief Reads the words after the program's name; options may stand anywhere.
     * @param words The words.
     * @return The arguments, or SettingsInvalid for an unknown or repeated option.
     */
    [[nodiscard]] static Result<Arguments> parse(const std::vector<std::string> &words);

    //! @return Name of the subcommand; empty if none is given.
    [[nodiscard]] const std::string &command() const noexcept { return m_command; }
    //! @return Arguments of the subcommand.
    [[nodiscard]] const std::vector<std::string> &operands() const noexcept { return m_operands; }
    //! @return Options that were given, with their values.
    [[nodiscard]] const std::map<Option, std::string> &options() const noexcept
    {
        return m_options;
    }
    //! @return True if the option was given.
    [[nodiscard]] bool has(Option option) const { return m_options.contains(option); }
    //! @return Value of an option, or nothing if it was not given.
    [[nodiscard]] std::optional<std::string> text(Option option) const;
    /**
     * @brief Reads the value of an option as a whole number.
     * @param option The option.
     * @param largest Largest value that is accepted.
     * @return The number, or nothing if the option was not given.
     * @throws Error SettingsInvalid if the value is no whole number or too large.
     */
    [[nodiscard]] std::optional<std::uint64_t> number(Option option, std::uint64_t largest) const;

private:
    std::string m_command;
    std::vector<std::string> m_operands;
    std::map<Option, std::string> m_options;
};

} // namespace ggv
