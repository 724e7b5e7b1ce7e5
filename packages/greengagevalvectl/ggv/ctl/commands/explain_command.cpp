#include <ggv/ctl/command.hpp>
#include <ggv/state/model/ip_address.hpp>
#include <ggv/state/steering/client_block_index.hpp>

namespace ggv {

namespace {

// Returns an empty string for a client in no block: the domain of the queried entry host applies.
std::string nearestDomain(const Register &content, const IpAddress &client)
{
    const auto index = ClientBlockIndex::build(content.content().clientBlocks.items());
    const auto found = index.find(client);
    return found ? index.nearestDomains()[*found].text() : "";
}

IpAddress parseClient(const std::string &text)
{
    const auto client = IpAddress::parse(text);
    if (!client)
        throw Error(ResultCode::SettingsInvalid, "--client: '" + text + "' is not an IP address");
    return *client;
}

void writeText(std::ostream &out, const nlohmann::json &report)
{
    out << "service " << report.at("service").get<std::string>() << ", queued "
        << report.at("queued") << "\n";
    if (report.contains("client")) {
        const auto nearest = report.at("nearest").get<std::string>();
        out << "client " << report.at("client").get<std::string>() << ": nearest failure domain "
            << (nearest.empty() ? "is that of the queried entry host" : nearest) << "\n";
    }
    for (const auto &target : report.at("targets"))
        out << target.at("target").get<std::string>() << ": "
            << target.at("health").get<std::string>() << ", "
            << target.at("proximity").get<std::string>() << ", domain "
            << target.at("failure_domain").get<std::string>() << ", weight " << target.at("weight")
            << ", in flight " << target.at("in_flight") << " of " << target.at("limit")
            << ", round trip " << target.at("round_trip_us") << " us, service time "
            << target.at("service_time_us") << " us\n";
}

} // namespace

ExitCode runExplain(const CommandContext &context)
{
    const auto text = context.arguments.text(Option::Client);
    const auto address = text ? std::optional(parseClient(*text)) : std::nullopt;
    const ApiClient client = context.client();
    auto report = client.fetchJson("/v1/explain?service=" + encodeQueryValue(context.operand(0)));
    if (address) {
        report["client"] = address->text();
        report["nearest"] = nearestDomain(client.fetchRegister().parse(), *address);
    }
    if (context.json())
        context.out << report.dump() << "\n";
    else
        writeText(context.out, report);
    return ExitCode::Ok;
}

} // namespace ggv
