#pragma once

#include <string>
#include <vector>

namespace ggv {

//! An option of the command line.
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

//! How an option is written and described.
struct OptionEntry
{
    Option option;
    const char *name;
    const char *argument; //!< Null: the option takes none.
    const char *help;
};

//! @return Every option.
[[nodiscard]] const std::vector<OptionEntry> &optionTable();
//! @return Options that every subcommand takes.
[[nodiscard]] const std::vector<Option> &globalOptions();
//! @return The entry of an option.
[[nodiscard]] const OptionEntry &optionEntry(Option option);

} // namespace ggv
