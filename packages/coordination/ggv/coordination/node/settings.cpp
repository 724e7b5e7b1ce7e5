#include <ggv/coordination/node/settings.hpp>

#include <ggv/state/model/endpoint_text.hpp>

#include <array>
#include <fstream>
#include <functional>
#include <map>
#include <set>
#include <sstream>

#include <toml++/toml.h>

namespace ggv {

namespace {

constexpr std::uint32_t MaxThreads = 64;

//! Collects faults while the file is read.
class SettingsReader
{
public:
    void fault(const toml::node *node, const std::string &message)
    {
        if (node != nullptr)
            m_faults << "line " << node->source().begin.line << ", column "
                     << node->source().begin.column << ": ";
        m_faults << message << "\n";
    }

    void text(const toml::table &table, std::string_view key, std::string &value, bool required)
    {
        const toml::node *node = table.get(key);
        if (node == nullptr) {
            if (required)
                fault(&table, "'" + std::string(key) + "' is missing");
            return;
        }
        if (const auto *string = node->as_string())
            value = string->get();
        else
            fault(node, "'" + std::string(key) + "' must be a string");
    }

    void endpoint(const toml::table &table, std::string_view key, Endpoint &value)
    {
        std::string address;
        text(table, key, address, true);
        if (address.empty())
            return;
        if (const auto endpoint = parseEndpoint(address))
            value = *endpoint;
        else
            fault(table.get(key), "'" + address + "' is not an IP address with a port");
    }

    void threads(const toml::table &table, std::uint32_t &value)
    {
        const toml::node *node = table.get("threads");
        if (node == nullptr)
            return;
        const auto number = node->value<std::int64_t>().value_or(0);
        if (number < 1 || number > MaxThreads)
            fault(node, "'threads' must be from 1 to 64");
        else
            value = static_cast<std::uint32_t>(number);
    }

    void refuseUnknown(const toml::table &table, const std::set<std::string_view> &known)
    {
        for (const auto &[key, node] : table) {
            if (!known.contains(key.str()))
                fault(&node, "unknown key '" + std::string(key.str()) + "'");
        }
    }

    std::string faults() const { return m_faults.str(); }

private:
    std::ostringstream m_faults;
};

const toml::table *section(SettingsReader &reader, const toml::table &root, std::string_view name)
{
    const toml::node *node = root.get(name);
    if (node == nullptr)
        return nullptr;
    if (!node->is_table())
        reader.fault(node, "'" + std::string(name) + "' must be a table");
    return node->as_table();
}

void readHost(SettingsReader &reader, const toml::table &root, Settings &settings)
{
    const auto *host = section(reader, root, "host");
    if (host == nullptr) {
        reader.fault(nullptr, "section [host] is missing");
        return;
    }
    std::string name;
    std::string domain;
    reader.text(*host, "name", name, true);
    reader.text(*host, "failure_domain", domain, true);
    settings.host = HostName(name);
    settings.domain = FailureDomainName(domain);
    reader.endpoint(*host, "callers", settings.callers);
    reader.endpoint(*host, "operators", settings.operators);
    reader.endpoint(*host, "internal", settings.internal);
    reader.text(*host, "data_folder", settings.dataFolder, false);
    reader.threads(*host, settings.threads);
    reader.refuseUnknown(
        *host,
        { "name", "failure_domain", "callers", "operators", "internal", "data_folder", "threads" });
}

void readCluster(SettingsReader &reader, const toml::table &root, Settings &settings)
{
    const auto *cluster = section(reader, root, "cluster");
    if (cluster == nullptr) {
        reader.fault(nullptr, "section [cluster] is missing");
        return;
    }
    reader.text(*cluster, "secret", settings.secret, true);
    reader.text(*cluster, "bootstrap_register", settings.bootstrapRegister, true);
    reader.refuseUnknown(*cluster, { "secret", "bootstrap_register" });
}

void readTrace(SettingsReader &reader, const toml::table &root, Settings &settings)
{
    const auto *trace = section(reader, root, "trace");
    if (trace == nullptr)
        return;
    reader.text(*trace, "file", settings.traceFile, true);
    reader.refuseUnknown(*trace, { "file" });
}

void readOperators(SettingsReader &reader, const toml::table &root, Settings &settings)
{
    const toml::node *node = root.get("operator");
    if (node == nullptr)
        return;
    if (!node->is_array_of_tables()) {
        reader.fault(node, "operators are written as [[operator]]");
        return;
    }
    for (const auto &it : *node->as_array()) {
        const auto &table = *it.as_table();
        OperatorAccount account;
        reader.text(table, "name", account.name, true);
        reader.text(table, "token_sha256", account.tokenSha256, true);
        reader.refuseUnknown(table, { "name", "token_sha256" });
        settings.operatorAccounts.push_back(std::move(account));
    }
}

} // namespace

Result<Settings> parseSettings(std::string_view text)
{
    SettingsReader reader;
    Settings settings;
    try {
        const toml::table root = toml::parse(text);
        readHost(reader, root, settings);
        readCluster(reader, root, settings);
        readTrace(reader, root, settings);
        readOperators(reader, root, settings);
        reader.refuseUnknown(root, { "host", "cluster", "trace", "operator" });
    } catch (const toml::parse_error &error) {
        std::ostringstream message;
        message << "line " << error.source().begin.line << ", column "
                << error.source().begin.column << ": " << error.description();
        return Error(ResultCode::SettingsInvalid, message.str());
    }
    if (const auto faults = reader.faults(); !faults.empty())
        return Error(ResultCode::SettingsInvalid, faults);
    return settings;
}

std::string readTextFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        throw Error(ResultCode::SettingsInvalid, "cannot read " + path);
    std::ostringstream content;
    content << file.rdbuf();
    return content.str();
}

Result<Settings> loadSettings(const std::string &path)
{
    try {
        return parseSettings(readTextFile(path));
    } catch (const Error &error) {
        return error;
    }
}

} // namespace ggv
