#include <ggv/ctl/option.hpp>

#include <algorithm>

namespace ggv {

const std::vector<OptionEntry> &optionTable()
{
    static const std::vector<OptionEntry> table {
        { Option::Host, "host", "ADDR:PORT,...",
          "Addresses of the operators' API, tried in order" },
        { Option::Token, "token", "TOKEN", "Bearer token of the operator" },
        { Option::TokenFile, "token-file", "FILE", "File whose first line is the token" },
        { Option::Json, "json", nullptr, "Print results as JSON" },
        { Option::Help, "help", nullptr, "Show this help" },
        { Option::Expected, "expected", "V", "Version that the change is based on" },
        { Option::Change, "change", "ID", "Id of the change, for retries; default: random" },
        { Option::Version, "version", "V", "Version to wait for; default: the accepted version" },
        { Option::Timeout, "timeout", "SECONDS", "Maximum time to wait; default: 60" },
        { Option::At, "at", "TIME", "Start, e.g. 2026-12-04T20:00:00+04:00; default: now" },
        { Option::Over, "over", "SECONDS", "Time over which work falls to zero; default: 0" },
        { Option::Client, "client", "IP", "Also print the failure domain nearest to this client" },
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
