#include <ggv/ctl/option.hpp>

#include <algorithm>

namespace ggv {

const std::vector<OptionEntry> &optionTable()
{
    static const std::vector<OptionEntry> table {
        { Option::Host, "host", "ADDR:PORT,...", "Operators' addresses of hosts, tried in turn" },
        { Option::Token, "token", "TOKEN", "Token of the operator" },
        { Option::TokenFile, "token-file", "FILE", "File with the token" },
        { Option::Json, "json", nullptr, "Write JSON" },
        { Option::Help, "help", nullptr, "Show this help" },
        { Option::Expected, "expected", "V", "Version that the change starts from" },
        { Option::Change, "change", "ID", "Id of the change; a random one if not given" },
        { Option::Version, "version", "V", "Version to wait for; the accepted one if not given" },
        { Option::Timeout, "timeout", "SECONDS", "Longest wait; 60 if not given" },
        { Option::At, "at", "TIME", "Start, such as 2026-12-04T20:00:00+04:00; now if not given" },
        { Option::Over, "over", "SECONDS", "Time in which work falls to nothing; 0 if not given" },
        { Option::Client, "client", "IP", "Also show the failure domain nearest to this client" },
    };
    return table;
}

const std::vector<Option> &globalOptions()
{
    static const std::vector<Option> global { Option::Host, Option::Token, Option::TokenFile,
                                              Option::Json, Option::Help };
    return global;
}

const OptionEntry &optionEntry(Option option)
{
    const auto &table = optionTable();
    return *std::find_if(table.begin(), table.end(),
                         [option](const OptionEntry &entry) { return entry.option == option; });
}

} // namespace ggv
