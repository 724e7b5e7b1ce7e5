#include <ggv/ctl/exit_code.hpp>

namespace ggv {

ExitCode exitCodeOf(ResultCode code) noexcept
{
    switch (code) {
    case ResultCode::Ok:
        return ExitCode::Ok;
    case ResultCode::SettingsInvalid:
    case ResultCode::MalformedRequest:
        return ExitCode::Usage;
    case ResultCode::RegisterSyntax:
        return ExitCode::Faults;
    case ResultCode::NotAuthorized:
        return ExitCode::NotAuthorized;
    case ResultCode::VersionConflict:
    case ResultCode::RegisterInvalid:
    case ResultCode::ChangeIdReused:
    case ResultCode::UnknownEntity:
    case ResultCode::NoSuchService:
        return ExitCode::Refused;
    default:
        return ExitCode::Unreachable;
    }
}

} // namespace ggv
