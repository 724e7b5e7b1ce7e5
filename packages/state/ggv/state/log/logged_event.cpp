#include <ggv/state/log/logged_event.hpp>

#include <charconv>

#include <nlohmann/json.hpp>

namespace ggv {

std::optional<LoggedEvent> LoggedEvent::parse(std::string_view line)
{
    const auto begin = line.find('{');
    if (begin == std::string_view::npos)
        return std::nullopt;
    const auto json = nlohmann::json::parse(line.substr(begin), nullptr, false);
    if (!json.is_object() || !json.contains("event") || !json["event"].is_string())
        return std::nullopt;
    LoggedEvent event;
    for (const auto &[name, value] : json.items()) {
        auto text = value.is_string() ? value.get<std::string>() : value.dump();
        if (name == "event")
            event.event = std::move(text);
        else if (name == "process")
            event.process = std::move(text);
        else if (name == "time_ms" && value.is_number())
            event.timeMs = value.get<std::int64_t>();
        else if (name == "uptime_us" && value.is_number())
            event.uptimeUs = value.get<std::int64_t>();
        else
            event.fields[name] = std::move(text);
    }
    return event;
}

std::string LoggedEvent::text(std::string_view name) const
{
    const auto it = fields.find(std::string(name));
    return it == fields.end() ? std::string() : it->second;
}

std::int64_t LoggedEvent::number(std::string_view name) const
{
    const auto value = text(name);
    std::int64_t parsed = 0;
    std::from_chars(value.data(), value.data() + value.size(), parsed);
    return parsed;
}

} // namespace ggv
