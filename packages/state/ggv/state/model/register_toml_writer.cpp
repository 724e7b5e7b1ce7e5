#include <ggv/state/model/register_toml.hpp>

#include <ggv/state/model/endpoint_text.hpp>
#include <ggv/state/model/entity_key.hpp>
#include <ggv/state/model/register_schema.hpp>

#include <array>
#include <chrono>
#include <cstdio>

namespace ggv {

namespace {

constexpr std::int64_t MicrosPerMilli = 1000;
constexpr char LastControlCharacter = 0x1f;
constexpr char DeleteCharacter = 0x7f;

std::string quoted(std::string_view text)
{
    std::string result = "\"";
    for (const char c : text) {
        const bool isControl = (c >= 0 && c <= LastControlCharacter) || c == DeleteCharacter;
        if (isControl) {
            std::array<char, sizeof("\\u0000")> buf {};
            std::snprintf(buf.data(), buf.size(), "\\u%04x", static_cast<unsigned>(c));
            result += buf.data();
            continue;
        }
        if (c == '"' || c == '\\')
            result += '\\';
        result += c;
    }
    return result + '"';
}

std::string formatValue(const std::string &value) { return quoted(value); }

template <typename Tag>
std::string formatValue(const Name<Tag> &value)
{
    return quoted(value.text());
}

std::string formatValue(bool value) { return value ? "true" : "false"; }
std::string formatValue(std::uint64_t value) { return std::to_string(value); }
std::string formatValue(std::uint32_t value) { return std::to_string(value); }
std::string formatValue(const Endpoint &value) { return quoted(formatEndpoint(value)); }

template <typename Tag>
std::string formatValue(const std::vector<Name<Tag>> &values)
{
    std::string text;
    for (const auto &it : values)
        text += (text.empty() ? "" : ", ") + formatValue(it);
    return '[' + text + ']';
}

std::string formatValue(Duration value)
{
    auto millis = std::to_string(value.count() / MicrosPerMilli);
    const auto micros = value.count() % MicrosPerMilli;
    if (micros == 0)
        return millis;
    return millis + '.' + std::to_string(MicrosPerMilli + micros).substr(1);
}

std::string formatInstant(UnixMillis instant)
{
    using namespace std::chrono;
    const sys_time<milliseconds> time { milliseconds(instant) };
    const auto midnight = floor<days>(time);
    const year_month_day date(midnight);
    const hh_mm_ss ofDay(time - midnight);
    std::array<char, 64> buf {}; // NOLINT(readability-magic-numbers)
    std::snprintf(buf.data(), buf.size(), "%04d-%02u-%02uT%02d:%02d:%02d.%03dZ",
                  static_cast<int>(date.year()), static_cast<unsigned>(date.month()),
                  static_cast<unsigned>(date.day()), static_cast<int>(ofDay.hours().count()),
                  static_cast<int>(ofDay.minutes().count()),
                  static_cast<int>(ofDay.seconds().count()),
                  static_cast<int>(ofDay.subseconds().count()));
    return buf.data();
}

// Writes tables according to their schema.
class TomlWriter
{
public:
    template <typename Entity>
    void writeList(std::string_view name, const SharedVector<Entity> &entities)
    {
        for (const auto &it : entities) {
            m_text += "[[" + std::string(name) + "]]\n";
            writeFields(it);
            m_text += '\n';
        }
    }

    template <typename Value>
    void writeTable(std::string_view name, std::string_view key, const Value &value)
    {
        if (value.empty())
            return;
        m_text += '[' + std::string(name) + "]\n";
        writeKey(key, formatValue(value));
        m_text += '\n';
    }

    [[nodiscard]] std::string takeText() { return std::move(m_text); }

private:
    template <typename Entity>
    void writeFields(const Entity &entity)
    {
        const auto writeEach = [&](const auto &...field) { (writeField(field, entity), ...); };
        std::apply(writeEach, detail::Schema<Entity>::Fields);
    }

    template <typename Entity, typename Value>
    void writeField(const detail::Field<Entity, Value> &field, const Entity &entity)
    {
        writeKey(field.key, formatValue(entity.*field.member));
    }

    template <typename Entity, typename Tag>
    void writeField(const detail::Field<Entity, std::optional<Name<Tag>>> &field,
                    const Entity &entity)
    {
        if (const auto &value = entity.*field.member)
            writeKey(field.key, formatValue(*value));
    }

    // Sub-tables are last in the schema, because TOML assigns all later keys to them.
    void writeField(const detail::Field<Service, std::vector<NonIdempotentRoute>> &field,
                    const Service &service)
    {
        for (const auto &it : service.*field.member) {
            m_text += "[[service." + std::string(field.key) + "]]\n";
            writeFields(it);
        }
    }

    template <typename Entity>
    void writeField(const detail::MillisecondsField<Entity> &field, const Entity &entity)
    {
        writeKey(field.key, formatValue(entity.*field.member));
    }

    template <typename Entity>
    void writeField(const detail::InstantField<Entity> &field, const Entity &entity)
    {
        writeKey(field.key, formatInstant(entity.*field.member));
    }

    void writeField(const detail::RegionPairField &field, const Link &link)
    {
        writeKey(field.key, formatValue(std::vector { link.first, link.second }));
    }

    void writeField(const detail::DrainSubjectField &, const Drain &drain)
    {
        writeKey(detail::drainScopeName(drain.scope), formatValue(drain.name));
    }

    void writeKey(std::string_view key, const std::string &value)
    {
        m_text += std::string(key) + " = " + value + '\n';
    }

    std::string m_text;
};

} // namespace

std::string formatRegisterToml(const RegisterContent &content)
{
    TomlWriter writer;
    writer.writeTable("platform", "list_url", content.platformListUrl);
    writer.writeTable("control", "voters", content.controlVoters);
    writer.writeList("region", content.regions);
    writer.writeList("failure_domain", content.domains);
    writer.writeList("entry_host", content.hosts);
    writer.writeList("claim_group", content.claimGroups);
    writer.writeList("service", content.services);
    writer.writeList("target", content.targets);
    writer.writeList("link", content.links);
    writer.writeList("client_block", content.clientBlocks);
    writer.writeList("shift_cap", content.shiftCaps);
    writer.writeList("drain", content.drains);
    return writer.takeText();
}

} // namespace ggv
