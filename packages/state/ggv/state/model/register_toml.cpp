#include <ggv/state/model/register_toml.hpp>

#include <ggv/state/model/endpoint_text.hpp>
#include <ggv/state/model/entity_key.hpp>
#include <ggv/state/model/register_rules.hpp>
#include <ggv/state/model/register_schema.hpp>

#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <limits>
#include <set>

namespace ggv {

namespace {

using Position = toml::source_position;

constexpr double MicrosPerMilli = 1000.0;
constexpr double LargestMilliseconds = 1e12;
constexpr std::int64_t NanosPerMilli = 1'000'000;

// Collects faults and returns them in file order.
class FaultList
{
public:
    void add(Position position, std::string message)
    {
        const auto line = std::max<toml::source_index>(position.line, 1);
        const auto column = std::max<toml::source_index>(position.column, 1);
        m_faults.push_back({ line, column, std::move(message) });
    }

    [[nodiscard]] std::size_t size() const noexcept { return m_faults.size(); }

    [[nodiscard]] bool isAt(Position position) const
    {
        return std::any_of(m_faults.begin(), m_faults.end(), [&](const RegisterFault &it) {
            return it.line == position.line && it.column == position.column;
        });
    }

    [[nodiscard]] std::vector<RegisterFault> takeSorted()
    {
        std::stable_sort(m_faults.begin(), m_faults.end(), [](const auto &one, const auto &other) {
            return std::tie(one.line, one.column) < std::tie(other.line, other.column);
        });
        return std::move(m_faults);
    }

private:
    std::vector<RegisterFault> m_faults;
};

// readValue() returns null on success, otherwise a description of the expected value.

const char *readValue(const toml::node &node, std::string &value)
{
    const auto *text = node.as_string();
    if (text == nullptr)
        return "a string";
    value = text->get();
    return nullptr;
}

template <typename Tag>
const char *readValue(const toml::node &node, Name<Tag> &value)
{
    std::string text;
    const auto *expected = readValue(node, text);
    value = Name<Tag>(std::move(text));
    return expected;
}

template <typename Tag>
const char *readValue(const toml::node &node, std::optional<Name<Tag>> &value)
{
    return readValue(node, value.emplace());
}

const char *readValue(const toml::node &node, bool &value)
{
    const auto *flag = node.as_boolean();
    if (flag == nullptr)
        return "true or false";
    value = flag->get();
    return nullptr;
}

const char *readValue(const toml::node &node, std::uint64_t &value)
{
    const auto *number = node.as_integer();
    if (number == nullptr || number->get() < 0)
        return "a whole number from 0";
    value = static_cast<std::uint64_t>(number->get());
    return nullptr;
}

const char *readValue(const toml::node &node, std::uint32_t &value)
{
    std::uint64_t wide = 0;
    if (readValue(node, wide) != nullptr || wide > std::numeric_limits<std::uint32_t>::max())
        return "a whole number from 0 to 4294967295";
    value = static_cast<std::uint32_t>(wide);
    return nullptr;
}

const char *readValue(const toml::node &node, Endpoint &value)
{
    std::string text;
    auto endpoint = readValue(node, text) == nullptr ? parseEndpoint(text) : std::nullopt;
    if (!endpoint)
        return "an IP address and port such as \"127.0.0.1:8080\" or \"[::1]:8080\"";
    value = std::move(*endpoint);
    return nullptr;
}

template <typename Tag>
const char *readValue(const toml::node &node, std::vector<Name<Tag>> &value)
{
    const auto *array = node.as_array();
    if (array == nullptr)
        return "an array of names";
    for (const auto &it : *array) {
        if (readValue(it, value.emplace_back()) == nullptr)
            continue;
        value.clear();
        return "an array of names";
    }
    return nullptr;
}

const char *readValue(const toml::node &node, Duration &value)
{
    const auto milliseconds = node.value<double>();
    const bool valid = node.is_number() && milliseconds && *milliseconds >= 0
        && *milliseconds <= LargestMilliseconds;
    if (!valid)
        return "a number of milliseconds from 0";
    value = Duration(std::llround(*milliseconds * MicrosPerMilli));
    return nullptr;
}

const char *readInstant(const toml::node &node, UnixMillis &value)
{
    using namespace std::chrono;
    const auto *entry = node.as_date_time();
    if (entry == nullptr || !entry->get().offset)
        return "a date and time with offset such as 2026-01-31T20:00:00Z";
    const auto &[date, time, offset] = entry->get();
    const sys_days midnight = year(date.year) / month(date.month) / day(date.day);
    const auto ofDay = hours(time.hour) + minutes(time.minute) + seconds(time.second)
        + milliseconds(time.nanosecond / NanosPerMilli);
    const auto instant = midnight + ofDay - minutes(offset->minutes);
    value = duration_cast<milliseconds>(instant.time_since_epoch()).count();
    return nullptr;
}

// Reads a table according to its schema; keys that are not in the schema are faults.
class TableReader
{
public:
    TableReader(const toml::table &table, FaultList &faults)
        : m_table(table)
        , m_faults(faults)
    { }

