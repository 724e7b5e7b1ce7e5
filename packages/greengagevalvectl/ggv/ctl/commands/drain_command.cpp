#include <ggv/ctl/change_report.hpp>
#include <ggv/ctl/drain_edit.hpp>
#include <ggv/ctl/instant_text.hpp>

namespace ggv {

namespace {

constexpr std::uint64_t MaxOverSeconds = 365ULL * 24 * 3600;
constexpr UnixMillis MillisPerSecond = 1000;
const char *const EditedRegisterName = "register";

DrainScope parseScope(const CommandContext &context)
{
    const auto scope = parseDrainScope(context.operand(0));
    if (!scope)
        throw Error(ResultCode::SettingsInvalid,
                    "'" + context.operand(0) + "' is not one of target, failure-domain, region");
    return *scope;
}

Drain parseDrain(const CommandContext &context)
{
    const auto at = context.arguments.text(Option::At);
    const auto start = at ? parseInstant(*at) : wallClockNow();
    if (!start)
        throw Error(ResultCode::SettingsInvalid, "--at requires a date and time with a UTC offset");
    const auto seconds = context.arguments.number(Option::Over, MaxOverSeconds).value_or(0);
    const auto length = static_cast<UnixMillis>(seconds) * MillisPerSecond;
    return { parseScope(context), context.operand(1), *start, *start + length };
}

ExitCode submitContent(const CommandContext &context, const ApiClient &client,
                       RegisterVersion version, const RegisterContent &content)
{
    const Register edited = Register::create(version + 1, content).value();
    const ChangeRequest change { randomChangeId(), version, formatRegisterToml(edited.content()) };
    return sendChange(context, client, change, EditedRegisterName);
}

} // namespace

ExitCode runDrain(const CommandContext &context)
{
    const Drain drain = parseDrain(context);
    const ApiClient client = context.client();
    const Register inForce = client.fetchRegister().parse();
    return submitContent(context, client, inForce.version(), withDrain(inForce.content(), drain));
}

ExitCode runUndrain(const CommandContext &context)
{
    const DrainScope scope = parseScope(context);
    const ApiClient client = context.client();
    const Register inForce = client.fetchRegister().parse();
    const auto content = withoutDrain(inForce.content(), scope, context.operand(1)).value();
    return submitContent(context, client, inForce.version(), content);
}

} // namespace ggv
