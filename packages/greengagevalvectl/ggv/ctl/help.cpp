#include <ggv/ctl/help.hpp>

#include <iomanip>
#include <sstream>

namespace ggv {

namespace {

constexpr int NameColumns = 26;

const char *const ExitCodes = "Exit codes:\n"
                              "  0  success\n"
                              "  1  change rejected, or not in force on all hosts in time\n"
                              "  2  invalid command line\n"
                              "  3  no host responded, or the outcome is unknown\n"
                              "  4  register file has errors, or no log mentions the request\n"
                              "  5  not authorized\n";

void writeOptions(std::ostream &out, const std::vector<Option> &options)
{
    for (const auto option : options) {
        const OptionEntry &entry = optionEntry(option);
        std::string name = std::string("--") + entry.name;
        if (entry.argument != nullptr)
            name += std::string(" ") + entry.argument;
        out << "  " << std::left << std::setw(NameColumns) << name << " " << entry.help << "\n";
    }
}

} // namespace

std::string usageLine(const CommandEntry &command)
{
    std::string line = std::string("greengagevalvectl ") + command.name;
    for (const char *operand : command.operands)
        line += std::string(" ") + operand;
    return line + (command.repeatsLast ? "..." : "") + " [options]";
}

std::string commandHelp(const CommandEntry &command)
{
    std::ostringstream out;
    out << "Usage: " << usageLine(command) << "\n" << command.summary << ".\n\nOptions:\n";
    writeOptions(out, command.options);
    writeOptions(out, globalOptions());
    out << "\n" << ExitCodes;
    return out.str();
}

std::string generalHelp(const std::string &version)
{
    std::ostringstream out;
    out << "greengagevalvectl " << version << "\n\nSubcommands:\n";
    for (const auto &command : commandTable())
        out << "  " << std::left << std::setw(NameColumns) << command.name << " " << command.summary
            << "\n";
    out << "\nOptions of all subcommands:\n";
    writeOptions(out, globalOptions());
    out << "\n" << ExitCodes;
    return out.str();
}

} // namespace ggv
