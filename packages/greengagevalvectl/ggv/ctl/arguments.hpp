#pragma once

#include <ggv/ctl/option.hpp>
#include <ggv/state/core/result.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ggv {

//! Parsed command line: a subcommand, its arguments and options.
class Arguments
{
public:
    /**
     * @brief Parses the command-line words; options are accepted at any position.
     * @param words Words after the program name.
     * @return The arguments, or SettingsInvalid if an option is unknown, repeated or lacks its
     * value.
     */
    [[nodiscard]] static Result<Arguments> parse(const std::vector<std::string> &words);

    //! @return Name of the subcommand; empty if none was given.
    [[nodiscard]] const std::string &command() const noexcept { return m_command; }
    //! @return Arguments of the subcommand.
    [[nodiscard]] const std::vector<std::string> &operands() const noexcept { return m_operands; }
    //! @return Options that were given and their values; an empty value for a flag.
    [[nodiscard]] const std::map<Option, std::string> &options() const noexcept
    {
        return m_options;
    }
    //! @return True if the option was given.
    [[nodiscard]] bool has(Option option) const { return m_options.contains(option); }
    //! @return Value of an option, or std::nullopt if it was not given.
    [[nodiscard]] std::optional<std::string> text(Option option) const;
    /**
     * @brief Parses the value of an option as an unsigned integer.
     * @param option The option.
     * @param largest Maximum accepted value.
     * @return The number, or std::nullopt if the option was not given.
     * @throws Error SettingsInvalid if the value is not an unsigned integer or exceeds the maximum.
     */
    [[nodiscard]] std::optional<std::uint64_t> number(Option option, std::uint64_t largest) const;

private:
    std::string m_command;
    std::vector<std::string> m_operands;
    std::map<Option, std::string> m_options;
};

} // namespace ggv
