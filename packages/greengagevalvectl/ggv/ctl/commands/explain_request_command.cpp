#include <ggv/ctl/command.hpp>
#include <ggv/state/log/request_explanation.hpp>

#include <fstream>

namespace ggv {

namespace {

// Parses all files on each call and passes every event to the visitor.
void visitEvents(const std::vector<std::string> &paths,
                 const std::function<void(const LoggedEvent &)> &visitor)
{
    for (const auto &path : paths) {
        std::ifstream file(path);
        if (!file)
            throw Error(ResultCode::SettingsInvalid, path + ": cannot open the log file");
        std::string line;
        while (std::getline(file, line)) {
            if (const auto event = LoggedEvent::parse(line))
                visitor(*event);
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

void writeText(std::ostream &out, const RequestExplanation &explanation)
{
    const std::int64_t start = explanation.lines.front().timeMs;
    for (const auto &line : explanation.lines) {
        out << "+" << line.timeMs - start << " ms ";
        writeEvent(out, line);
    }
    out << "\nRecorded state of processes and targets, and its age at the end of the request:\n";
    for (const auto &state : explanation.recordedStates) {
        out << state.age.count() / 1000 << " ms ";
        writeEvent(out, state.event);
    }
    out << "\nCause: " << explanation.cause << "\n";
    for (const auto &it : explanation.evidence)
        out << "- " << it << "\n";
}

nlohmann::json jsonOf(const LoggedEvent &event)
{
    return { { "time_ms", event.timeMs },
             { "process", event.process },
             { "event", event.event },
             { "fields", event.fields } };
}

nlohmann::json jsonOf(const RequestExplanation &explanation)
{
    nlohmann::json report { { "cause", explanation.cause }, { "evidence", explanation.evidence } };
    report["lines"] = nlohmann::json::array();
    for (const auto &line : explanation.lines)
        report["lines"].push_back(jsonOf(line));
    report["beliefs"] = nlohmann::json::array();
    for (const auto &state : explanation.recordedStates) {
        auto entry = jsonOf(state.event);
        entry["age_ms"] = state.age.count() / 1000;
        report["beliefs"].push_back(std::move(entry));
    }
    return report;
}

} // namespace

ExitCode runExplainRequest(const CommandContext &context)
{
    const auto &operands = context.arguments.operands();
    const std::vector<std::string> paths(operands.begin() + 1, operands.end());
    const auto explanation = explainRequest(
        operands.front(), [&paths](const auto &visitor) { visitEvents(paths, visitor); });
    if (explanation.lines.empty()) {
        context.err << "the given logs have no event of request " << operands.front() << "\n";
        return ExitCode::Faults;
    }
    if (context.json())
        context.out
            << jsonOf(explanation).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
            << "\n";
    else
        writeText(context.out, explanation);
    return ExitCode::Ok;
}

} // namespace ggv
