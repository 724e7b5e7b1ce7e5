#include <ggv/ctl/change_report.hpp>

#include <limits>

namespace ggv {

ExitCode runApply(const CommandContext &context)
{
    const auto largest = std::numeric_limits<RegisterVersion>::max();
    const auto expected = context.arguments.number(Option::Expected, largest);
    if (!expected)
        throw Error(ResultCode::SettingsInvalid, "apply requires --expected");
    const auto id = context.arguments.text(Option::Change);
    if (id && id->empty())
        throw Error(ResultCode::SettingsInvalid, "--change must not be empty");
    const ApiClient client = context.client();
    const RegisterFile file = RegisterFile::read(context.operand(0));
    if (!file.document.faults.empty())
        return runCheck(context);
    const ChangeRequest change { id ? ChangeId(*id) : randomChangeId(), *expected, file.text };
    return sendChange(context, client, change, file.path);
}

} // namespace ggv
