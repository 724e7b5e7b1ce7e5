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

//! Reads values from TOML tables and collects errors.
class SettingsReader
{
public:
    void addError(const toml::node *node, const std::string &message)
    {
        if (node != nullptr)
            m_errors << "line " << node->source().begin.line << ", column "
                     << node->source().begin.column << ": ";
        m_errors << message << "\n";
    }

    void readString(const toml::table &table, std::string_view key, std::string &value,
                    bool required)
    {
        const toml::node *node = table.get(key);
        if (node == nullptr) {
            if (required)
                addError(&table, "'" + std::string(key) + "' is required but missing");
            return;
        }
        if (const auto *string = node->as_string())
            value = string->get();
        else
            addError(node, "'" + std::string(key) + "' must be a string");
    }

    void readEndpoint(const toml::table &table, std::string_view key, Endpoint &value)
    {
        std::string address;
        readString(table, key, address, true);
        if (address.empty())
            return;
        if (const auto endpoint = parseEndpoint(address))
            value = *endpoint;
        else
            addError(table.get(key), "'" + address + "' is not an IP address with a port");
    }

    void readThreads(const toml::table &table, std::uint32_t &value)
    {
        const toml::node *node = table.get("threads");
        if (node == nullptr)
            return;
        const auto number = node->value<std::int64_t>().value_or(0);
        if (number < 1 || number > MaxThreads)
            addError(node, "'threads' must be from 1 to 64");
        else
            value = static_cast<std::uint32_t>(number);
    }

    void rejectUnknownKeys(const toml::table &table, const std::set<std::string_view> &known)
    {
        for (const auto &[key, node] : table) {
            if (!known.contains(key.str()))
                addError(&node, "unknown key '" + std::string(key.str()) + "'");
        }
    }

    std::string errors() const { return m_errors.str(); }

private:
    std::ostringstream m_errors;
};

const toml::table *findSection(SettingsReader &reader, const toml::table &root,
                               std::string_view name)
{
    const toml::node *node = root.get(name);
    if (node == nullptr)
        return nullptr;
    if (!node->is_table())
        reader.addError(node, "'" + std::string(name) + "' must be a table");
    return node->as_table();
}

void readHost(SettingsReader &reader, const toml::table &root, Settings &settings)
{
    const auto *host = findSection(reader, root, "host");
    if (host == nullptr) {
        reader.addError(nullptr, "required section [host] is missing");
        return;
    }
    std::string name;
    std::string domain;
    reader.readString(*host, "name", name, true);
    reader.readString(*host, "failure_domain", domain, true);
    settings.host = HostName(name);
    settings.domain = FailureDomainName(domain);
    reader.readEndpoint(*host, "callers", settings.callers);
    reader.readEndpoint(*host, "operators", settings.operators);
    reader.readEndpoint(*host, "internal", settings.internal);
    reader.readString(*host, "data_folder", settings.dataFolder, false);
    reader.readThreads(*host, settings.threads);
    reader.rejectUnknownKeys(
        *host,
        { "name", "failure_domain", "callers", "operators", "internal", "data_folder", "threads" });
}

void readCluster(SettingsReader &reader, const toml::table &root, Settings &settings)
{
    const auto *cluster = findSection(reader, root, "cluster");
    if (cluster == nullptr) {
        reader.addError(nullptr, "required section [cluster] is missing");
        return;
    }
    reader.readString(*cluster, "secret", settings.secret, true);
    reader.readString(*cluster, "bootstrap_register", settings.bootstrapRegister, true);
    reader.rejectUnknownKeys(*cluster, { "secret", "bootstrap_register" });
}

void readTrace(SettingsReader &reader, const toml::table &root, Settings &settings)
{
    const auto *trace = findSection(reader, root, "trace");
    if (trace == nullptr)
        return;
    reader.readString(*trace, "file", settings.traceFile, true);
    reader.rejectUnknownKeys(*trace, { "file" });
}

void readOperators(SettingsReader &reader, const toml::table &root, Settings &settings)
{
    const toml::node *node = root.get("operator");
    if (node == nullptr)
        return;
    if (!node->is_array_of_tables()) {
        reader.addError(node, "'operator' must be an array of tables, written as [[operator]]");
        return;
    }
    for (const auto &it : *node->as_array()) {
        const auto &table = *it.as_table();
        OperatorAccount account;
        reader.readString(table, "name", account.name, true);
        reader.readString(table, "token_sha256", account.tokenSha256, true);
        reader.rejectUnknownKeys(table, { "name", "token_sha256" });
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
        reader.rejectUnknownKeys(root, { "host", "cluster", "trace", "operator" });
    } catch (const toml::parse_error &error) {
        std::ostringstream message;
        message << "line " << error.source().begin.line << ", column "
                << error.source().begin.column << ": " << error.description();
        return Error(ResultCode::SettingsInvalid, message.str());
    }
    if (const auto errors = reader.errors(); !errors.empty())
        return Error(ResultCode::SettingsInvalid, errors);
    return settings;
}

std::string readTextFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        throw Error(ResultCode::SettingsInvalid, "cannot read file " + path);
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
