#include <ggv/ctl/arguments.hpp>

#include <charconv>
#include <cstdlib>
#include <memory>

#include <popt.h>

namespace ggv {

namespace {

constexpr int PoptEnd = -1;

std::vector<poptOption> poptTable()
{
    std::vector<poptOption> table;
    for (const auto &entry : optionTable()) {
        const unsigned kind = entry.argument == nullptr ? POPT_ARG_NONE : POPT_ARG_STRING;
        const auto number = static_cast<int>(entry.option);
        table.push_back({ entry.name, '\0', kind, nullptr, number, entry.help, entry.argument });
    }
    table.push_back(POPT_TABLEEND);
    return table;
}

std::string readOptionValue(poptContext context)
{
    const std::unique_ptr<char, decltype(&std::free)> value(poptGetOptArg(context), std::free);
    return value ? value.get() : "";
}

} // namespace

Result<Arguments> Arguments::parse(const std::vector<std::string> &words)
{
    std::vector<const char *> pointers { "greengagevalvectl" };
    for (const auto &word : words)
        pointers.push_back(word.c_str());
    pointers.push_back(nullptr);
    const std::vector<poptOption> table = poptTable();
    const auto count = static_cast<int>(pointers.size() - 1);
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext(nullptr, count, pointers.data(), table.data(), 0), poptFreeContext);
    Arguments arguments;
    int next = poptGetNextOpt(context.get());
    for (; next > 0; next = poptGetNextOpt(context.get())) {
        const auto option = static_cast<Option>(next);
        if (!arguments.m_options.emplace(option, readOptionValue(context.get())).second)
            return Error(ResultCode::SettingsInvalid,
                         std::string("--") + optionEntry(option).name + " is given more than once");
    }
    if (next != PoptEnd)
        return Error(ResultCode::SettingsInvalid,
                     std::string(poptBadOption(context.get(), 0)) + ": " + poptStrerror(next));
    while (const char *word = poptGetArg(context.get()))
        arguments.m_operands.emplace_back(word);
    if (!arguments.m_operands.empty()) {
        arguments.m_command = arguments.m_operands.front();
        arguments.m_operands.erase(arguments.m_operands.begin());
    }
    return arguments;
}

std::optional<std::string> Arguments::text(Option option) const
{
    const auto it = m_options.find(option);
    if (it == m_options.end())
        return std::nullopt;
    return it->second;
}

std::optional<std::uint64_t> Arguments::number(Option option, std::uint64_t largest) const
{
    const auto value = text(option);
    if (!value)
        return std::nullopt;
    std::uint64_t number = 0;
    const char *last = value->data() + value->size();
    const auto parsed = std::from_chars(value->data(), last, number);
    if (parsed.ec != std::errc() || parsed.ptr != last || number > largest)
        throw Error(ResultCode::SettingsInvalid,
                    std::string("--") + optionEntry(option).name
                        + " requires an unsigned integer of at most " + std::to_string(largest));
    return number;
}

} // namespace ggv
