#include <ggv/ctl/rollout.hpp>

#include <algorithm>

namespace ggv {

namespace {

const char *const InForce = "in force";
const char *const Pending = "pending";
const char *const Unreachable = "unreachable";

std::string progressOf(const nlohmann::json &host, RegisterVersion version)
{
    if (host.at("change").get<std::string>() == Unreachable)
        return Unreachable;
    return host.at("version").get<RegisterVersion>() >= version ? InForce : Pending;
}

} // namespace

Result<Rollout> Rollout::fromStatus(const nlohmann::json &status, RegisterVersion version)
{
    try {
        Rollout rollout;
        rollout.m_accepted = status.at("accepted").get<RegisterVersion>() >= version;
        for (const auto &host : status.at("hosts"))
            rollout.m_hosts[host.at("host").get<std::string>()] = progressOf(host, version);
        return rollout;
    } catch (const nlohmann::json::exception &) {
        return Error(ResultCode::ProtocolViolation, "the response is not a valid host status");
    }
}

bool Rollout::isComplete() const noexcept
{
    const auto pending = [](const auto &entry) { return entry.second == Pending; };
    const auto inForce = [](const auto &entry) { return entry.second == InForce; };
    return m_accepted && std::none_of(m_hosts.begin(), m_hosts.end(), pending)
        && std::any_of(m_hosts.begin(), m_hosts.end(), inForce);
}

} // namespace ggv
