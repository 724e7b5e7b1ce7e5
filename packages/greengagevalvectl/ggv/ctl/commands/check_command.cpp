#include <ggv/ctl/command.hpp>

namespace ggv {

ExitCode runCheck(const CommandContext &context)
{
    const RegisterFile file = RegisterFile::read(context.operand(0));
    const auto &faults = file.document.faults;
    if (context.json())
        context.out << faultsReport(file.path, faults).dump() << "\n";
    else
        printFaults(context.out, file.path, faults);
    return faults.empty() ? ExitCode::Ok : ExitCode::Faults;
}

} // namespace ggv
