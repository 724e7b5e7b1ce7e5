#include <ggv/ctl/change_report.hpp>
#include <ggv/ctl/drain_edit.hpp>
#include <ggv/ctl/instant_text.hpp>

namespace ggv {

namespace {

constexpr std::uint64_t MaxOverSeconds = 365ULL * 24 * 3600;
constexpr UnixMillis MillisPerSecond = 1000;
const char *const DrainedRegister = "register";

DrainScope scopeOf(const CommandContext &context)
{
    const auto scope = parseDrainScope(context.operand(0));
    if (!scope)
        throw Error(ResultCode::SettingsInvalid,
                    "'" + context.operand(0) + "' is not target, failure-domain or region");
    return *scope;
}

Drain drainOf(const CommandContext &context)
{
    const auto at = context.arguments.text(Option::At);
    const auto start = at ? parseInstant(*at) : wallClockNow();
    if (!start)
        throw Error(ResultCode::SettingsInvalid, "--at needs a date and time with an offset");
    const auto seconds = context.arguments.number(Option::Over, MaxOverSeconds).value_or(0);
    const auto length = static_cast<UnixMillis>(seconds) * MillisPerSecond;
    return { scopeOf(context), context.operand(1), *start, *start + length };
}

ExitCode applyEdited(const CommandContext &context, const ApiClient &client,
                     RegisterVersion version, const RegisterContent &content)
{
    const Register edited = Register::create(version + 1, content).value();
    const ChangeRequest change { randomChangeId(), version, formatRegisterToml(edited.content()) };
    return sendChange(context, client, change, DrainedRegister);
}

} // namespace

ExitCode runDrain(const CommandContext &context)
{
    const Drain drain = drainOf(context);
    const ApiClient client = context.client();
    const Register inForce = client.fetchRegister().parse();
    return applyEdited(context, client, inForce.version(), withDrain(inForce.content(), drain));
}

ExitCode runUndrain(const CommandContext &context)
{
    const DrainScope scope = scopeOf(context);
    const ApiClient client = context.client();
    const Register inForce = client.fetchRegister().parse();
    const auto content = withoutDrain(inForce.content(), scope, context.operand(1)).value();
    return applyEdited(context, client, inForce.version(), content);
}

} // namespace ggv
