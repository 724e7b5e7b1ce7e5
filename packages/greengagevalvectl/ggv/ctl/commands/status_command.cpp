#include <ggv/ctl/command.hpp>

namespace ggv {

namespace {

void writeText(std::ostream &out, const nlohmann::json &status)
{
    out << "in force " << status.at("in_force") << ", newest known " << status.at("newest_known")
        << ", accepted " << status.at("accepted") << ", leader "
        << status.at("leader").get<std::string>() << "\n";
    for (const auto &quorum : status.at("quorums"))
        out << "quorum " << quorum.at("group").get<std::string>() << ": "
            << quorum.at("role").get<std::string>() << ", term " << quorum.at("term") << ", leader "
            << quorum.at("leader").get<std::string>() << ", commit " << quorum.at("commit_index")
            << ", voters " << quorum.at("voters") << "\n";
    for (const auto &host : status.at("hosts"))
        out << "host " << host.at("host").get<std::string>() << ": "
            << host.at("state").get<std::string>() << ", version " << host.at("version") << ", "
            << host.at("change").get<std::string>() << "\n";
}

} // namespace

ExitCode runStatus(const CommandContext &context)
{
    const auto status = context.client().fetchJson("/v1/status");
    if (context.json())
        context.out << status.dump() << "\n";
    else
        writeText(context.out, status);
    return ExitCode::Ok;
}

} // namespace ggv