    template <typename Entity>
    void read(Entity &entity)
    {
        const auto readEach = [&](const auto &...field) { (readField(field, entity), ...); };
        std::apply(readEach, detail::Schema<Entity>::Fields);
        reportUnknownKeys();
    }

    // Reads a table that contains only this key.
    template <typename Value>
    void readSingleKey(std::string_view key, Value &value)
    {
        if (const auto *node = find(key, detail::Presence::Required))
            reportMismatch(*node, key, readValue(*node, value));
        reportUnknownKeys();
    }

private:
    template <typename Entity, typename Value>
    void readField(const detail::Field<Entity, Value> &field, Entity &entity)
    {
        if (const auto *node = find(field.key, field.presence))
            reportMismatch(*node, field.key, readValue(*node, entity.*field.member));
    }

    template <typename Entity>
    void readField(const detail::Field<Entity, std::vector<NonIdempotentRoute>> &field,
                   Entity &entity)
    {
        const auto *node = find(field.key, field.presence);
        if (node == nullptr)
            return;
        const auto *array = node->as_array();
        if (array == nullptr || !isTableArray(*array)) {
            reportMismatch(*node, field.key, "an array of tables");
            return;
        }
        for (const auto &it : *array)
            TableReader(*it.as_table(), m_faults).read((entity.*field.member).emplace_back());
    }

    template <typename Entity>
    void readField(const detail::MillisecondsField<Entity> &field, Entity &entity)
    {
        if (const auto *node = find(field.key, field.presence))
            reportMismatch(*node, field.key, readValue(*node, entity.*field.member));
    }

    template <typename Entity>
    void readField(const detail::InstantField<Entity> &field, Entity &entity)
    {
        if (const auto *node = find(field.key, field.presence))
            reportMismatch(*node, field.key, readInstant(*node, entity.*field.member));
    }

    void readField(const detail::RegionPairField &field, Link &link)
    {
        const auto *node = find(field.key, detail::Presence::Required);
        if (node == nullptr)
            return;
        std::vector<RegionName> regions;
        if (readValue(*node, regions) != nullptr || regions.size() != 2) {
            reportMismatch(*node, field.key, "an array of two regions");
            return;
        }
        link.first = regions[0];
        link.second = regions[1];
    }

    void readField(const detail::DrainSubjectField &, Drain &drain)
    {
        std::size_t subjects = 0;
        for (const auto scope :
             { DrainScope::Target, DrainScope::FailureDomain, DrainScope::Region }) {
            const auto key = detail::drainScopeName(scope);
            const auto *node = find(key, detail::Presence::Optional);
            if (node == nullptr)
                continue;
            ++subjects;
            drain.scope = scope;
            reportMismatch(*node, key, readValue(*node, drain.name));
        }
        if (subjects != 1)
            m_faults.add(m_table.source().begin,
                         "a drain needs one of the keys target, failure_domain and region");
    }

    const toml::node *find(std::string_view key, detail::Presence presence)
    {
        m_known.insert(key);
        const auto *node = m_table.get(key);
        if (node == nullptr && presence == detail::Presence::Required)
            m_faults.add(m_table.source().begin, std::string(key) + " is missing");
        return node;
    }

    void reportMismatch(const toml::node &node, std::string_view key, const char *expected)
    {
        if (expected != nullptr)
            m_faults.add(node.source().begin, std::string(key) + " must be " + expected);
    }

    static bool isTableArray(const toml::array &array)
    {
        return std::all_of(array.begin(), array.end(),
                           [](const toml::node &it) { return it.is_table(); });
    }

    void reportUnknownKeys()
    {
        for (const auto &[key, node] : m_table) {
            if (!m_known.contains(key.str()))
                m_faults.add(key.source().begin, "unknown key " + std::string(key.str()));
        }
    }

    const toml::table &m_table;
    FaultList &m_faults;
    std::set<std::string_view> m_known;
};

// The table that an entity was read from, and whether reading it produced no faults.
struct EntitySource
{
    const toml::table *table = nullptr;
    bool readWithoutFault = true;
};

// Reads a document; each top-level key has a reader function.
class DocumentReader
{
public:
    explicit DocumentReader(const toml::table &root)
        : m_root(root)
    { }

    RegisterDocument read()
    {
        for (const auto &[key, node] : m_root)
            readRootKey(key, node);
        const FaultList readFaults = m_faults;
        for (const auto &it : checkContent(m_content))
            reportContentFault(it, readFaults);
        return { std::move(m_content), m_faults.takeSorted() };
    }

private:
    using Reader = void (DocumentReader::*)(const toml::key &key, const toml::node &node);

