#include <ggv/ctl/command.hpp>

namespace ggv {

ExitCode runShow(const CommandContext &context)
{
    const FetchedRegister fetched = context.client().fetchRegister();
    if (context.json()) {
        const nlohmann::json report { { "version", fetched.version },
                                      { "register", fetched.text } };
        context.out << report.dump() << "\n";
    } else {
        context.out << "# version " << fetched.version << "\n" << fetched.text;
    }
    return ExitCode::Ok;
}

} // namespace ggv
