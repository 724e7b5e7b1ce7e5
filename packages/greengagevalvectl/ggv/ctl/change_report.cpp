#include <ggv/ctl/change_report.hpp>

#include <ggv/transport/net/shared_secret.hpp>

#include <iomanip>
#include <sstream>

namespace ggv {

namespace {

constexpr int HexDigits = 16;

void writeJson(std::ostream &out, const ChangeRequest &change, const ChangeOutcome &outcome,
               const std::string &path)
{
    nlohmann::json report { { "change", change.id.text() },
                            { "expected", change.expected },
                            { "result", static_cast<int>(outcome.code) },
                            { "name", resultCodeName(outcome.code) },
                            { "version", outcome.version },
                            { "message", outcome.message } };
    if (!outcome.faults.empty())
        report.update(faultsReport(path, outcome.faults));
    out << report.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
}

void writeText(const CommandContext &context, const ChangeRequest &change,
               const ChangeOutcome &outcome)
{
    if (outcome.code == ResultCode::Ok)
        context.out << "change " << change.id.text() << ": version " << outcome.version
                    << " is accepted\n";
    else if (exitCodeOf(outcome.code) == ExitCode::Unreachable)
        context.err << "change " << change.id.text() << ": outcome unknown: " << outcome.message
                    << "\nresend the same content with --expected " << change.expected
                    << " --change " << change.id.text() << "\n";
    else
        context.err << "change " << change.id.text() << ": rejected: " << outcome.message << " ("
                    << resultCodeName(outcome.code) << "), version " << outcome.version << "\n";
}

} // namespace

ExitCode sendChange(const CommandContext &context, const ApiClient &client,
                    const ChangeRequest &change, const std::string &path)
{
    // Printed before the change is sent, so that it can be resent if this process is terminated.
    context.err << "change id " << change.id.text() << std::endl;
    const ChangeOutcome outcome = client.apply(change);
    if (context.json())
        writeJson(context.out, change, outcome, path);
    else if (outcome.faults.empty())
        writeText(context, change, outcome);
    else
        printFaults(context.err, path, outcome.faults);
    return outcome.faults.empty() ? exitCodeOf(outcome.code) : ExitCode::Faults;
}

ChangeId randomChangeId()
{
    std::ostringstream text;
    text << std::hex << std::setfill('0');
    text << std::setw(HexDigits) << randomNumber();
    text << std::setw(HexDigits) << randomNumber();
    return ChangeId(text.str());
}

} // namespace ggv