    struct RootKey
    {
        std::string_view name;
        Reader reader;
    };

    template <auto List, EntityKind Kind>
    void readList(const toml::key &key, const toml::node &node)
    {
        const auto *array = node.as_array();
        if (array == nullptr) {
            m_faults.add(key.source().begin, "write [[" + std::string(key.str()) + "]]");
            return;
        }
        auto &entities = (m_content.*List).edit();
        for (const auto &it : *array) {
            const auto *table = it.as_table();
            if (table == nullptr) {
                m_faults.add(it.source().begin, "write [[" + std::string(key.str()) + "]]");
                continue;
            }
            const auto faultsBefore = m_faults.size();
            TableReader(*table, m_faults).read(entities.emplace_back());
            sourcesOf(Kind).push_back({ table, m_faults.size() == faultsBefore });
        }
    }

    template <auto Member, EntityKind Kind>
    void readTable(const toml::key &key, const toml::node &node)
    {
        const auto *table = node.as_table();
        if (table == nullptr) {
            m_faults.add(key.source().begin, "write [" + std::string(key.str()) + "]");
            return;
        }
        const auto faultsBefore = m_faults.size();
        const auto *field = Kind == EntityKind::Platform ? "list_url" : "voters";
        TableReader(*table, m_faults).readSingleKey(field, m_content.*Member);
        sourcesOf(Kind).push_back({ table, m_faults.size() == faultsBefore });
    }

    void readRootKey(const toml::key &key, const toml::node &node)
    {
        using C = RegisterContent;
        using K = EntityKind;
        using R = DocumentReader;
        static constexpr RootKey RootKeys[] = {
            { "region", &R::readList<&C::regions, K::Region> },
            { "failure_domain", &R::readList<&C::domains, K::FailureDomain> },
            { "entry_host", &R::readList<&C::hosts, K::EntryHost> },
            { "control", &R::readTable<&C::controlVoters, K::ControlVoter> },
            { "claim_group", &R::readList<&C::claimGroups, K::ClaimGroup> },
            { "service", &R::readList<&C::services, K::Service> },
            { "target", &R::readList<&C::targets, K::Target> },
            { "link", &R::readList<&C::links, K::Link> },
            { "client_block", &R::readList<&C::clientBlocks, K::ClientBlock> },
            { "shift_cap", &R::readList<&C::shiftCaps, K::ShiftCap> },
            { "drain", &R::readList<&C::drains, K::Drain> },
            { "platform", &R::readTable<&C::platformListUrl, K::Platform> },
        };
        for (const auto &it : RootKeys) {
            if (it.name == key.str())
                return (this->*it.reader)(key, node);
        }
        m_faults.add(key.source().begin, "unknown key " + std::string(key.str()));
    }

    // Suppresses faults that merely result from a value that is missing or could not be read.
    void reportContentFault(const ContentFault &fault, const FaultList &readFaults)
    {
        const auto &sources = sourcesOf(fault.kind);
        const auto index = fault.kind == EntityKind::ControlVoter ? 0 : fault.index;
        if (index >= sources.size())
            return;
        const auto &[table, readWithoutFault] = sources[index];
        const auto position = positionOf(*table, fault);
        const bool isPresent = table->contains(fault.field);
        if (readWithoutFault || (isPresent && !readFaults.isAt(position)))
            m_faults.add(position, faultText(fault));
    }

    static Position positionOf(const toml::table &table, const ContentFault &fault)
    {
        const auto *node = table.get(fault.field);
        if (node == nullptr)
            return table.source().begin;
        const auto *array = node->as_array();
        const bool isElement = fault.kind == EntityKind::ControlVoter && array != nullptr
            && fault.index < array->size();
        return isElement ? (*array)[fault.index].source().begin : node->source().begin;
    }

    static std::string faultText(const ContentFault &fault)
    {
        return fault.field.empty() ? fault.message
                                   : std::string(fault.field) + ": " + fault.message;
    }

    std::vector<EntitySource> &sourcesOf(EntityKind kind)
    {
        return m_sources[static_cast<std::size_t>(kind)];
    }

    const toml::table &m_root;
    RegisterContent m_content;
    FaultList m_faults;
    std::array<std::vector<EntitySource>, EntityKindCount> m_sources;
};

} // namespace

RegisterDocument parseRegisterToml(std::string_view text)
{
    try {
        const auto root = toml::parse(text);
        return DocumentReader(root).read();
    } catch (const toml::parse_error &error) {
        FaultList faults;
        faults.add(error.source().begin, std::string(error.description()));
        return { {}, faults.takeSorted() };
    }
}

} // namespace ggv
