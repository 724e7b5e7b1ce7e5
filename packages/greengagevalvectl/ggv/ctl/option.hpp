#pragma once

#include <string>
#include <vector>

namespace ggv {

//! Command-line options; the values are popt's option numbers, which must be positive.
enum class Option : int {
    Host = 1,
    Token,
    TokenFile,
    Json,
    Help,
    Expected,
    Change,
    Version,
    Timeout,
    At,
    Over,
    Client,
};

//! Name and help text of an option.
struct OptionEntry
{
    Option option;
    const char *name;
    const char *argument; //!< Name of the value; null for a flag.
    const char *help;
};

//! @return All options.
[[nodiscard]] const std::vector<OptionEntry> &optionTable();
//! @return Options that all subcommands accept.
[[nodiscard]] const std::vector<Option> &globalOptions();
//! @return Name and help text of an option.
[[nodiscard]] const OptionEntry &optionEntry(Option option);

} // namespace ggv
