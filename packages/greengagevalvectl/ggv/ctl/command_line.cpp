#include <ggv/ctl/command_line.hpp>

#include <ggv/ctl/command.hpp>
#include <ggv/ctl/help.hpp>

#include <algorithm>

namespace ggv {

namespace {

Error usageError(const std::string &message) { return { ResultCode::SettingsInvalid, message }; }

const CommandEntry &findCommand(const std::string &name)
{
    const auto &table = commandTable();
    const auto it = std::find_if(table.begin(), table.end(),
                                 [&name](const CommandEntry &entry) { return name == entry.name; });
    if (it == table.end())
        throw usageError(name.empty() ? "a subcommand is required; see --help"
                                      : "unknown subcommand " + name + "; see --help");
    return *it;
}

bool acceptsOption(const CommandEntry &command, Option option)
{
    const auto &global = globalOptions();
    return std::find(global.begin(), global.end(), option) != global.end()
        || std::find(command.options.begin(), command.options.end(), option)
        != command.options.end();
}

void checkUsage(const CommandEntry &command, const Arguments &arguments)
{
    for (const auto &[option, value] : arguments.options()) {
        if (!acceptsOption(command, option))
            throw usageError(std::string(command.name) + " does not accept --"
                             + optionEntry(option).name);
    }
    const std::size_t given = arguments.operands().size();
    const std::size_t required = command.operands.size();
    if (given < required || (given > required && !command.repeatsLast))
        throw usageError("usage: " + usageLine(command));
}

ExitCode dispatch(const Arguments &arguments, const std::string &version, std::ostream &out,
                  std::ostream &err)
{
    if (arguments.command().empty() && arguments.has(Option::Help)) {
        out << generalHelp(version);
        return ExitCode::Ok;
    }
    const CommandEntry &command = findCommand(arguments.command());
    if (arguments.has(Option::Help)) {
        out << commandHelp(command);
        return ExitCode::Ok;
    }
    checkUsage(command, arguments);
    return command.run({ arguments, out, err });
}

void reportError(const Error &error, bool json, std::ostream &out, std::ostream &err)
{
    err << "greengagevalvectl: " << error.what() << " (" << resultCodeName(error.code()) << ")\n";
    if (!json)
        return;
    const nlohmann::json report { { "result", static_cast<int>(error.code()) },
                                  { "name", resultCodeName(error.code()) },
                                  { "message", error.what() } };
    out << report.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
}

} // namespace

ExitCode runCommandLine(const std::vector<std::string> &words, const std::string &version,
                        std::ostream &out, std::ostream &err)
{
    bool json = false;
    try {
        const Arguments arguments = Arguments::parse(words).value();
        json = arguments.has(Option::Json);
        return dispatch(arguments, version, out, err);
    } catch (const Error &error) {
        reportError(error, json, out, err);
        return exitCodeOf(error.code());
    } catch (const std::exception &exception) {
        const Error error(ResultCode::Internal, exception.what());
        reportError(error, json, out, err);
        return ExitCode::Unreachable;
    }
}

} // namespace ggv
