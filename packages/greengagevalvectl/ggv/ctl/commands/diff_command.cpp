#include <ggv/ctl/command.hpp>
#include <ggv/ctl/register_difference.hpp>

namespace ggv {

namespace {

void writeJson(std::ostream &out, RegisterVersion version, const std::vector<Difference> &list)
{
    nlohmann::json report { { "version", version }, { "differences", nlohmann::json::array() } };
    for (const auto &it : list)
        report["differences"].push_back({ { "difference", differenceName(it.kind) },
                                          { "kind", it.entity },
                                          { "key", it.key } });
    out << report.dump() << "\n";
}

} // namespace

ExitCode runDiff(const CommandContext &context)
{
    const ApiClient client = context.client();
    const RegisterFile file = RegisterFile::read(context.operand(0));
    if (!file.document.faults.empty())
        return runCheck(context);
    const Register from = client.fetchRegister().parse();
    const Register to = Register::create(from.version() + 1, file.document.content).value();
    const auto list = listDifferences(from, to);
    if (context.json()) {
        writeJson(context.out, from.version(), list);
        return ExitCode::Ok;
    }
    context.out << "# against version " << from.version() << "\n";
    for (const auto &it : list)
        context.out << differenceName(it.kind) << " " << it.entity << " " << it.key << "\n";
    return ExitCode::Ok;
}

} // namespace ggv
