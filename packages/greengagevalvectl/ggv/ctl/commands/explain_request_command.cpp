#include <ggv/ctl/command.hpp>
#include <ggv/state/log/request_explanation.hpp>

#include <fstream>

namespace ggv {

namespace {

// Reads every file, each time that it is called.
void readFiles(const std::vector<std::string> &paths,
               const std::function<void(const LoggedEvent &)> &reader)
{
    for (const auto &path : paths) {
        std::ifstream file(path);
        if (!file)
            throw Error(ResultCode::SettingsInvalid, path + ": cannot be read");
        std::string line;
        while (std::getline(file, line)) {
            if (const auto event = LoggedEvent::parse(line))
                reader(*event);
        }
    }
}

void writeEvent(std::ostream &out, const LoggedEvent &event)
{
    out << event.process << " " << event.event;
    for (const auto &[name, value] : event.fields) {
        if (name != "request" && name != "level" && !value.empty())
            out << " " << name << "=" << value;
    }
    out << "\n";
}

void writeText(std::ostream &out, const RequestExplanation &story)
{
    const std::int64_t start = story.lines.front().timeMs;
    for (const auto &line : story.lines) {
        out << "+" << line.timeMs - start << " ms ";
        writeEvent(out, line);
    }
    out << "\nWhat was believed, and how long before the end that was said:\n";
    for (const auto &belief : story.beliefs) {
        out << belief.age.count() / 1000 << " ms ";
        writeEvent(out, belief.event);
    }
    out << "\nCause: " << story.cause << "\n";
    for (const auto &it : story.evidence)
        out << "- " << it << "\n";
}

nlohmann::json jsonOf(const LoggedEvent &event)
{
    return { { "time_ms", event.timeMs },
             { "process", event.process },
             { "event", event.event },
             { "fields", event.fields } };
}

nlohmann::json jsonOf(const RequestExplanation &story)
{
    nlohmann::json report { { "cause", story.cause }, { "evidence", story.evidence } };
    report["lines"] = nlohmann::json::array();
    for (const auto &line : story.lines)
        report["lines"].push_back(jsonOf(line));
    report["beliefs"] = nlohmann::json::array();
    for (const auto &belief : story.beliefs) {
        auto entry = jsonOf(belief.event);
        entry["age_ms"] = belief.age.count() / 1000;
        report["beliefs"].push_back(std::move(entry));
    }
    return report;
}

} // namespace

ExitCode runExplainRequest(const CommandContext &context)
{
    const auto &operands = context.arguments.operands();
    const std::vector<std::string> paths(operands.begin() + 1, operands.end());
    const auto story = explainRequest(operands.front(),
                                      [&paths](const auto &reader) { readFiles(paths, reader); });
    if (story.lines.empty()) {
        context.err << "no line of these logs mentions request " << operands.front() << "\n";
        return ExitCode::Faults;
    }
    if (context.json())
        context.out << jsonOf(story).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
                    << "\n";
    else
        writeText(context.out, story);
    return ExitCode::Ok;
}

} // namespace ggv
